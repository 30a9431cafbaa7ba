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
	Do(ctx context.Context, server config.Placed, sub shard.SubRequest) shard.Outcome
	// State asks the server for its report.
	State(ctx context.Context, server config.Placed) (shard.StateReport, error)
}

// Retainer is a Backend that holds connections. Retain closes those to all but
// the given servers, because the next owner needs the connection limit.
type Retainer interface{ Retain(placed []config.Placed) }

// ResultSender takes results to the daemon that sent the sub-requests after its
// call was answered without them.
type ResultSender interface {
	Deliver(ctx context.Context, host string, results []shard.Result) error
}

// Options are the settings of an Engine.
type Options struct {
	// Workers is the number of workers; it bounds the exchanges in progress.
	Workers int
	// SubmitWait is how long Submit waits for results before it answers without
	// the missing ones.
	SubmitWait time.Duration
	// Linger is how long late results for a host are collected before they
	// are delivered in one call.
	Linger time.Duration
	// PollInterval is the interval between two state requests to a server.
	PollInterval time.Duration
	// SweepInterval is the interval between two looks at servers with work in
	// progress, which find overdue replies.
	SweepInterval time.Duration
	// Takeover applies to servers that come without a handover.
	Takeover Takeover
	// Publish is called with each change of a server that other hosts must
	// hear of. It may be nil and must not block.
	Publish func(event.Event)
}

const (
	// defaultWorkers is well above the slots of the servers that one host owns, also
	// after the failure of its neighbours, so that routine exchanges do not
	// keep urgent ones from a worker.
	defaultWorkers = 512
	// defaultSweepInterval keeps the detection of a cold server under 1 s.
	defaultSweepInterval = 200 * time.Millisecond
	// defaultReservation is the bound of the requests that a failed owner left
	// behind. It dispatched nothing in the last 0.3 s before the takeover,
	// and the servers must be in service again within 2 s.
	defaultReservation = 500 * time.Millisecond
)

// DefaultOptions returns settings for a daemon that owns about 14 servers.
func DefaultOptions() Options {
	return Options{Workers: defaultWorkers, SubmitWait: 10 * time.Millisecond, Linger: time.Millisecond, PollInterval: time.Second, SweepInterval: defaultSweepInterval, Takeover: Takeover{ReserveFor: defaultReservation}}
}

// job is what a worker of the owner does. The interface is sealed.
type job interface{ job() }

type (
	dispatchJob struct {
		sub shard.SubRequest
		at  time.Time
	}
	reevaluateJob struct{ server string }
	deliverJob    struct{ host string }
	pollJob       struct{ server string }
	sweepJob      struct{}
)

func (dispatchJob) job()   {}
func (reevaluateJob) job() {}
func (deliverJob) job()    {}
func (pollJob) job()       {}
func (sweepJob) job()      {}

// Engine runs admitted sub-requests on a pool of workers over a Table.
type Engine struct {
	table   *Table
	backend Backend
	sender  ResultSender
	options Options
	pool    *work.Pool[job]

	ctx    context.Context
	cancel context.CancelFunc

	mu          sync.Mutex
	pending     map[uint64]*pendingBatch
	lateResults map[string][]shard.Result
	// polling holds the servers with a poll under way or scheduled.
	polling map[string]bool
	closed  bool
}

// queueLimit bounds the pool's queue per class. Dispatches hold a slot each,
// so the queue cannot exceed the owned servers' slots by much.
const queueLimit = 1 << 16

// deliverTimeout ends a delivery to a host that does not answer, which would
// otherwise hold a worker and Close.
const deliverTimeout = 2 * time.Second

// NewEngine starts the workers.
func NewEngine(table *Table, backend Backend, sender ResultSender, options Options) *Engine {
	e := &Engine{
		table:       table,
		backend:     backend,
		sender:      sender,
		options:     options,
		pending:     make(map[uint64]*pendingBatch),
		lateResults: make(map[string][]shard.Result),
		polling:     make(map[string]bool),
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.pool = work.NewPool(options.Workers, queueLimit, e.run)
	e.submitAfter(options.SweepInterval, shard.Urgent, sweepJob{})
	return e
}

// Submit admits a batch and returns the results that are ready within the hold
// time. The others follow through the Courier.
func (e *Engine) Submit(ctx context.Context, batch shard.Batch) []shard.Result {
	b := newPendingBatch(batch.Sender, len(batch.Subs))
	for _, sub := range batch.Subs {
		e.admit(sub, b)
	}
	return b.wait(ctx, e.options.SubmitWait)
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
	hosts := slices.Collect(maps.Keys(e.lateResults))
	e.mu.Unlock()
	for _, host := range hosts {
		e.deliverLate(host)
	}
	e.cancel()
}

func (e *Engine) admit(sub shard.SubRequest, b *pendingBatch) {
	now := time.Now()
	e.mu.Lock()
	closed := e.closed
	if !closed {
		e.pending[sub.ID] = b
	}
	e.mu.Unlock()
	if closed {
		e.refuse(b, sub, Refuse{Reason: fault.ReasonStopping}, now)
		return
	}
	switch d := e.table.Admit(sub, now).(type) {
	case Dispatch:
		e.dispatch(sub, now)
	case Queued:
		e.scheduleWake(sub.Server, d.WakeAt, now)
	case Refuse:
		e.removePending(sub.ID)
		e.refuse(b, sub, d, now)
	}
}

func (e *Engine) refuse(b *pendingBatch, sub shard.SubRequest, refuse Refuse, now time.Time) {
	stats, _ := e.table.Stats(sub.Server, now)
	b.add(shard.Result{
		SubID:   sub.ID,
		Server:  sub.Server,
		Outcome: shard.Refused{Reason: refuse.Reason, RetryAfter: refuse.RetryAfter},
		Stats:   stats,
	})
}

// dispatch queues the exchange. A pool that takes no more jobs refuses the
// sub-request, which has not run.
func (e *Engine) dispatch(sub shard.SubRequest, at time.Time) {
	if err := e.pool.Submit(sub.Class, dispatchJob{sub: sub, at: at}); err != nil {
		e.complete(sub, shard.Refused{Reason: fault.ReasonStopping}, 0)
	}
}

// submitAfter queues a job after a time. A closed pool has nothing left to do.
func (e *Engine) submitAfter(after time.Duration, class shard.Class, j job) {
	time.AfterFunc(after, func() { _ = e.pool.Submit(class, j) })
}

// scheduleWake schedules a look at a server's queue. A zero time means none.
func (e *Engine) scheduleWake(server string, at, now time.Time) {
	if !at.IsZero() {
		e.submitAfter(at.Sub(now), shard.Urgent, reevaluateJob{server: server})
	}
}

func (e *Engine) run(j job) {
	switch j := j.(type) {
	case dispatchJob:
		e.send(j)
	case reevaluateJob:
		now := time.Now()
		e.applyEffects(j.server, e.table.Reevaluate(j.server, now), now)
	case deliverJob:
		e.deliverLate(j.host)
	case pollJob:
		e.poll(j.server)
	case sweepJob:
		e.sweep()
	}
}

// send performs the last check and the send with the server.
func (e *Engine) send(j dispatchJob) {
	start := time.Now()
	placed, reason, ok := e.table.CheckDispatch(j.sub, start)
	if !ok {
		e.complete(j.sub, shard.Refused{Reason: reason, RetryAfter: minRetryAfter}, 0)
		return
	}
	ctx, cancel := context.WithDeadline(e.ctx, j.sub.Deadline)
	outcome := e.backend.Do(ctx, placed, j.sub)
	cancel()
	e.complete(j.sub, outcome, time.Since(start))
}

func (e *Engine) complete(sub shard.SubRequest, outcome shard.Outcome, took time.Duration) {
	now := time.Now()
	result, effects := e.table.Complete(sub, outcome, took, now)
	e.returnResult(result)
	e.applyEffects(sub.Server, effects, now)
}

// applyEffects carries out what follows from a change of a server's record.
func (e *Engine) applyEffects(server string, effects Effects, now time.Time) {
	for _, s := range effects.Refused {
		e.returnResult(s.Result)
	}
	for _, sub := range effects.Ready {
		e.dispatch(sub, now)
	}
	e.scheduleWake(server, effects.WakeAt, now)
	if effects.Event != nil && e.options.Publish != nil {
		e.options.Publish(effects.Event)
	}
}

// returnResult hands a result to the batch that waits for it or to the outbox.
func (e *Engine) returnResult(result shard.Result) {
	b := e.removePending(result.SubID)
	if b == nil || b.add(result) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lateResults[b.host] = append(e.lateResults[b.host], result)
	if len(e.lateResults[b.host]) == 1 {
		host := b.host
		time.AfterFunc(e.options.Linger, func() { _ = e.pool.Submit(shard.Urgent, deliverJob{host: host}) })
	}
}

func (e *Engine) removePending(sub uint64) *pendingBatch {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.pending[sub]
	delete(e.pending, sub)
	return b
}

func (e *Engine) deliverLate(host string) {
	e.mu.Lock()
	results := e.lateResults[host]
	delete(e.lateResults, host)
	e.mu.Unlock()
	if len(results) == 0 {
		return
	}
	// Entry hosts treat results that never arrive as not covered.
	ctx, cancel := context.WithTimeout(e.ctx, deliverTimeout)
	defer cancel()
	_ = e.sender.Deliver(ctx, host, results)
}
