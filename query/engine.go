package query

import (
	"context"
	"slices"
	"time"

	"hyssophub/config"
	"hyssophub/fault"
	"hyssophub/route"
	"hyssophub/shard"
	"hyssophub/work"
)

// Transport sends batches to the daemons that own the backend servers, in this
// process or in another.
type Transport interface {
	// Submit sends a batch to a host. It returns the results that were ready
	// in time; the others are passed to Engine.Deliver later. An error applies
	// to the whole batch and carries a verdict.
	Submit(ctx context.Context, host string, batch shard.Batch) ([]shard.Result, error)
}

// Directory looks up the host that owns a backend server.
type Directory interface {
	OwnerOf(server string) (host string, ok bool)
}

// Options are the settings of an Engine.
type Options struct {
	// Host is the name of this daemon.
	Host string
	// Workers is the number of workers; each sends one batch at a time.
	Workers int
	// Queue is the largest number of jobs that wait for a worker, per class.
	Queue int
	// OnPanic, if not nil, is called with the panic of a job, which then ends only
	// the job.
	OnPanic func(work.Panic)
}

// job is a unit of work for the workers of an Engine. The interface is sealed.
type job interface{ job() }

type (
	planJob  struct{ query *queryState }
	sendJob  struct{ batch outgoing }
	hedgeJob struct{ query *queryState }
	retryJob struct {
		query *queryState
		run   int
		needs []*need
	}
)

func (planJob) job()  {}
func (sendJob) job()  {}
func (hedgeJob) job() {}
func (retryJob) job() {}

// outgoing is a batch and the host to send it to.
type outgoing struct {
	host  string
	batch shard.Batch
}

// Engine answers queries on a pool of workers over a Table.
type Engine struct {
	config    *config.Table
	route     *route.Table
	table     *Table
	transport Transport
	directory Directory
	options   Options
	pool      *work.Pool[job]

	ctx    context.Context
	cancel context.CancelFunc
	active work.Gate
}

// NewEngine returns an engine and starts its workers.
func NewEngine(configs *config.Table, routes *route.Table, transport Transport, directory Directory, options Options) *Engine {
	e := &Engine{
		config:    configs,
		route:     routes,
		table:     NewTable(configs, routes),
		transport: transport,
		directory: directory,
		options:   options,
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.pool = work.NewPool(options.Workers, options.Queue, e.handle, work.Recovery[job]{Report: options.OnPanic, End: e.endPanicked})
	return e
}

// Run answers a query by its deadline. It returns a *fault.Error with NotRun
// if the query was refused, or with Ran if the coverage is below what the
// caller accepts.
func (e *Engine) Run(ctx context.Context, request Request) (Answer, error) {
	now := time.Now()
	if err := e.validate(&request, now); err != nil {
		return Answer{}, err
	}
	if !e.active.Enter() {
		return Answer{}, fault.New(fault.NotRun{}, fault.ReasonStopping, "host %s is stopping", e.options.Host)
	}
	defer e.active.Leave()
	q := newQueryState(request, now)
	if err := e.pool.Submit(request.Class, planJob{query: q}); err != nil {
		refusal := fault.New(fault.NotRun{}, fault.ReasonOverload, "host %s cannot queue the query: %w", e.options.Host, err)
		refusal.RetryAfter = time.Second
		return Answer{}, refusal
	}
	// The caller's own goroutine ends the query, so that a full queue cannot
	// delay the query past its deadline.
	timer := time.NewTimer(work.TimerDelay(time.Until(request.Deadline)))
	defer timer.Stop()
	select {
	case <-q.done:
	case <-timer.C:
		e.table.expire(q, time.Now())
	case <-ctx.Done():
		e.table.expire(q, time.Now())
	}
	e.table.discard(q)
	if q.runs == 0 {
		// The shards are unknown before planning, so the coverage would list
		// nothing as missing.
		return Answer{}, fault.New(fault.NotRun{}, fault.ReasonOverload, "host %s did not start the query by its deadline", e.options.Host)
	}
	if ratio := q.answer.Coverage.Ratio(); ratio < request.MinCoverage {
		return q.answer, fault.New(fault.Ran{}, fault.ReasonCoverage, "coverage %.3f is below the requested minimum %.3f", ratio, request.MinCoverage)
	}
	return q.answer, nil
}

// validate checks a request. A request without services is completed with all
// services of the tenant.
func (e *Engine) validate(request *Request, now time.Time) error {
	view := e.config.View()
	if !request.Deadline.After(now) {
		return fault.New(fault.NotRun{}, fault.ReasonDeadline, "deadline is past")
	}
	if _, ok := view.Tenant(request.Tenant); !ok {
		return fault.New(fault.NotRun{}, fault.ReasonUnknownService, "unknown tenant %q", request.Tenant)
	}
	if len(request.Services) == 0 {
		request.Services = view.TenantServices(request.Tenant)
	}
	for _, name := range request.Services {
		service, ok := view.Service(name)
		if !ok || service.Tenant != request.Tenant {
			return fault.New(fault.NotRun{}, fault.ReasonUnknownService, "tenant %q has no service %q", request.Tenant, name)
		}
	}
	return nil
}

// Deliver processes results that arrive after the reply to their batch.
func (e *Engine) Deliver(results []shard.Result) {
	for _, result := range results {
		e.handleResult(result)
	}
}

// Close refuses new queries, waits for those in progress, then stops the
// workers.
func (e *Engine) Close() {
	e.active.Close()
	e.pool.Close()
	e.cancel()
}

func (e *Engine) handle(j job) {
	switch j := j.(type) {
	case planJob:
		e.apply(j.query, e.table.begin(j.query, time.Now()))
		e.scheduleHedge(j.query)
	case sendJob:
		e.sendBatch(j.batch)
	case hedgeJob:
		e.scheduleHedge(j.query)
	case retryJob:
		e.apply(j.query, e.table.retryAfterPause(j.query, j.run, j.needs, time.Now()))
	}
}

// endPanicked ends a job that panicked. The sub-requests of a batch may have run; a
// query whose other jobs panicked ends at its deadline.
func (e *Engine) endPanicked(j job) {
	if send, ok := j.(sendJob); ok {
		e.failBatch(send.batch, fault.MayHaveRun{}, fault.ReasonInternal)
	}
}

// submit queues a follow-up job of a query. If the queue is full, the job is
// dropped, and the query ends at its deadline at the latest with the partial
// answers received by then.
func (e *Engine) submit(class shard.Class, j job) {
	_ = e.pool.Submit(class, j)
}

// apply queues the sub-requests of a step for sending and schedules its retries.
func (e *Engine) apply(q *queryState, step effects) {
	if len(step.retries) > 0 {
		retry := retryJob{query: q, run: step.run, needs: step.retries}
		time.AfterFunc(work.TimerDelay(step.pause), func() { e.submit(q.request.Class, retry) })
	}
	for _, o := range e.groupByOwner(q.request.Class, step.send) {
		if err := e.pool.Submit(q.request.Class, sendJob{batch: o}); err != nil {
			e.failBatch(o, fault.NotRun{}, fault.ReasonOverload)
		}
	}
}

// groupByOwner returns one batch per owner of the sub-requests' servers.
// Sub-requests to servers without a known owner fail.
func (e *Engine) groupByOwner(class shard.Class, subs []shard.SubRequest) []outgoing {
	var list []outgoing
	var orphans []shard.SubRequest
	revision := e.config.View().Value.Revision
	for _, sub := range subs {
		host, ok := e.directory.OwnerOf(sub.Server)
		if !ok {
			orphans = append(orphans, sub)
			continue
		}
		// A query has few owners, so a linear search is cheaper than a map.
		i := slices.IndexFunc(list, func(o outgoing) bool { return o.host == host })
		if i < 0 {
			i = len(list)
			list = append(list, outgoing{host: host, batch: shard.Batch{
				Sender:   e.options.Host,
				Revision: revision,
				Class:    class,
			}})
		}
		list[i].batch.Subs = append(list[i].batch.Subs, sub)
	}
	if len(orphans) > 0 {
		e.failBatch(outgoing{batch: shard.Batch{Subs: orphans}}, fault.NotRun{}, fault.ReasonNotOwner)
	}
	return list
}

// sendBatch submits a batch to an owner and processes the results.
func (e *Engine) sendBatch(o outgoing) {
	ctx, cancel := context.WithDeadline(e.ctx, o.batch.Subs[0].Deadline)
	defer cancel()
	results, err := e.transport.Submit(ctx, o.host, o.batch)
	if err != nil {
		e.failBatch(o, fault.VerdictOf(err), fault.ReasonOf(err))
		return
	}
	e.Deliver(results)
}

// failBatch records the same failure for all sub-requests of a batch.
func (e *Engine) failBatch(o outgoing, verdict fault.Verdict, reason fault.Reason) {
	var outcome shard.Outcome = shard.Failed{Verdict: verdict, Reason: reason}
	if _, ok := verdict.(fault.NotRun); ok {
		outcome = shard.Refused{Reason: reason}
	}
	for _, sub := range o.batch.Subs {
		e.handleResult(shard.Result{SubID: sub.ID, Server: sub.Server, Outcome: outcome})
	}
}

func (e *Engine) handleResult(result shard.Result) {
	step, q := e.table.handleResult(result, time.Now())
	if q != nil {
		e.apply(q, step)
	}
}

// scheduleHedge sends hedges for overdue sub-requests and sets the timer for the
// next check.
func (e *Engine) scheduleHedge(q *queryState) {
	step, next := e.table.hedgeOverdue(q, time.Now())
	e.apply(q, step)
	if next > 0 {
		time.AfterFunc(next, func() { e.submit(q.request.Class, hedgeJob{query: q}) })
	}
}
