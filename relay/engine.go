package relay

import (
	"context"
	"sync"
	"time"

	"hyssophub/fault"
	"hyssophub/rules"
	"hyssophub/shard"
	"hyssophub/work"
)

// Options are the settings of an Engine.
type Options struct {
	// Host is the name of this host.
	Host string
	// Workers is the number of workers; each performs one exchange or call at a
	// time.
	Workers int
	// QueueLimit bounds the jobs that wait for a worker, per class.
	QueueLimit int
}

// job is what a worker does. The interface is sealed.
type job interface{ job() }

type (
	sendJob    struct{ exchange *exchange }
	collectJob struct{ delegation *delegation }
	restJob    struct{ delegation *delegation }
)

func (sendJob) job()    {}
func (collectJob) job() {}
func (restJob) job()    {}

// Engine serves requests on a pool of workers over a Table.
type Engine struct {
	rules   *rules.Table
	table   *Table
	backend Backend
	link    HelperClient
	options Options
	pool    *work.Pool[job]
	active  work.Gate

	ctx    context.Context
	cancel context.CancelFunc

	// mu guards the collections that wait for their rest to be asked for. No
	// other lock is taken under it.
	mu      sync.Mutex
	lingers map[uint64]*lingering
	token   uint64
}

// NewEngine starts the workers.
func NewEngine(routing *rules.Table, table *Table, backend Backend, link HelperClient, options Options) *Engine {
	e := &Engine{
		rules:   routing,
		table:   table,
		backend: backend,
		link:    link,
		options: options,
		lingers: make(map[uint64]*lingering),
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.pool = work.NewPool(options.Workers, options.QueueLimit, e.handle)
	return e
}

// Report describes how a request was served, for logs and metrics.
type Report struct {
	Sends  int
	Hedges int
	// Helpers is the number of other hosts that collected parts.
	Helpers int
	// Unanswered names the services without an answer, with the reasons.
	Unanswered []UnansweredService
}

// UnansweredService is a service without an answer.
type UnansweredService struct {
	Service string
	Reason  fault.Reason
	// Helper is the host that was asked to collect the part, if any.
	Helper string
	// Tried are the instances that were asked.
	Tried []string
}

// Serve answers a request by its deadline and its route's timeout.
func (e *Engine) Serve(ctx context.Context, request Request) (Result, Report) {
	now := time.Now()
	if !request.Deadline.After(now) {
		return declined(fault.NotRun{}, fault.ReasonDeadline, 0), Report{}
	}
	if !e.active.Enter() {
		return declined(fault.NotRun{}, fault.ReasonStopping, refuseAfter), Report{}
	}
	defer e.active.Leave()
	r := e.newRecord(ctx, request)
	defer r.cancel()
	step := e.table.begin(r, now)
	helpers := len(step.collect)
	result := e.run(r, step)
	if e.table.finish(r) && ctx.Err() == nil {
		time.AfterFunc(lateTime, r.endCalls)
	} else {
		r.endCalls()
	}
	report := r.report()
	report.Helpers = helpers
	return result, report
}

func (e *Engine) newRecord(ctx context.Context, request Request) *record {
	r := &record{request: request, wake: make(chan struct{}, 1)}
	r.ctx, r.cancel = context.WithCancel(ctx)
	r.calls, r.endCalls = context.WithCancel(e.ctx)
	route := request.Route
	r.end = request.Deadline.Add(-endMargin)
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
		r.answerAt = request.Arrived.Add(route.TargetLatency - e.table.margin(request.NetworkTime))
		r.parts = make([]part, len(target.Services))
		for i, s := range target.Services {
			r.parts[i].service = s
		}
	}
	return r
}

// run waits for outcomes and times until the request has its answer.
func (e *Engine) run(r *record, step effects) Result {
	timer := time.NewTimer(time.Until(step.next))
	defer timer.Stop()
	for {
		for _, x := range step.send {
			e.submit(r, sendJob{x})
		}
		for _, x := range step.collect {
			e.submit(r, collectJob{x})
		}
		for _, x := range step.rest {
			e.submit(r, restJob{x})
		}
		if step.result != nil {
			return step.result
		}
		timer.Reset(time.Until(step.next))
		select {
		case <-r.wake:
		case <-timer.C:
		case <-r.ctx.Done():
			return declined(fault.MayHaveRun{}, fault.ReasonClientLeft, 0)
		}
		step = e.table.step(r, time.Now())
	}
}

// lateTime is how long after a request's end the hosts that collected for it may
// still answer before they count as failed.
const lateTime = 40 * time.Millisecond

// classOf maps the operators' ranks to the classes of the worker pool.
func classOf(route *rules.Route) shard.Class {
	if route.Priority <= highRank {
		return shard.Urgent
	}
	return shard.Routine
}

// highRank is the lowest rank that goes before routine work.
const highRank = 1

func (e *Engine) submit(r *record, j job) {
	err := e.pool.Submit(classOf(r.request.Route), j)
	if err == nil {
		return
	}
	refusal := fault.New(fault.NotRun{}, fault.ReasonOverload, "host %s: %w", e.options.Host, err)
	switch j := j.(type) {
	case sendJob:
		e.table.take(j.exchange, Failed{Verdict: fault.NotRun{}, Reason: fault.ReasonOverload, Err: err}, time.Now())
	case collectJob:
		e.table.settle(j.delegation, PartialResult{}, refusal, time.Now())
	case restJob:
		e.table.settle(j.delegation, PartialResult{}, refusal, time.Now())
	}
}

func (e *Engine) handle(j job) {
	switch j := j.(type) {
	case sendJob:
		e.exchange(j.exchange)
	case collectJob:
		c, err := e.link.Collect(j.delegation.record.calls, j.delegation.address, j.delegation.share())
		e.table.settle(j.delegation, c, err, time.Now())
	case restJob:
		c, err := e.link.CollectMore(j.delegation.record.calls, j.delegation.address, j.delegation.token)
		e.table.settle(j.delegation, c, err, time.Now())
	}
}

// exchange performs one order.
func (e *Engine) exchange(x *exchange) {
	ctx := x.record.ctx
	if ctx.Err() != nil {
		e.table.take(x, Failed{Verdict: fault.NotRun{}, Reason: fault.ReasonStopping, Err: ctx.Err()}, time.Now())
		return
	}
	outcome := e.backend.Do(ctx, x.order)
	e.table.take(x, outcome, time.Now())
}

// Close refuses new requests, waits for those in progress, then stops the
// workers.
func (e *Engine) Close() {
	// Collections end at once; the hosts that asked for them fall back.
	e.cancel()
	e.active.Close()
	e.pool.Close()
}

// report is called when the request is finished; outcomes that arrive later
// do not change the record's parts any more.
func (r *record) report() Report {
	report := Report{Sends: r.sends, Hedges: r.hedges}
	for i := range r.parts {
		p := &r.parts[i]
		if p.answer == nil {
			report.Unanswered = append(report.Unanswered, UnansweredService{Service: p.service, Reason: p.lostBy(), Helper: p.helper, Tried: p.tried})
		}
	}
	return report
}
