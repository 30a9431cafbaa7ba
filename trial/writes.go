package trial

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"hyssophub/codec"
	"hyssophub/config"
	"hyssophub/store"
)

// sampleInterval is the time between two looks at the revisions of the hosts.
const sampleInterval = 50 * time.Millisecond

// repeatPause is the wait before a pending change is sent again.
const repeatPause = time.Second

// offices change the configuration and compare each result with what the store
// went through.
type offices struct {
	load  *load
	fleet *Fleet
	done  chan struct{}
	work  sync.WaitGroup

	mu        sync.Mutex
	results   map[string]config.ChangeResult
	pending   int
	undecided int
	reverted  int
}

func newOffices(l *load, f *Fleet) *offices {
	o := &offices{load: l, fleet: f, done: make(chan struct{}), results: make(map[string]config.ChangeResult)}
	o.work.Go(o.sample)
	return o
}

func (o *offices) observe(action Action) {
	if a, ok := action.(ChangeConfig); ok {
		o.work.Go(func() { o.office(a) })
	}
}

// office makes a change at each interval. Each goes through another host.
func (o *offices) office(a ChangeConfig) {
	var changes sync.WaitGroup
	defer changes.Wait()
	for n := range a.Changes {
		host := o.fleet.hosts[(a.Host+n)%len(o.fleet.hosts)].Name
		request := config.ChangeRequest{
			ID: a.Author + "-" + strconv.Itoa(n), Author: a.Author,
			Edit: config.ReplaceManifest{Manifest: o.load.manifest},
		}
		changes.Go(func() { o.change(host, request) })
		time.Sleep(a.Every)
	}
}

// change makes one change and sends it again while it is pending.
func (o *offices) change(host string, request config.ChangeRequest) {
	kv := limited{view{platform: o.fleet.platform, network: o.fleet.network, host: host}}
	changer := config.NewChanger(kv, codec.Config{}, config.DefaultChangeTimeout)
	result := changer.Change(context.Background(), request)
	p, open := result.(config.Pending)
	o.mu.Lock()
	o.pending += count(open)
	o.mu.Unlock()
	for open && time.Since(o.load.start) < o.load.script.Duration {
		time.Sleep(repeatPause)
		request.Repeat, request.RequireBase, request.Base = true, true, p.Base
		result = changer.Change(context.Background(), request)
		_, open = result.(config.Pending)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.results[request.ID] = result
	o.undecided += count(open)
}

// sample counts how often the revision of a host goes back.
func (o *offices) sample() {
	last := make([]uint64, len(o.fleet.hosts))
	for {
		for i := range last {
			o.fleet.mu.Lock()
			revision := o.fleet.cores[i].Revision()
			o.fleet.mu.Unlock()
			o.mu.Lock()
			o.reverted += count(revision < last[i])
			o.mu.Unlock()
			last[i] = revision
		}
		select {
		case <-o.done:
			return
		case <-time.After(sampleInterval):
		}
	}
}

// figures compares the results with the store's history. A result is wrong if
// an accepted change is not the newest of its revision, or if any other one is
// in the store. A change is lost if a later value lacks it, and double if it
// made two revisions.
func (o *offices) figures() map[string]float64 {
	close(o.done)
	o.work.Wait()
	made := make(map[string][]uint64)
	lost, double := 0, 0
	var last []config.Change
	for _, e := range o.fleet.platform.past(config.StoreKey) {
		value, err := codec.DecodeValue(e.Value, e.Revision)
		if err != nil || len(value.Changes) == 0 {
			continue
		}
		newest := value.Changes[len(value.Changes)-1].ID
		double += count(len(made[newest]) > 0)
		made[newest] = append(made[newest], e.Revision)
		kept := value.Changes[:len(value.Changes)-1]
		lost += count(len(last) >= len(kept) && !slices.Equal(kept, last[len(last)-len(kept):]) || len(kept) < min(len(last), 63))
		last = value.Changes
	}
	accepted, refused, wrong := 0, 0, 0
	for id, result := range o.results {
		switch r := result.(type) {
		case config.Accepted:
			accepted++
			wrong += count(!slices.Equal(made[id], []uint64{r.Revision}))
		case config.Pending:
		default:
			refused++
			wrong += count(len(made[id]) > 0)
		}
	}
	return map[string]float64{
		"accepted": float64(accepted), "rejected": float64(refused), "wrong": float64(wrong),
		"pending": float64(o.pending), "undecided": float64(o.undecided),
		"lost": float64(lost), "double": float64(double), "reverted": float64(o.reverted),
	}
}

// limited ends calls to the store with their context, as a client does, while
// the store goes on with them.
type limited struct{ view }

// Get implements store.KV.
func (l limited) Get(ctx context.Context, key string) (store.Entry, error) {
	return within(ctx, store.ErrUnavailable, func() (store.Entry, error) { return l.view.Get(ctx, key) })
}

// Swap implements store.KV.
func (l limited) Swap(ctx context.Context, key string, revision uint64, value []byte, lease store.LeaseID) (store.Entry, error) {
	return within(ctx, store.ErrUnknown, func() (store.Entry, error) {
		return l.view.Swap(ctx, key, revision, value, lease)
	})
}

func within(ctx context.Context, late error, call func() (store.Entry, error)) (store.Entry, error) {
	type answer struct {
		entry store.Entry
		err   error
	}
	answers := make(chan answer, 1)
	go func() {
		e, err := call()
		answers <- answer{e, err}
	}()
	select {
	case a := <-answers:
		return a.entry, a.err
	case <-ctx.Done():
		return store.Entry{}, late
	}
}

// past returns all entries that a key ever had.
func (p *Platform) past(key string) []store.Entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []store.Entry
	for _, e := range p.history {
		if e.Key == key {
			list = append(list, e)
		}
	}
	return list
}
