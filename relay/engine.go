package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"hyssophub/admit"
	"hyssophub/fault"
	"hyssophub/flow"
	"hyssophub/rules"
	"hyssophub/shard"
	"hyssophub/work"
)

// Options are the settings of an Engine.
type Options struct {
	// Host is the name of this host, for error messages.
	Host string
	// Workers is the number of workers. Each performs one exchange or one call
	// to a helper at a time.
	Workers int
	// QueueLimit is the greatest number of jobs per class that wait for a
	// worker.
	QueueLimit int
	// Admission, if not nil, limits the requests in progress.
	Admission *admit.Table
	// OnNotice, if not nil, is called when a backend server says something else than
	// before of the requests that it takes.
	OnNotice func(flow.Change)
	// OnPanic, if not nil, is called with a panic in the service of a request, which
	// then ends only that request.
	OnPanic func(work.Panic)
}

// job is a unit of work for the pool. The interface is sealed.
type job interface{ job() }

type (
	sendJob        struct{ exchange *exchange }
	collectJob     struct{ delegation *delegation }
	collectMoreJob struct{ delegation *delegation }
)

func (sendJob) job()        {}
func (collectJob) job()     {}
func (collectMoreJob) job() {}

// Engine serves requests on a pool of workers over a Table.
type Engine struct {
	rules   *rules.Table
	table   *Table
	backend Backend
	helpers HelperClient
	options Options
	pool    *work.Pool[job]
	active  work.Gate
	stop    stopState

	ctx    context.Context
	cancel context.CancelFunc

	// mu guards suspended and lastToken. No other lock is acquired while it is
	// held. Tokens begin at a random number, so that one of the host's previous run
	// does not name a collection of this run.
	mu        sync.Mutex
	suspended map[uint64]*suspendedCollection
	lastToken uint64
}

// NewEngine returns an engine and starts its workers.
func NewEngine(routing *rules.Table, table *Table, backend Backend, helpers HelperClient, options Options) *Engine {
	e := &Engine{
		rules:     routing,
		table:     table,
		backend:   backend,
		helpers:   helpers,
		options:   options,
		suspended: make(map[uint64]*suspendedCollection),
		lastToken: rand.Uint64(),
	}
	e.stop.ended = make(chan struct{})
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.pool = work.NewPool(options.Workers, options.QueueLimit, e.handle, work.Recovery[job]{Report: options.OnPanic, End: e.endPanicked})
	return e
}

// Report describes how a request was served, for logs and metrics.
type Report struct {
	Sends  int
	Hedges int
	// Detours is the number of sends to a server that was chosen because a better one
	// bounds its requests.
	Detours int
	// Trials is the number of sends to the target version of a roll-out without a verdict.
	Trials int
	// Helpers is the number of hosts that parts were delegated to.
	Helpers int
	// Asked lists the hosts that were asked for a permit for the request, if it was
	// refused for want of one.
	Asked []string
	// Unanswered lists the services without an answer.
	Unanswered []UnansweredService
}

// UnansweredService is a service without an answer, with the reason.
type UnansweredService struct {
	Service string
	Reason  fault.Reason
	// Helper is the host that the part was last delegated to, if any.
	Helper string
	// Tried lists the instances that the part was sent to by this host.
	Tried []string
}

// Serve answers a request before its deadline and within the timeout of its
// route.
func (e *Engine) Serve(ctx context.Context, request Request) (Result, Report) {
	now := time.Now()
	if !request.Deadline.After(now) {
		return declined(fault.NotRun{}, fault.ReasonDeadline, 0), Report{}
	}
	if e.stop.isTooLate(request.Route.TargetLatency, now) || !e.active.Enter() {
		return declined(fault.NotRun{}, fault.ReasonStopping, refusalRetryAfter), Report{}
	}
	defer e.active.Leave()
	if e.hasAccounts(request.View) {
		if refused := e.enter(ctx, admissionOf(&request)); refused != nil {
			return Declined{Err: refused}, Report{}
		}
		defer e.leave()
	}
	r := e.newRequestState(ctx, request)
	defer r.cancel()
	var (
		result  Result = declined(fault.MayHaveRun{}, fault.ReasonInternal, 0)
		helpers int
	)
	work.Guard(e.options.OnPanic, func() {
		next := e.table.begin(r, time.Now())
		helpers = len(next.collect)
		result = e.run(r, next)
	})
	if e.table.finish(r) && ctx.Err() == nil {
		time.AfterFunc(helperGrace, r.cancelHelpers)
	} else {
		r.cancelHelpers()
	}
	report := e.table.report(r)
	report.Helpers = helpers
	return result, report
}

func (e *Engine) newRequestState(ctx context.Context, request Request) *requestState {
	r := &requestState{request: request, wake: make(chan struct{}, 1)}
	ctx, cancel := context.WithCancelCause(ctx)
	r.ctx, r.fail = ctx, cancel
	r.cancel = func() { cancel(nil) }
	r.helperCtx, r.cancelHelpers = context.WithCancel(e.ctx)
	route := request.Route
	r.end = request.Deadline.Add(-deadlineMargin)
	if route.Timeout > 0 {
		if end := request.Arrived.Add(route.Timeout); end.Before(r.end) {
			r.end = end
		}
	}
	switch target := route.Target.(type) {
	case rules.Single:
		r.parts = []part{{service: target.Service}}
	case rules.Split:
		r.parts = []part{{service: e.rules.Pick(route.Name, target)}}
	case rules.Gather:
		r.gather = &target
		lead := min(e.table.answerLead(request.NetworkTime, time.Now()), route.TargetLatency/2)
		r.answerAt = request.Arrived.Add(route.TargetLatency - lead)
		if r.end.Before(r.answerAt) {
			r.answerAt = r.end
		}
		r.parts = make([]part, len(target.Services))
		for i, s := range target.Services {
			r.parts[i].service = s
		}
	}
	return r
}

// run carries out the actions of a request until its result is decided.
func (e *Engine) run(r *requestState, next actions) Result {
	timer := time.NewTimer(work.TimerDelay(time.Until(next.wakeAt)))
	defer timer.Stop()
	for {
		for _, x := range next.send {
			e.submit(r, sendJob{x})
		}
		for _, x := range next.collect {
			e.submit(r, collectJob{x})
		}
		for _, x := range next.collectMore {
			e.submit(r, collectMoreJob{x})
		}
		if next.result != nil {
			return next.result
		}
		timer.Reset(work.TimerDelay(time.Until(next.wakeAt)))
		select {
		case <-r.wake:
		case <-timer.C:
			e.observeLag(next.wakeAt)
		case <-e.stop.ended:
			if r.collecting {
				// The host that asked gets what is in, and no token to wait for more.
				r.cancel()
				return Merged{}
			}
			return e.table.stopped(r)
		case <-r.ctx.Done():
		}
		switch cause := context.Cause(r.ctx); {
		case errors.Is(cause, errPanicked):
			return declined(fault.MayHaveRun{}, fault.ReasonInternal, 0)
		case cause != nil:
			return declined(fault.MayHaveRun{}, fault.ReasonClientLeft, 0)
		}
		next = e.table.step(r, time.Now())
	}
}

// helperGrace is the time after the end of a request within which its helpers
// may still answer before they count as failed.
const helperGrace = 40 * time.Millisecond

// classOf returns the worker pool's class for the priority of a request.
func classOf(r *Request) shard.Class {
	if r.Priority() <= maxUrgentPriority {
		return shard.Urgent
	}
	return shard.Routine
}

// maxUrgentPriority is the greatest priority number that is served before
// routine work.
const maxUrgentPriority = 1

func (e *Engine) submit(r *requestState, j job) {
	err := e.pool.Submit(classOf(&r.request), j)
	if err == nil {
		return
	}
	refusal := fault.New(fault.NotRun{}, fault.ReasonOverload, "host %s: %w", e.options.Host, err)
	switch j := j.(type) {
	case sendJob:
		e.table.recordOutcome(j.exchange, Failed{Verdict: fault.NotRun{}, Reason: fault.ReasonOverload, Err: err}, time.Now())
	case collectJob:
		e.table.recordPartialResult(j.delegation, PartialResult{}, refusal, time.Now())
	case collectMoreJob:
		e.table.recordPartialResult(j.delegation, PartialResult{}, refusal, time.Now())
	}
}

func (e *Engine) handle(j job) {
	switch j := j.(type) {
	case sendJob:
		e.exchange(j.exchange)
	case collectJob:
		c, err := e.helpers.Collect(j.delegation.state.helperCtx, j.delegation.address, j.delegation.collectRequest())
		e.table.recordPartialResult(j.delegation, c, err, time.Now())
	case collectMoreJob:
		ctx, cancel := context.WithDeadline(j.delegation.state.helperCtx, j.delegation.state.end.Add(helperGrace))
		c, err := e.helpers.CollectMore(ctx, j.delegation.address, j.delegation.token)
		cancel()
		e.table.recordPartialResult(j.delegation, c, err, time.Now())
	}
}

// errPanicked is the cause of the end of a request one of whose jobs panicked.
var errPanicked = errors.New("relay: a job of the request panicked")

// endPanicked ends the request of a job that panicked, because its state may be
// changed in part. The request may have run.
func (e *Engine) endPanicked(j job) {
	err := fault.New(fault.MayHaveRun{}, fault.ReasonInternal, "host %s: %w", e.options.Host, errPanicked)
	switch j := j.(type) {
	case sendJob:
		j.exchange.state.fail(errPanicked)
		e.table.recordOutcome(j.exchange, Failed{Verdict: fault.MayHaveRun{}, Reason: fault.ReasonInternal, Err: err}, time.Now())
	case collectJob:
		j.delegation.state.fail(errPanicked)
		e.table.recordPartialResult(j.delegation, PartialResult{}, err, time.Now())
	case collectMoreJob:
		j.delegation.state.fail(errPanicked)
		e.table.recordPartialResult(j.delegation, PartialResult{}, err, time.Now())
	}
}

// exchange performs one exchange with a backend server and records its outcome.
func (e *Engine) exchange(x *exchange) {
	ctx := x.ctx
	defer x.cancel()
	if ctx.Err() != nil {
		e.table.recordOutcome(x, Failed{Verdict: fault.NotRun{}, Reason: fault.ReasonStopping, Err: ctx.Err()}, time.Now())
		return
	}
	outcome := e.backend.Do(ctx, x.request)
	changes := e.table.recordOutcome(x, outcome, time.Now())
	if e.options.OnNotice == nil {
		return
	}
	for _, c := range changes {
		e.options.OnNotice(c)
	}
}

// Close refuses new requests, waits for those in progress, then stops the
// workers.
func (e *Engine) Close() {
	// Collections for other hosts are cancelled at once; those hosts then send
	// the parts to backend servers themselves.
	e.cancel()
	e.stop.close()
	e.active.Close()
	e.pool.Close()
}

// report describes a request after finish. Outcomes that arrive later still end its
// exchanges.
func (t *Table) report(r *requestState) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	report := Report{Sends: r.sends, Hedges: r.hedges, Detours: r.detours, Trials: r.trials}
	for i := range r.parts {
		p := &r.parts[i]
		if p.answer == nil {
			report.Unanswered = append(report.Unanswered, UnansweredService{Service: p.service, Reason: p.missingReason(), Helper: p.helper, Tried: p.tried})
		}
	}
	return report
}
