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

// sampleInterval is the time between two reads of the hosts' revisions.
const sampleInterval = 50 * time.Millisecond

// retryDelay is the time after which a pending change is sent again.
const retryDelay = time.Second

// configWriters makes configuration changes and compares each result with the
// history of the store.
type configWriters struct {
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

func newConfigWriters(l *load, f *Fleet) *configWriters {
	w := &configWriters{load: l, fleet: f, done: make(chan struct{}), results: make(map[string]config.ChangeResult)}
	w.work.Go(w.sampleRevisions)
	return w
}

func (w *configWriters) observe(action Action) {
	if a, ok := action.(ChangeConfig); ok {
		w.work.Go(func() { w.writeChanges(a) })
	}
}

// writeChanges makes one change per interval, each through the next host.
func (w *configWriters) writeChanges(a ChangeConfig) {
	var changes sync.WaitGroup
	defer changes.Wait()
	for n := range a.Changes {
		host := w.fleet.hosts[(a.Host+n)%len(w.fleet.hosts)].Name
		request := config.ChangeRequest{
			ID: a.Author + "-" + strconv.Itoa(n), Author: a.Author,
			Edit: config.ReplaceManifest{Manifest: w.load.manifest},
		}
		changes.Go(func() { w.makeChange(host, request) })
		time.Sleep(a.Every)
	}
}

// makeChange sends one change, and repeats it while its result is pending.
func (w *configWriters) makeChange(host string, request config.ChangeRequest) {
	kv := cancellableStore{platformClient{platform: w.fleet.platform, network: w.fleet.network, host: host}}
	changer := config.NewChanger(kv, codec.Config{}, config.DefaultChangeTimeout)
	result := changer.Change(context.Background(), request)
	pending, open := result.(config.Pending)
	w.mu.Lock()
	w.pending += boolToInt(open)
	w.mu.Unlock()
	for open && time.Since(w.load.start) < w.load.script.Duration {
		time.Sleep(retryDelay)
		request.Repeat, request.RequireBase, request.Base = true, true, pending.Base
		result = changer.Change(context.Background(), request)
		_, open = result.(config.Pending)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.results[request.ID] = result
	w.undecided += boolToInt(open)
}

// sampleRevisions counts how often the configuration revision of a host
// decreases.
func (w *configWriters) sampleRevisions() {
	last := make([]uint64, len(w.fleet.hosts))
	for {
		for i := range last {
			w.fleet.mu.Lock()
			revision := w.fleet.cores[i].Revision()
			w.fleet.mu.Unlock()
			w.mu.Lock()
			w.reverted += boolToInt(revision < last[i])
			w.mu.Unlock()
			last[i] = revision
		}
		select {
		case <-w.done:
			return
		case <-time.After(sampleInterval):
		}
	}
}

// figures compares the results with the store's history. A result is wrong if
// an accepted change is not the newest change of the reported revision alone,
// or if a refused change is in the store. A change is lost if a later value
// lacks it, and double if it is the newest change of two revisions.
func (w *configWriters) figures() map[string]float64 {
	close(w.done)
	w.work.Wait()
	made := make(map[string][]uint64)
	lost, double := 0, 0
	var last []config.Change
	for _, e := range w.fleet.platform.historyOf(config.StoreKey) {
		value, err := codec.DecodeValue(e.Value, e.Revision)
		if err != nil || len(value.Changes) == 0 {
			continue
		}
		newest := value.Changes[len(value.Changes)-1].ID
		double += boolToInt(len(made[newest]) > 0)
		made[newest] = append(made[newest], e.Revision)
		kept := value.Changes[:len(value.Changes)-1]
		lost += boolToInt(len(last) >= len(kept) && !slices.Equal(kept, last[len(last)-len(kept):]) || len(kept) < min(len(last), 63))
		last = value.Changes
	}
	accepted, refused, wrong := 0, 0, 0
	for id, result := range w.results {
		switch r := result.(type) {
		case config.Accepted:
			accepted++
			wrong += boolToInt(!slices.Equal(made[id], []uint64{r.Revision}))
		case config.Pending:
		default:
			refused++
			wrong += boolToInt(len(made[id]) > 0)
		}
	}
	return map[string]float64{
		"accepted": float64(accepted), "rejected": float64(refused), "wrong": float64(wrong),
		"pending": float64(w.pending), "undecided": float64(w.undecided),
		"lost": float64(lost), "double": float64(double), "reverted": float64(w.reverted),
	}
}

// cancellableStore returns from a store call when its context ends, as a client
// does. The store still completes the call.
type cancellableStore struct{ platformClient }

// Get implements store.KV.
func (l cancellableStore) Get(ctx context.Context, key string) (store.Entry, error) {
	return callWithin(ctx, store.ErrUnavailable, func() (store.Entry, error) { return l.platformClient.Get(ctx, key) })
}

// Swap implements store.KV.
func (l cancellableStore) Swap(ctx context.Context, key string, revision uint64, value []byte, lease store.LeaseID) (store.Entry, error) {
	return callWithin(ctx, store.ErrUnknown, func() (store.Entry, error) {
		return l.platformClient.Swap(ctx, key, revision, value, lease)
	})
}

// callWithin returns the result of call, or the error late if ctx ends first.
func callWithin(ctx context.Context, late error, call func() (store.Entry, error)) (store.Entry, error) {
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

// historyOf returns all entries of a key, oldest first.
func (p *Platform) historyOf(key string) []store.Entry {
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
