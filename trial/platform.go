package trial

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"hyssophub/store"
)

// watchLimit is how long the store holds a watch.
const watchLimit = 500 * time.Millisecond

// Platform is the store and the host list.
type Platform struct {
	mu       sync.Mutex
	rng      *rand.Rand
	entries  map[string]store.Entry
	history  []store.Entry
	leases   map[store.LeaseID]time.Duration
	revision uint64
	changed  chan struct{}
	state    StoreState
	hosts    []store.HostInfo
}

func newPlatform(seed uint64) *Platform {
	return &Platform{
		rng:     rand.New(rand.NewPCG(seed, 3)),
		entries: make(map[string]store.Entry),
		leases:  make(map[store.LeaseID]time.Duration),
		changed: make(chan struct{}),
		state:   StoreState{Delay: 2 * time.Millisecond},
	}
}

func (p *Platform) set(state StoreState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = state
}

// list sets the host list.
func (p *Platform) list(hosts []store.HostInfo) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = hosts
}

// view is the platform as one host reaches it. It implements store.KV and
// store.Hosts.
type view struct {
	platform *Platform
	network  *Network
	host     string
}

var (
	_ store.KV    = view{}
	_ store.Hosts = view{}
)

// enter carries a call to the platform and reports whether its answer will be
// lost.
func (v view) enter(ctx context.Context) (lost bool, err error) {
	if err := v.network.cross(ctx, v.host, platform); err != nil {
		return false, store.ErrUnknown
	}
	p := v.platform
	p.mu.Lock()
	state, drawn := p.state, p.rng.Float64()
	p.mu.Unlock()
	time.Sleep(state.Delay)
	if state.Down {
		return false, store.ErrUnavailable
	}
	return drawn < state.Loss, nil
}

// leave carries an answer back. An answer to a zone that was cut off since the
// call is lost.
func (v view) leave(ctx context.Context) error {
	if v.network.reaches(platform, v.host) {
		return nil
	}
	select {
	case <-ctx.Done():
	case <-time.After(giveUp):
	}
	return store.ErrUnavailable
}

// Get implements store.KV.
func (v view) Get(ctx context.Context, key string) (store.Entry, error) {
	lost, err := v.enter(ctx)
	if err != nil || lost {
		return store.Entry{}, store.ErrUnavailable
	}
	v.platform.mu.Lock()
	defer v.platform.mu.Unlock()
	return v.platform.entry(key), nil
}

// Swap implements store.KV.
func (v view) Swap(ctx context.Context, key string, revision uint64, value []byte, _ store.LeaseID) (store.Entry, error) {
	lost, err := v.enter(ctx)
	if err != nil {
		return store.Entry{}, err
	}
	e, err := v.platform.swap(key, revision, value)
	if lost {
		return store.Entry{}, store.ErrUnknown
	}
	return e, err
}

// Watch implements store.KV.
func (v view) Watch(ctx context.Context, key string, after uint64) (store.Entry, error) {
	lost, err := v.enter(ctx)
	if err != nil || lost {
		return store.Entry{}, store.ErrUnavailable
	}
	p := v.platform
	limit := time.NewTimer(watchLimit)
	defer limit.Stop()
	for {
		p.mu.Lock()
		e, changed := p.entry(key), p.changed
		p.mu.Unlock()
		if e.Revision > after {
			return e, v.leave(ctx)
		}
		select {
		case <-changed:
		case <-limit.C:
			return e, v.leave(ctx)
		case <-ctx.Done():
			return e, ctx.Err()
		}
	}
}

// Grant implements store.KV.
func (v view) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if _, err := v.enter(ctx); err != nil {
		return 0, err
	}
	p := v.platform
	p.mu.Lock()
	defer p.mu.Unlock()
	id := store.LeaseID(len(p.leases) + 1)
	p.leases[id] = ttl
	return id, nil
}

// Renew implements store.KV. Leases never lapse here.
func (v view) Renew(ctx context.Context, _ store.LeaseID) error {
	_, err := v.enter(ctx)
	return err
}

// List implements store.Hosts.
func (v view) List(ctx context.Context) ([]store.HostInfo, error) {
	if err := v.network.cross(ctx, v.host, platform); err != nil {
		return nil, err
	}
	v.platform.mu.Lock()
	defer v.platform.mu.Unlock()
	return slices.Clone(v.platform.hosts), nil
}

func (p *Platform) entry(key string) store.Entry {
	e := p.entries[key]
	e.Key = key
	return e
}

func (p *Platform) swap(key string, revision uint64, value []byte) (store.Entry, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.entry(key); e.Revision != revision {
		return e, store.ErrConflict
	}
	p.revision++
	p.entries[key] = store.Entry{Key: key, Value: value, Revision: p.revision}
	p.history = append(p.history, p.entries[key])
	close(p.changed)
	p.changed = make(chan struct{})
	return p.entries[key], nil
}
