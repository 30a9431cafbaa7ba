package trial

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"hyssophub/store"
)

// maxWatchTime is the longest time that the store holds a watch open.
const maxWatchTime = 500 * time.Millisecond

// Platform models the store and the host list in memory.
type Platform struct {
	mu      sync.Mutex
	rng     *rand.Rand
	entries map[string]store.Entry
	// history holds the entries of all writes, oldest first.
	history  []store.Entry
	leases   map[store.LeaseID]time.Duration
	revision uint64
	// changed is closed and replaced at each write.
	changed chan struct{}
	state   StoreState
	hosts   []store.HostInfo
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

func (p *Platform) setState(state StoreState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = state
}

// setHosts replaces the host list.
func (p *Platform) setHosts(hosts []store.HostInfo) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = hosts
}

// platformClient connects one host with the platform. It implements store.KV
// and store.HostLister.
type platformClient struct {
	platform *Platform
	network  *Network
	host     string
}

var (
	_ store.KV         = platformClient{}
	_ store.HostLister = platformClient{}
)

// send transmits a call to the platform and reports whether the answer must be
// dropped.
func (c platformClient) send(ctx context.Context) (lost bool, err error) {
	if err := c.network.transmit(ctx, c.host, platformZone); err != nil {
		return false, store.ErrUnknown
	}
	p := c.platform
	p.mu.Lock()
	state, drawn := p.state, p.rng.Float64()
	p.mu.Unlock()
	time.Sleep(state.Delay)
	if state.Down {
		return false, store.ErrUnavailable
	}
	return drawn < state.Loss, nil
}

// reply returns nil if the answer can reach the host. If the zone of the host
// was isolated since the call, the answer is lost: reply blocks until ctx ends
// or transportTimeout has passed.
func (c platformClient) reply(ctx context.Context) error {
	if c.network.reachable(platformZone, c.host) {
		return nil
	}
	select {
	case <-ctx.Done():
	case <-time.After(transportTimeout):
	}
	return store.ErrUnavailable
}

// Get implements store.KV.
func (c platformClient) Get(ctx context.Context, key string) (store.Entry, error) {
	lost, err := c.send(ctx)
	if err != nil || lost {
		return store.Entry{}, store.ErrUnavailable
	}
	c.platform.mu.Lock()
	defer c.platform.mu.Unlock()
	return c.platform.entry(key), nil
}

// Swap implements store.KV.
func (c platformClient) Swap(ctx context.Context, key string, revision uint64, value []byte, _ store.LeaseID) (store.Entry, error) {
	lost, err := c.send(ctx)
	if err != nil {
		return store.Entry{}, err
	}
	e, err := c.platform.swap(key, revision, value)
	if lost {
		return store.Entry{}, store.ErrUnknown
	}
	return e, err
}

// Watch implements store.KV.
func (c platformClient) Watch(ctx context.Context, key string, after uint64) (store.Entry, error) {
	lost, err := c.send(ctx)
	if err != nil || lost {
		return store.Entry{}, store.ErrUnavailable
	}
	p := c.platform
	limit := time.NewTimer(maxWatchTime)
	defer limit.Stop()
	for {
		p.mu.Lock()
		e, changed := p.entry(key), p.changed
		p.mu.Unlock()
		if e.Revision > after {
			return e, c.reply(ctx)
		}
		select {
		case <-changed:
		case <-limit.C:
			return e, c.reply(ctx)
		case <-ctx.Done():
			return e, ctx.Err()
		}
	}
}

// GrantLease implements store.KV.
func (c platformClient) GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if _, err := c.send(ctx); err != nil {
		return 0, err
	}
	p := c.platform
	p.mu.Lock()
	defer p.mu.Unlock()
	id := store.LeaseID(len(p.leases) + 1)
	p.leases[id] = ttl
	return id, nil
}

// RenewLease implements store.KV. Leases of this model never expire.
func (c platformClient) RenewLease(ctx context.Context, _ store.LeaseID) error {
	_, err := c.send(ctx)
	return err
}

// List implements store.HostLister.
func (c platformClient) List(ctx context.Context) ([]store.HostInfo, error) {
	if err := c.network.transmit(ctx, c.host, platformZone); err != nil {
		return nil, err
	}
	c.platform.mu.Lock()
	defer c.platform.mu.Unlock()
	return slices.Clone(c.platform.hosts), nil
}

// entry returns the entry of a key. The caller holds p.mu.
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
