package owner

import (
	"context"
	"sync"
	"time"

	"hyssophub/config"
	"hyssophub/fault"
	"hyssophub/shard"
	"hyssophub/work"
)

// Backend performs one exchange with a backend server.
type Backend interface {
	// Do sends a sub-request and returns its outcome. It returns by the
	// sub-request's deadline.
	Do(ctx context.Context, server config.Placed, sub shard.Sub) shard.Outcome
	// State asks the server for its report.
	State(ctx context.Context, server config.Placed) (shard.Report, error)
}

// Courier takes results to the daemon that sent the sub-requests after its
// call was answered without them.
type Courier interface {
	Deliver(ctx context.Context, host string, results []shard.Result) error
}

// Options are the settings of an Engine.
type Options struct {
	// Workers is the number of workers; it bounds the exchanges in progress.
	Workers int
	// Hold is how long Submit waits for results before it answers without
	// the missing ones.
	Hold time.Duration
	// Linger is how long late results for a host are collected before they
	// are delivered in one call.
	Linger time.Duration
	// Poll is the interval between two state requests to a server.
	Poll time.Duration
}

// DefaultOptions returns settings for a daemon that owns about 14 servers.
func DefaultOptions() Options {
	return Options{Workers: 128, Hold: 10 * time.Millisecond, Linger: time.Millisecond, Poll: time.Second}
}

// job is what a worker of the owner does. The interface is sealed.
type job interface{ job() }

type (
	dispatchJob struct {
		sub shard.Sub
		at  time.Time
	}
	wakeJob  struct{ server string }
	flushJob struct{ host string }
	pollJob  struct{ server config.Placed }
)

func (dispatchJob) job() {}
func (wakeJob) job()     {}
func (flushJob) job()    {}
func (pollJob) job()     {}

// Engine runs admitted sub-requests on a pool of workers over a Table.
type Engine struct {
	table   *Table
	backend Backend
	courier Courier
	options Options
	pool    *work.Pool[job]

	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	flights map[uint64]*flight
	outbox  map[string][]shard.Result
	closed  bool
}

// queueLimit bounds the pool's queue per class. Dispatches hold a slot each,
// so the queue cannot exceed the owned servers' slots by much.
const queueLimit = 1 << 16

// NewEngine starts the workers.
func NewEngine(table *Table, backend Backend, courier Courier, options Options) *Engine {
	e := &Engine{
		table:   table,
		backend: backend,
		courier: courier,
		options: options,
		flights: make(map[uint64]*flight),
		outbox:  make(map[string][]shard.Result),
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.pool = work.NewPool(options.Workers, queueLimit, e.handle)
	return e
}

// Submit admits a batch and returns the results that are ready within the hold
// time. The others follow through the Courier.
func (e *Engine) Submit(ctx context.Context, batch shard.Batch) []shard.Result {
	f := newFlight(batch.From, len(batch.Subs))
	for _, sub := range batch.Subs {
		e.admit(sub, f)
	}
	return f.wait(ctx, e.options.Hold)
}

// Close stops taking work, lets dispatched sub-requests finish and waits.
func (e *Engine) Close() {
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	e.pool.Close()
	e.cancel()
}

func (e *Engine) admit(sub shard.Sub, f *flight) {
	now := time.Now()
	e.mu.Lock()
	closed := e.closed
	if !closed {
		e.flights[sub.ID] = f
	}
	e.mu.Unlock()
	if closed {
		e.refuse(f, sub, Refuse{Reason: fault.ReasonStopping}, now)
		return
	}
	switch d := e.table.Admit(sub, now).(type) {
	case Dispatch:
		e.dispatch(sub, now)
	case Queued:
		// Expired sub-requests leave the queue even if no slot gets free.
		time.AfterFunc(time.Until(sub.Deadline), func() { e.wake(sub.Server) })
	case Refuse:
		e.forget(sub.ID)
		e.refuse(f, sub, d, now)
	}
}

func (e *Engine) refuse(f *flight, sub shard.Sub, refuse Refuse, now time.Time) {
	figures, _ := e.table.Figures(sub.Server, now)
	f.add(shard.Result{
		Sub:     sub.ID,
		Server:  sub.Server,
		Outcome: shard.Refused{Reason: refuse.Reason, RetryAfter: refuse.RetryAfter},
		Figures: figures,
	})
}

// dispatch queues the exchange. A pool that takes no more jobs refuses the
// sub-request, which has not run.
func (e *Engine) dispatch(sub shard.Sub, at time.Time) {
	if err := e.pool.Submit(sub.Class, dispatchJob{sub: sub, at: at}); err != nil {
		e.finish(sub, shard.Refused{Reason: fault.ReasonStopping}, 0)
	}
}

func (e *Engine) wake(server string) {
	// A closed pool has no queued sub-requests left to wake.
	_ = e.pool.Submit(shard.Urgent, wakeJob{server: server})
}

func (e *Engine) handle(j job) {
	switch j := j.(type) {
	case dispatchJob:
		e.exchange(j)
	case wakeJob:
		ready, settled := e.table.Wake(j.server, time.Now())
		e.proceed(ready, settled)
	case flushJob:
		e.flush(j.host)
	case pollJob:
		e.poll(j.server)
	}
}

// exchange performs the last check and the exchange with the server.
func (e *Engine) exchange(j dispatchJob) {
	start := time.Now()
	if reason, ok := e.table.Check(j.sub, start); !ok {
		e.finish(j.sub, shard.Refused{Reason: reason}, 0)
		return
	}
	placed, ok := e.table.Placed(j.sub.Server)
	if !ok {
		e.finish(j.sub, shard.Refused{Reason: fault.ReasonNotOwner}, 0)
		return
	}
	ctx, cancel := context.WithDeadline(e.ctx, j.sub.Deadline)
	outcome := e.backend.Do(ctx, placed, j.sub)
	cancel()
	e.finish(j.sub, outcome, time.Since(start))
}

func (e *Engine) finish(sub shard.Sub, outcome shard.Outcome, took time.Duration) {
	result, ready, settled := e.table.Complete(sub, outcome, took, time.Now())
	e.report(result)
	e.proceed(ready, settled)
}

func (e *Engine) proceed(ready []shard.Sub, settled []Settled) {
	for _, s := range settled {
		e.report(s.Result)
	}
	now := time.Now()
	for _, sub := range ready {
		e.dispatch(sub, now)
	}
}

// report hands a result to the batch that waits for it or to the outbox.
func (e *Engine) report(result shard.Result) {
	f := e.forget(result.Sub)
	if f == nil || f.add(result) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.outbox[f.host] = append(e.outbox[f.host], result)
	if len(e.outbox[f.host]) == 1 {
		host := f.host
		time.AfterFunc(e.options.Linger, func() { _ = e.pool.Submit(shard.Urgent, flushJob{host: host}) })
	}
}

func (e *Engine) forget(sub uint64) *flight {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.flights[sub]
	delete(e.flights, sub)
	return f
}

func (e *Engine) flush(host string) {
	e.mu.Lock()
	results := e.outbox[host]
	delete(e.outbox, host)
	e.mu.Unlock()
	// Entry hosts treat results that never arrive as not covered.
	_ = e.courier.Deliver(e.ctx, host, results)
}

// Own makes the engine own exactly the given servers and starts to poll the
// new ones.
func (e *Engine) Own(placed []config.Placed) {
	before := e.table.Owned()
	settled := e.table.Own(placed)
	e.proceed(nil, settled)
	known := make(map[string]bool, len(before))
	for _, p := range before {
		known[p.Server.Name] = true
	}
	for _, p := range placed {
		if !known[p.Server.Name] {
			_ = e.pool.Submit(shard.Routine, pollJob{server: p})
		}
	}
}

// poll asks a server for its report and schedules the next poll while the
// server is owned.
func (e *Engine) poll(server config.Placed) {
	if _, ok := e.table.Placed(server.Server.Name); !ok {
		return
	}
	ctx, cancel := context.WithTimeout(e.ctx, e.options.Poll)
	report, err := e.backend.State(ctx, server)
	cancel()
	if err == nil {
		report.Server = server.Server.Name
		e.table.Report(report)
	}
	time.AfterFunc(e.options.Poll, func() { _ = e.pool.Submit(shard.Routine, pollJob{server: server}) })
}

// Catalog returns the catalogs of the owned servers.
func (e *Engine) Catalog() []shard.Catalog { return e.table.Catalog() }
