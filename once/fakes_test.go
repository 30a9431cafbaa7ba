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
type fate int

const (
	fine fate = iota
	// refused means that the call had no effect and its caller knows.
	refused
	// lostBefore and lostAfter lose the call or its answer.
	lostBefore
	lostAfter
	// delayed lets the call take effect after its caller gave up.
	delayed
	// slow answers late but within the caller's patience.
	slow
	// lapsed means that the lease is gone, or that the owner is down.
	lapsed
	// crossed answers with the result of another request.
	crossed
	fates
)

const (
	delay    = 700 * time.Millisecond
	slowness = 60 * time.Millisecond
)

// plan deals out fates in the order of the calls.
type plan struct {
	mu    sync.Mutex
	fates []fate
	dead  bool
}

func (p *plan) next() fate {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dead {
		return lostBefore
	}
	if len(p.fates) == 0 {
		return fine
	}
	f := p.fates[0]
	p.fates = p.fates[1:]
	return f
}

func (p *plan) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dead = true
}

// heal ends the faults of a living host.
func (p *plan) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fates = nil
}

func (p *plan) isDead() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dead
}

// memory is the store that all hosts share.
type memory struct {
	mu       sync.Mutex
	entries  map[string]store.Entry
	revision uint64
	grants   uint64
}

func (m *memory) swap(key string, revision uint64, value []byte) (store.Entry, error) {
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
	memory *memory
	plan   *plan
}

func (k kv) GrantLease(context.Context, time.Duration) (store.LeaseID, error) {
	k.memory.mu.Lock()
	defer k.memory.mu.Unlock()
	k.memory.grants++
	return store.LeaseID(k.memory.grants), nil
}

func (k kv) Get(ctx context.Context, key string) (store.Entry, error) {
	switch k.plan.next() {
	case refused:
		return store.Entry{}, store.ErrUnavailable
	case lostBefore, lostAfter, delayed:
		<-ctx.Done()
		return store.Entry{}, store.ErrUnknown
	case slow:
		time.Sleep(slowness)
	}
	k.memory.mu.Lock()
	defer k.memory.mu.Unlock()
	return k.memory.entries[key], nil
}

func (k kv) Swap(ctx context.Context, key string, revision uint64, value []byte, _ store.LeaseID) (store.Entry, error) {
	switch k.plan.next() {
	case refused:
		return store.Entry{}, store.ErrUnavailable
	case lostBefore:
		time.Sleep(slowness)
		return store.Entry{}, store.ErrUnknown
	case lapsed:
		return store.Entry{}, store.ErrLease
	case lostAfter:
		_, _ = k.memory.swap(key, revision, value)
		return store.Entry{}, store.ErrUnknown
	case delayed:
		time.AfterFunc(delay, func() { _, _ = k.memory.swap(key, revision, value) })
		<-ctx.Done()
		return store.Entry{}, store.ErrUnknown
	case slow:
		time.Sleep(slowness)
	}
	if k.plan.isDead() {
		return store.Entry{}, store.ErrUnknown
	}
	return k.memory.swap(key, revision, value)
}

// fleet counts the runs on the backend servers by request and by key.
type fleet struct {
	mu   sync.Mutex
	runs map[string]int
	keys map[string]int
}

func (f *fleet) run(sub shard.Sub) shard.Outcome {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[sub.Request]++
	f.keys[sub.Key]++
	return shard.Answered{Receipt: fmt.Sprintf("%s/%d", sub.Key, f.keys[sub.Key])}
}

// link is the way of one host to the owners.
type link struct {
	fleet   *fleet
	plan    *plan
	deliver func([]shard.Result) []shard.Result
}

func (l *link) OwnerOf(string) (string, bool) { return "owner", true }

func (l *link) Submit(ctx context.Context, _ string, batch shard.Batch) ([]shard.Result, error) {
	sub := batch.Subs[0]
	result := shard.Result{Sub: sub.ID, Server: sub.Server, Figures: shard.Figures{Server: sub.Server, Usable: true}}
	switch l.plan.next() {
	case refused:
		result.Outcome = shard.Refused{Reason: fault.ReasonShed}
		return []shard.Result{result}, nil
	case lapsed:
		return nil, fault.New(fault.NotRun{}, fault.ReasonDown, "connection refused")
	case crossed:
		l.fleet.run(sub)
		result.Server, result.Outcome = "fee-9", shard.Refused{Reason: fault.ReasonShed}
		return []shard.Result{result}, nil
	case lostBefore:
		return nil, fault.New(fault.MayHaveRun{}, fault.ReasonConnection, "connection lost")
	case lostAfter:
		l.fleet.run(sub)
		return nil, fault.New(fault.MayHaveRun{}, fault.ReasonConnection, "connection lost")
	case delayed:
		result.Outcome = l.fleet.run(sub)
		time.AfterFunc(delay, func() { l.deliver([]shard.Result{result}) })
		return nil, nil
	case slow:
		select {
		case <-time.After(slowness):
		case <-ctx.Done():
			return nil, fault.New(fault.MayHaveRun{}, fault.ReasonDeadline, "deadline")
		}
	}
	if l.plan.isDead() {
		return nil, fault.New(fault.NotRun{}, fault.ReasonDown, "host is dead")
	}
	result.Outcome = l.fleet.run(sub)
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
