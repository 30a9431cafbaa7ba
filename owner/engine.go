package owner

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"hyssophub/config"
	"hyssophub/event"
	"hyssophub/fault"
	"hyssophub/shard"
	"hyssophub/work"
)

// Backend performs one exchange with a backend server.
type Backend interface {
	// Do sends a sub-request and returns its outcome. It returns by the
	// sub-request's deadline.
	Do(ctx context.Context, server config.PlacedServer, sub shard.Sub) shard.Outcome
	// State asks the server for its report.
	State(ctx context.Context, server config.PlacedServer) (shard.Report, error)
}

// Retainer is a Backend that holds connections. Retain closes those to all but
// the given servers, because the next owner needs the connection limit.
type Retainer interface {
	Retain(placed []config.PlacedServer)
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
	// Sweep is the interval between two looks at servers with work in
	// progress, which find overdue replies.
	Sweep time.Duration
	// Takeover applies to servers that come without a handover.
	Takeover Takeover
	// Publish is called with each change of a server that other hosts must
	// hear of. It may be nil and must not block.
	Publish func(event.Event)
}

const (
	// workers is well above the slots of the servers that one host owns, also
	// after the failure of its neighbours, so that routine exchanges do not
	// keep urgent ones from a worker.
	workers = 512
	// sweepInterval keeps the detection of a cold server under 1 s.
	sweepInterval = 200 * time.Millisecond
	// reserveTime is the bound of the requests that a failed owner left
	// behind. It dispatched nothing in the last 0.3 s before the takeover,
	// and the servers must be in service again within 2 s.
	reserveTime = 500 * time.Millisecond
)

// DefaultOptions returns settings for a daemon that owns about 14 servers.
func DefaultOptions() Options {
	return Options{Workers: workers, Hold: 10 * time.Millisecond, Linger: time.Millisecond, Poll: time.Second, Sweep: sweepInterval, Takeover: Takeover{Reserve: reserveTime}}
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
	pollJob  struct{ server string }
	sweepJob struct{}
)

func (dispatchJob) job() {}
func (wakeJob) job()     {}
func (flushJob) job()    {}
func (pollJob) job()     {}
func (sweepJob) job()    {}

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
	// polled holds the servers with a poll under way or scheduled.
	polled map[string]bool
	closed bool
}

// queueLimit bounds the pool's queue per class. Dispatches hold a slot each,
// so the queue cannot exceed the owned servers' slots by much.
const queueLimit = 1 << 16

// deliverTimeout ends a delivery to a host that does not answer, which would
// otherwise hold a worker and Close.
const deliverTimeout = 2 * time.Second

// NewEngine starts the workers.
func NewEngine(table *Table, backend Backend, courier Courier, options Options) *Engine {
	e := &Engine{
		table:   table,
		backend: backend,
		courier: courier,
		options: options,
		flights: make(map[uint64]*flight),
		outbox:  make(map[string][]shard.Result),
		polled:  make(map[string]bool),
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.pool = work.NewPool(options.Workers, queueLimit, e.handle)
	e.later(options.Sweep, shard.Urgent, sweepJob{})
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

// Close stops taking work, refuses queued sub-requests, lets dispatched ones
// finish and delivers the results.
func (e *Engine) Close() {
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	e.Release(e.table.Names())
	e.pool.Close()
	e.mu.Lock()
	hosts := slices.Collect(maps.Keys(e.outbox))
	e.mu.Unlock()
	for _, host := range hosts {
		e.flush(host)
	}
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
		e.arrange(sub.Server, d.Wake, now)
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

// later queues a job after a time. A closed pool has nothing left to do.
func (e *Engine) later(after time.Duration, class shard.Class, j job) {
	time.AfterFunc(after, func() { _ = e.pool.Submit(class, j) })
}

// arrange schedules a look at a server's queue. A zero time means none.
func (e *Engine) arrange(server string, at, now time.Time) {
	if !at.IsZero() {
		e.later(at.Sub(now), shard.Urgent, wakeJob{server: server})
	}
}

func (e *Engine) handle(j job) {
	switch j := j.(type) {
	case dispatchJob:
		e.exchange(j)
	case wakeJob:
		now := time.Now()
		e.proceed(j.server, e.table.Wake(j.server, now), now)
	case flushJob:
		e.flush(j.host)
	case pollJob:
		e.poll(j.server)
	case sweepJob:
		e.sweep()
	}
}

// exchange performs the last check and the exchange with the server.
func (e *Engine) exchange(j dispatchJob) {
	start := time.Now()
	placed, reason, ok := e.table.Check(j.sub, start)
	if !ok {
		e.finish(j.sub, shard.Refused{Reason: reason, RetryAfter: refusalPause}, 0)
		return
	}
	ctx, cancel := context.WithDeadline(e.ctx, j.sub.Deadline)
	outcome := e.backend.Do(ctx, placed, j.sub)
	cancel()
	e.finish(j.sub, outcome, time.Since(start))
}

func (e *Engine) finish(sub shard.Sub, outcome shard.Outcome, took time.Duration) {
	now := time.Now()
	result, turn := e.table.Complete(sub, outcome, took, now)
	e.report(result)
	e.proceed(sub.Server, turn, now)
}

// proceed carries out what follows from a change of a server's record.
func (e *Engine) proceed(server string, turn Turn, now time.Time) {
	for _, s := range turn.Settled {
		e.report(s.Result)
	}
	for _, sub := range turn.Ready {
		e.dispatch(sub, now)
	}
	e.arrange(server, turn.Wake, now)
	if turn.Event != nil && e.options.Publish != nil {
		e.options.Publish(turn.Event)
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
	if len(results) == 0 {
		return
	}
	// Entry hosts treat results that never arrive as not covered.
	ctx, cancel := context.WithTimeout(e.ctx, deliverTimeout)
	defer cancel()
	_ = e.courier.Deliver(ctx, host, results)
}
