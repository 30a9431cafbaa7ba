package once

import (
	"context"
	"fmt"
	"sync"
	"time"

	"hyssophub/config"
	"hyssophub/fault"
	"hyssophub/route"
	"hyssophub/shard"
	"hyssophub/store"
)

// fate is what happens to one call of a schedule.
type callFault int

const (
	noFault callFault = iota
	// refused means that the call had no effect and its caller knows.
	rejected
	// lostBefore and lostAfter lose the call or its answer.
	lostBefore
	lostAfter
	// delayed lets the call take effect after its caller gave up.
	delayed
	// slow answers late but within the caller's patience.
	slow
	// lapsed means that the lease is gone, or that the owner is down.
	leaseLost
	// crossed answers with the result of another request.
	crossed
	faults
)

const (
	lateEffectDelay = 700 * time.Millisecond
	slowCallDelay   = 60 * time.Millisecond
)

// plan deals out fates in the order of the calls.
type faultPlan struct {
	mu      sync.Mutex
	faults  []callFault
	stopped bool
}

func (p *faultPlan) nextFault() callFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return lostBefore
	}
	if len(p.faults) == 0 {
		return noFault
	}
	f := p.faults[0]
	p.faults = p.faults[1:]
	return f
}

func (p *faultPlan) stopHost() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
}

// heal ends the faults of a living host.
func (p *faultPlan) clearFaults() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = nil
}

func (p *faultPlan) isStopped() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopped
}

// memory is the store that all hosts share.
type memoryStore struct {
	mu       sync.Mutex
	entries  map[string]store.Entry
	revision uint64
	grants   uint64
}

func (m *memoryStore) swap(key string, revision uint64, value []byte) (store.Entry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e := m.entries[key]; e.Revision != revision {
		return e, store.ErrConflict
	}
	m.revision++
	m.entries[key] = store.Entry{Key: key, Value: value, Revision: m.revision}
	return m.entries[key], nil
}

// kv is the view of one host on the store.
type kv struct {
	store.KV
	memoryStore *memoryStore
	faultPlan   *faultPlan
}

func (k kv) GrantLease(context.Context, time.Duration) (store.LeaseID, error) {
	k.memoryStore.mu.Lock()
	defer k.memoryStore.mu.Unlock()
	k.memoryStore.grants++
	return store.LeaseID(k.memoryStore.grants), nil
}

func (k kv) Get(ctx context.Context, key string) (store.Entry, error) {
	switch k.faultPlan.nextFault() {
	case rejected:
		return store.Entry{}, store.ErrUnavailable
	case lostBefore, lostAfter, delayed:
		<-ctx.Done()
		return store.Entry{}, store.ErrUnknown
	case slow:
		time.Sleep(slowCallDelay)
	}
	k.memoryStore.mu.Lock()
	defer k.memoryStore.mu.Unlock()
	return k.memoryStore.entries[key], nil
}

func (k kv) Swap(ctx context.Context, key string, revision uint64, value []byte, _ store.LeaseID) (store.Entry, error) {
	switch k.faultPlan.nextFault() {
	case rejected:
		return store.Entry{}, store.ErrUnavailable
	case lostBefore:
		time.Sleep(slowCallDelay)
		return store.Entry{}, store.ErrUnknown
	case leaseLost:
		return store.Entry{}, store.ErrLease
	case lostAfter:
		_, _ = k.memoryStore.swap(key, revision, value)
		return store.Entry{}, store.ErrUnknown
	case delayed:
		time.AfterFunc(lateEffectDelay, func() { _, _ = k.memoryStore.swap(key, revision, value) })
		<-ctx.Done()
		return store.Entry{}, store.ErrUnknown
	case slow:
		time.Sleep(slowCallDelay)
	}
	if k.faultPlan.isStopped() {
		return store.Entry{}, store.ErrUnknown
	}
	return k.memoryStore.swap(key, revision, value)
}

// fleet counts the runs on the backend servers by request and by key.
type backends struct {
	mu   sync.Mutex
	runs map[string]int
	keys map[string]int
}

func (f *backends) run(sub shard.Sub) shard.Outcome {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[sub.Request]++
	f.keys[sub.Key]++
	return shard.Answered{Receipt: fmt.Sprintf("%s/%d", sub.Key, f.keys[sub.Key])}
}

// link is the way of one host to the owners.
type ownerLink struct {
	backends  *backends
	faultPlan *faultPlan
	deliver   func([]shard.Result) []shard.Result
}

func (l *ownerLink) OwnerOf(string) (string, bool) { return "owner", true }

func (l *ownerLink) Submit(ctx context.Context, _ string, batch shard.Batch) ([]shard.Result, error) {
	sub := batch.Subs[0]
	result := shard.Result{Sub: sub.ID, Server: sub.Server, Figures: shard.Figures{Server: sub.Server, Usable: true}}
	switch l.faultPlan.nextFault() {
	case rejected:
		result.Outcome = shard.Refused{Reason: fault.ReasonShed}
		return []shard.Result{result}, nil
	case leaseLost:
		return nil, fault.New(fault.NotRun{}, fault.ReasonDown, "connection refused")
	case crossed:
		l.backends.run(sub)
		result.Server, result.Outcome = "fee-9", shard.Refused{Reason: fault.ReasonShed}
		return []shard.Result{result}, nil
	case lostBefore:
		return nil, fault.New(fault.MayHaveRun{}, fault.ReasonConnection, "connection lost")
	case lostAfter:
		l.backends.run(sub)
		return nil, fault.New(fault.MayHaveRun{}, fault.ReasonConnection, "connection lost")
	case delayed:
		result.Outcome = l.backends.run(sub)
		time.AfterFunc(lateEffectDelay, func() { l.deliver([]shard.Result{result}) })
		return nil, nil
	case slow:
		select {
		case <-time.After(slowCallDelay):
		case <-ctx.Done():
			return nil, fault.New(fault.MayHaveRun{}, fault.ReasonDeadline, "deadline")
		}
	}
	if l.faultPlan.isStopped() {
		return nil, fault.New(fault.NotRun{}, fault.ReasonDown, "host is dead")
	}
	result.Outcome = l.backends.run(sub)
	return []shard.Result{result}, nil
}

// tables returns a configuration of one service on two replicas.
func tables() (*config.Table, *route.Table) {
	configs, routes := config.NewTable(), route.NewTable("a")
	configs.Accept(config.Value{Revision: 1, Manifest: config.Manifest{
		Zones:   []config.Zone{{Name: "a", Hosts: 3}},
		Tenants: []config.Tenant{{Name: "fees"}},
		Services: []config.Service{{
			Name: "invoicing", Tenant: "fees", Shards: []string{"s1"}, Slots: 2,
			Servers: []config.Server{{Name: "fee-1", Zone: "a"}, {Name: "fee-2", Zone: "a"}},
		}},
	}})
	held := []shard.Held{{Version: 1, All: []string{"s1"}, Shards: []string{"s1"}}}
	routes.Learn([]shard.Catalog{
		{Server: "fee-1", Service: "invoicing", Held: held},
		{Server: "fee-2", Service: "invoicing", Held: held},
	})
	return configs, routes
}
