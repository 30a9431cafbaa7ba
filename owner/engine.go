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
	Do(ctx context.Context, server config.PlacedServer, sub shard.SubRequest) shard.Outcome
	// State requests the server's state report.
	State(ctx context.Context, server config.PlacedServer) (shard.StateReport, error)
}

// Retainer is a Backend that pools connections. Retain closes the connections
// to all servers except the given ones, because the next owner of a server
// needs its connection limit.
type Retainer interface {
	Retain(placed []config.PlacedServer)
}

// ResultSender delivers results to the host that sent the sub-requests, if its
// Submit call was answered before they were ready.
type ResultSender interface {
	Deliver(ctx context.Context, host string, results []shard.Result) error
}

// Options are the settings of an Engine.
type Options struct {
	// Workers is the number of workers; it limits the concurrent exchanges with
	// servers.
	Workers int
	// SubmitWait is how long Submit waits for results. Later results are
	// delivered by the ResultSender.
	SubmitWait time.Duration
	// Linger is how long late results for a host are collected before they are
	// delivered in one call.
	Linger time.Duration
	// PollInterval is the interval between two state requests to a server, and
	// the timeout of each.
	PollInterval time.Duration
	// SweepInterval is the interval between two checks of the servers with work
	// in progress, which detect overdue replies.
	SweepInterval time.Duration
	// Takeover applies to new servers without an imported state.
	Takeover Takeover
	// Publish is called with each change of a server that other hosts must be
	// notified of. It may be nil and must not block.
	Publish func(event.Event)
	// OnPanic, if not nil, is called with the panic of a job, which then ends only
	// the job.
	OnPanic func(work.Panic)
}

const (
	// defaultWorkers is well above the number of slots of the servers that one
	// host owns, even after it took over servers of failed hosts. Urgent
	// exchanges therefore find a free worker when routine ones are in progress.
	defaultWorkers = 512
	// defaultSweepInterval is short enough to detect a cold server within 1 s.
	defaultSweepInterval = 200 * time.Millisecond
	// defaultReservation is how long slots stay reserved for requests of a
	// failed owner. The failed owner dispatched nothing in the last 0.3 s
	// before the takeover, and the servers must be in service again within 2 s.
	defaultReservation = 500 * time.Millisecond
)

// DefaultOptions returns settings for a host that owns about 14 servers.
func DefaultOptions() Options {
	return Options{Workers: defaultWorkers, SubmitWait: 10 * time.Millisecond, Linger: time.Millisecond, PollInterval: time.Second, SweepInterval: defaultSweepInterval, Takeover: Takeover{ReserveFor: defaultReservation}}
}

// job is a unit of work for the worker pool. The interface is sealed.
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
	// polling holds the servers with a poll in progress or scheduled.
	polling map[string]bool
	closed  bool
}

// queueLimit limits the pool's queue per class. Each dispatch occupies a slot,
// so the queue cannot exceed the slots of the owned servers by much.
const queueLimit = 1 << 16

// deliverTimeout limits a delivery to a host that does not answer, which would
// otherwise block a worker and Close.
const deliverTimeout = 2 * time.Second

// NewEngine returns an Engine with running workers.
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
	e.pool = work.NewPool(options.Workers, queueLimit, e.run, work.Recovery[job]{Report: options.OnPanic, End: e.endPanicked})
	e.submitAfter(options.SweepInterval, shard.Urgent, sweepJob{})
	return e
}

// Submit admits a batch and returns the results that are ready within
// Options.SubmitWait. The ResultSender delivers the others.
func (e *Engine) Submit(ctx context.Context, batch shard.Batch) []shard.Result {
	b := newPendingBatch(batch.Sender, len(batch.Subs))
	for _, sub := range batch.Subs {
		e.admit(sub, b)
	}
	return b.wait(ctx, e.options.SubmitWait)
}

// Close stops admission, refuses queued sub-requests, waits for dispatched ones
// and delivers their results.
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

// dispatch queues a sub-request that occupies a slot for the worker pool. If
// the pool is closed or its queue is full, the sub-request is refused; it has
// not run.
func (e *Engine) dispatch(sub shard.SubRequest, at time.Time) {
	if err := e.pool.Submit(sub.Class, dispatchJob{sub: sub, at: at}); err != nil {
		e.complete(sub, shard.Refused{Reason: fault.ReasonStopping}, 0)
	}
}

// submitAfter submits a job to the pool after a delay. The error of a closed
// pool is ignored, because no work is left then.
func (e *Engine) submitAfter(after time.Duration, class shard.Class, j job) {
	time.AfterFunc(work.TimerDelay(after), func() { _ = e.pool.Submit(class, j) })
}

// scheduleWake schedules a reevaluation of a server; a zero time schedules
// none.
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

// endPanicked ends a job that panicked. Its sub-request may have run, and its slot is
// free again. Periodic jobs continue.
func (e *Engine) endPanicked(j job) {
	switch j := j.(type) {
	case dispatchJob:
		e.complete(j.sub, shard.Failed{Verdict: fault.MayHaveRun{}, Reason: fault.ReasonInternal}, 0)
	case pollJob:
		e.submitAfter(e.options.PollInterval, shard.Routine, j)
	case sweepJob:
		e.submitAfter(e.options.SweepInterval, shard.Urgent, j)
	case reevaluateJob, deliverJob:
	}
}

// send performs the last check before the dispatch, and then the exchange with
// the server.
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

// applyEffects returns the refused sub-requests, dispatches the ready ones,
// schedules the next wake-up and publishes the event.
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

// returnResult adds a result to the Submit call that waits for it. If the call
// has already returned, the result is collected for late delivery.
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
	// A delivery error is ignored: entry hosts count results that do not arrive
	// as missing coverage.
	ctx, cancel := context.WithTimeout(e.ctx, deliverTimeout)
	defer cancel()
	_ = e.sender.Deliver(ctx, host, results)
}
