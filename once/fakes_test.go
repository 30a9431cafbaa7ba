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

// callFault is the fault that is injected into one call to the store or to an
// owner.
type callFault int

const (
	noFault callFault = iota
	// rejected answers that the call had no effect.
	rejected
	// lostBefore loses the call, and lostAfter loses its answer.
	lostBefore
	lostAfter
	// delayed makes a swap take effect, or a result arrive, lateEffectDelay after
	// the call. A delayed read is never answered.
	delayed
	// slow delays the answer by slowCallDelay, which is within most timeouts.
	slow
	// targetGone means that the lease has expired, or that the owner is down.
	targetGone
	// crossed answers with a result that names another server.
	crossed
	numFaults
)

const (
	// lateEffectDelay exceeds every timeout of a random schedule, so that a
	// delayed call takes effect after its caller has timed out.
	lateEffectDelay = 700 * time.Millisecond
	slowCallDelay   = 60 * time.Millisecond
)

// faultPlan assigns faults to the calls of one host, in the order of the calls.
type faultPlan struct {
	mu      sync.Mutex
	faults  []callFault
	stopped bool
}

// nextFault returns the fault for the next call and removes it from the plan.
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

// stopHost makes all further calls of the host fail.
func (p *faultPlan) stopHost() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
}

// clearFaults removes the remaining faults. A stopped host stays stopped.
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

// memoryStore is the in-memory store that all hosts share.
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

// kv is the access of one host to the store, with injected faults.
type kv struct {
	store.KV
	memory *memoryStore
	plan   *faultPlan
}

func (k kv) GrantLease(context.Context, time.Duration) (store.LeaseID, error) {
	k.memory.mu.Lock()
	defer k.memory.mu.Unlock()
	k.memory.grants++
	return store.LeaseID(k.memory.grants), nil
}

func (k kv) Get(ctx context.Context, key string) (store.Entry, error) {
	switch k.plan.nextFault() {
	case rejected:
		return store.Entry{}, store.ErrUnavailable
	case lostBefore, lostAfter, delayed:
		<-ctx.Done()
		return store.Entry{}, store.ErrUnknown
	case slow:
		time.Sleep(slowCallDelay)
	}
	k.memory.mu.Lock()
	defer k.memory.mu.Unlock()
	return k.memory.entries[key], nil
}

func (k kv) Swap(ctx context.Context, key string, revision uint64, value []byte, _ store.LeaseID) (store.Entry, error) {
	switch k.plan.nextFault() {
	case rejected:
		return store.Entry{}, store.ErrUnavailable
	case lostBefore:
		time.Sleep(slowCallDelay)
		return store.Entry{}, store.ErrUnknown
	case targetGone:
		return store.Entry{}, store.ErrLease
	case lostAfter:
		_, _ = k.memory.swap(key, revision, value)
		return store.Entry{}, store.ErrUnknown
	case delayed:
		time.AfterFunc(lateEffectDelay, func() { _, _ = k.memory.swap(key, revision, value) })
		<-ctx.Done()
		return store.Entry{}, store.ErrUnknown
	case slow:
		time.Sleep(slowCallDelay)
	}
	if k.plan.isStopped() {
		return store.Entry{}, store.ErrUnknown
	}
	return k.memory.swap(key, revision, value)
}

// backends counts the runs on the backend servers by request and by key.
type backends struct {
	mu   sync.Mutex
	runs map[string]int
	keys map[string]int
}

func (b *backends) run(sub shard.SubRequest) shard.Outcome {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[sub.RequestID]++
	b.keys[sub.IdempotencyKey]++
	return shard.Answered{Receipt: fmt.Sprintf("%s/%d", sub.IdempotencyKey, b.keys[sub.IdempotencyKey])}
}

// ownerLink is the connection of one host to the owners, with injected faults.
type ownerLink struct {
	backends *backends
	plan     *faultPlan
	deliver  func([]shard.Result) []shard.Result
}

func (l *ownerLink) OwnerOf(string) (string, bool) { return "owner", true }

func (l *ownerLink) Submit(ctx context.Context, _ string, batch shard.Batch) ([]shard.Result, error) {
	sub := batch.Subs[0]
	result := shard.Result{SubID: sub.ID, Server: sub.Server, Stats: shard.ServerStats{Server: sub.Server, Usable: true}}
	switch l.plan.nextFault() {
	case rejected:
		result.Outcome = shard.Refused{Reason: fault.ReasonShed}
		return []shard.Result{result}, nil
	case targetGone:
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
	if l.plan.isStopped() {
		return nil, fault.New(fault.NotRun{}, fault.ReasonDown, "host is dead")
	}
	result.Outcome = l.backends.run(sub)
	return []shard.Result{result}, nil
}

// tables returns a configuration with one service on two replicas.
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
	held := []shard.VersionShards{{Version: 1, All: []string{"s1"}, Shards: []string{"s1"}}}
	routes.UpdateCatalogs([]shard.Catalog{
		{Server: "fee-1", Service: "invoicing", Versions: held},
		{Server: "fee-2", Service: "invoicing", Versions: held},
	})
	return configs, routes
}
