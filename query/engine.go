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

// Link carries batches to the daemons that own backend servers, in this
// process or another.
type Link interface {
	// Submit returns the results that were ready in time; the others arrive
	// at Engine.Deliver. An error applies to the whole batch and carries a
	// verdict.
	Submit(ctx context.Context, host string, batch shard.Batch) ([]shard.Result, error)
}

// Directory tells which host owns a backend server.
type Directory interface {
	OwnerOf(server string) (host string, ok bool)
}

// Options are the settings of an Engine.
type Options struct {
	// Host is the name of this daemon.
	Host string
	// Workers is the number of workers; each sends one batch at a time.
	Workers int
	// Queue bounds the jobs that wait for a worker, per class.
	Queue int
}

// job is what a worker of the entry side does. The interface is sealed.
type job interface{ job() }

type (
	planJob  struct{ record *record }
	sendJob  struct{ batch outgoing }
	hedgeJob struct{ record *record }
	againJob struct {
		record *record
		run    int
		needs  []*need
	}
)

func (planJob) job()  {}
func (sendJob) job()  {}
func (hedgeJob) job() {}
func (againJob) job() {}

// outgoing is a batch with its destination.
type outgoing struct {
	host  string
	batch shard.Batch
}

// Engine answers queries on a pool of workers over a Table.
type Engine struct {
	config    *config.Table
	route     *route.Table
	table     *Table
	link      Link
	directory Directory
	options   Options
	pool      *work.Pool[job]

	ctx    context.Context
	cancel context.CancelFunc
	active work.Gate
}

// NewEngine starts the workers.
func NewEngine(configs *config.Table, routes *route.Table, link Link, directory Directory, options Options) *Engine {
	e := &Engine{
		config:    configs,
		route:     routes,
		table:     NewTable(configs, routes),
		link:      link,
		directory: directory,
		options:   options,
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.pool = work.NewPool(options.Workers, options.Queue, e.handle)
	return e
}

// Run answers a query by its deadline. It returns a *fault.Error with NotRun
// if the query was refused, or with Ran if the coverage is below what the
// caller accepts.
func (e *Engine) Run(ctx context.Context, request Request) (Answer, error) {
	now := time.Now()
	if err := e.check(&request, now); err != nil {
		return Answer{}, err
	}
	if !e.active.Enter() {
		return Answer{}, fault.New(fault.NotRun{}, fault.ReasonStopping, "host %s is stopping", e.options.Host)
	}
	defer e.active.Leave()
	r := newRecord(request, now)
	if err := e.pool.Submit(request.Class, planJob{record: r}); err != nil {
		refusal := fault.New(fault.NotRun{}, fault.ReasonOverload, "host %s: %w", e.options.Host, err)
		refusal.RetryAfter = time.Second
		return Answer{}, refusal
	}
	// The caller's own goroutine ends the query, so that a full queue cannot
	// delay it past the deadline.
	timer := time.NewTimer(time.Until(request.Deadline))
	defer timer.Stop()
	select {
	case <-r.done:
	case <-timer.C:
		e.table.expire(r, time.Now())
	case <-ctx.Done():
		e.table.expire(r, time.Now())
	}
	e.table.forget(r)
	if r.runs == 0 {
		// Without a plan, an empty coverage would say that nothing is missing.
		return Answer{}, fault.New(fault.NotRun{}, fault.ReasonOverload, "host %s did not start the query by its deadline", e.options.Host)
	}
	if ratio := r.answer.Coverage.Ratio(); ratio < request.MinCoverage {
		return r.answer, fault.New(fault.Ran{}, fault.ReasonCoverage, "coverage %.3f is below the accepted %.3f", ratio, request.MinCoverage)
	}
	return r.answer, nil
}

// check validates a request and fills in what it leaves open.
func (e *Engine) check(request *Request, now time.Time) error {
	view := e.config.View()
	if !request.Deadline.After(now) {
		return fault.New(fault.NotRun{}, fault.ReasonDeadline, "deadline is past")
	}
	if _, ok := view.Tenant(request.Tenant); !ok {
		return fault.New(fault.NotRun{}, fault.ReasonUnknown, "unknown tenant %q", request.Tenant)
	}
	if len(request.Services) == 0 {
		request.Services = view.TenantServices(request.Tenant)
	}
	for _, name := range request.Services {
		service, ok := view.Service(name)
		if !ok || service.Tenant != request.Tenant {
			return fault.New(fault.NotRun{}, fault.ReasonUnknown, "tenant %q has no service %q", request.Tenant, name)
		}
	}
	return nil
}

// Deliver takes results that arrive after their batch was answered.
func (e *Engine) Deliver(results []shard.Result) {
	for _, result := range results {
		e.take(result)
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
		e.apply(j.record, e.table.begin(j.record, time.Now()))
		e.scheduleHedge(j.record)
	case sendJob:
		e.send(j.batch)
	case hedgeJob:
		e.scheduleHedge(j.record)
	case againJob:
		e.apply(j.record, e.table.again(j.record, j.run, j.needs, time.Now()))
	}
}

// submit queues a follow-up job. When the queue is full the query ends at its
// deadline with what it has.
func (e *Engine) submit(class shard.Class, j job) {
	_ = e.pool.Submit(class, j)
}

// apply sends the sub-requests of a step and schedules its pauses.
func (e *Engine) apply(r *record, step effects) {
	if len(step.again) > 0 {
		again := againJob{record: r, run: step.run, needs: step.again}
		time.AfterFunc(step.pause, func() { e.submit(r.request.Class, again) })
	}
	for _, o := range e.group(r.request.Class, step.send) {
		if err := e.pool.Submit(r.request.Class, sendJob{batch: o}); err != nil {
			e.fail(o, fault.NotRun{}, fault.ReasonOverload)
		}
	}
}

// group collects sub-requests by the owner of their server.
func (e *Engine) group(class shard.Class, subs []shard.Sub) []outgoing {
	var list []outgoing
	var orphans []shard.Sub
	revision := e.config.View().Value.Revision
	for _, sub := range subs {
		host, ok := e.directory.OwnerOf(sub.Server)
		if !ok {
			orphans = append(orphans, sub)
			continue
		}
		// A query has few owners, so that a search is cheaper than a map.
		i := slices.IndexFunc(list, func(o outgoing) bool { return o.host == host })
		if i < 0 {
			i = len(list)
			list = append(list, outgoing{host: host, batch: shard.Batch{
				From:     e.options.Host,
				Revision: revision,
				Class:    class,
			}})
		}
		list[i].batch.Subs = append(list[i].batch.Subs, sub)
	}
	if len(orphans) > 0 {
		e.fail(outgoing{batch: shard.Batch{Subs: orphans}}, fault.NotRun{}, fault.ReasonNotOwner)
	}
	return list
}

// send performs one call to an owner and takes in its results.
func (e *Engine) send(o outgoing) {
	ctx, cancel := context.WithDeadline(e.ctx, o.batch.Subs[0].Deadline)
	defer cancel()
	results, err := e.link.Submit(ctx, o.host, o.batch)
	if err != nil {
		e.fail(o, fault.VerdictOf(err), fault.ReasonOf(err))
		return
	}
	e.Deliver(results)
}

// fail records the same failure for all sub-requests of a batch.
func (e *Engine) fail(o outgoing, verdict fault.Verdict, reason fault.Reason) {
	var outcome shard.Outcome = shard.Failed{Verdict: verdict, Reason: reason}
	if _, ok := verdict.(fault.NotRun); ok {
		outcome = shard.Refused{Reason: reason}
	}
	for _, sub := range o.batch.Subs {
		e.take(shard.Result{Sub: sub.ID, Server: sub.Server, Outcome: outcome})
	}
}

func (e *Engine) take(result shard.Result) {
	step, r := e.table.record(result, time.Now())
	if r != nil {
		e.apply(r, step)
	}
}

// scheduleHedge sends overdue hedges and sets the timer for the next check.
func (e *Engine) scheduleHedge(r *record) {
	step, next := e.table.hedge(r, time.Now())
	e.apply(r, step)
	if next > 0 {
		time.AfterFunc(next, func() { e.submit(r.request.Class, hedgeJob{record: r}) })
	}
}
