package once

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/google/uuid"
	"golang.org/x/time/rate"

	"hyssophub/config"
	"hyssophub/fault"
	"hyssophub/query"
	"hyssophub/route"
	"hyssophub/shard"
	"hyssophub/store"
	"hyssophub/work"
)

// DefaultWritesPerSecond is the default of Options.WritesPerSecond. The store
// accepts several hundred writes a second; the rest is left to configuration
// changes, retries and leases.
const DefaultWritesPerSecond = 200

// storeCallsPerRequest is the number of store calls of an undisturbed request:
// one to claim its key and one to write its final state.
const storeCallsPerRequest = 2

// storeCallBurst is the number of store calls that a host may make at once. It
// covers a few requests even where the share of a host is below one request a
// second.
const storeCallBurst = 8 * storeCallsPerRequest

// maxFinalWriteWait is the longest time that a caller waits for the final state
// of its ended request to be written.
const maxFinalWriteWait = 100 * time.Millisecond

// finalWriteTimeout bounds a store call that writes a final state.
const finalWriteTimeout = 2 * time.Second

// queueRetryPause is the pause before a job that found the queue full is
// submitted again.
const queueRetryPause = 10 * time.Millisecond

// Options are the settings of an Engine.
type Options struct {
	// Host is the name of this host.
	Host string
	// Workers is the number of workers; each makes one call at a time.
	Workers int
	// Queue is the maximum number of jobs that wait for a worker, per class.
	Queue int
	// WritesPerSecond is the number of store writes a second that all hosts
	// together may make for requests.
	WritesPerSecond float64
	// OnPanic, if not nil, is called with the panic of a job, which then ends only
	// the job.
	OnPanic func(work.Panic)
}

// Ports are the interfaces that an Engine needs from other packages.
type Ports struct {
	KV        store.KV
	Codec     Codec
	Transport query.Transport
	Directory query.Directory
}

// job is a unit of work for a worker. The interface is sealed.
type job interface{ job() }

type (
	claimJob      struct{ pending *pendingRequest }
	dispatchJob   struct{ pending *pendingRequest }
	finalWriteJob struct{ pending *pendingRequest }
)

func (claimJob) job()      {}
func (dispatchJob) job()   {}
func (finalWriteJob) job() {}

// Engine runs non-idempotent requests on a pool of workers over a Table.
type Engine struct {
	config  *config.Table
	route   *route.Table
	table   *Table
	ports   Ports
	options Options
	leases  *leases
	limiter *rate.Limiter
	pool    *work.Pool[job]

	ctx    context.Context
	cancel context.CancelFunc
	// callers counts the calls of Run in progress, finalWrites the final states
	// that are being written.
	callers     work.Gate
	finalWrites work.Gate

	// mu guards revision, the configuration revision that the rate limit was
	// computed from.
	mu       sync.Mutex
	revision uint64
}

// NewEngine returns an engine with its pool of workers.
func NewEngine(configs *config.Table, routes *route.Table, ports Ports, options Options) *Engine {
	e := &Engine{
		config:  configs,
		route:   routes,
		table:   NewTable(),
		ports:   ports,
		options: options,
		leases:  &leases{kv: ports.KV},
		limiter: rate.NewLimiter(rate.Limit(options.WritesPerSecond), storeCallBurst),
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.pool = work.NewPool(options.Workers, options.Queue, e.handle, work.Recovery[job]{Report: options.OnPanic})
	return e
}

// InProgress returns the number of requests that have not ended or whose final
// state is not yet written.
func (e *Engine) InProgress() int { return e.table.InProgress() }

// Run runs a request at most once and returns by its deadline. Its errors are
// *fault.Error. Their verdict applies to this request only; requests that were
// sent earlier with the same key have their own verdicts. The request continues
// if its caller cancels ctx.
func (e *Engine) Run(ctx context.Context, request Request) (Result, error) {
	now := time.Now()
	if !e.callers.Enter() {
		return Result{}, fault.New(fault.NotRun{}, fault.ReasonStopping, "host %s is stopping", e.options.Host)
	}
	defer e.callers.Leave()
	if err := e.validate(request, now); err != nil {
		return Result{}, err
	}
	r, first := e.table.addIfAbsent(newPendingRequest(request, uuid.NewString(), now))
	if !first {
		return e.join(ctx, r, request)
	}
	if err := e.admit(r, now); err != nil {
		return Result{}, err
	}
	timer := time.NewTimer(work.TimerDelay(time.Until(request.Deadline)))
	defer timer.Stop()
	select {
	case <-r.done:
	case <-timer.C:
		e.performStep(r, e.table.expire(r, time.Now()))
	}
	time.AfterFunc(work.TimerDelay(time.Until(request.Deadline)+lateResultPeriod), func() { e.table.discard(r) })
	return r.outcome.result, r.outcome.err
}

// admit starts a request if the rate limit of this host, the replicas and the
// queue allow it. Otherwise the request ends with a refusal for all callers
// that joined it.
func (e *Engine) admit(r *pendingRequest, now time.Time) error {
	refusal := e.checkCapacity(r.request, now)
	if refusal == nil {
		if err := e.pool.Submit(r.request.Class, claimJob{pending: r}); err != nil {
			refusal = fault.New(fault.NotRun{}, fault.ReasonOverload, "host %s: %w", e.options.Host, err)
			refusal.RetryAfter = time.Second
		}
	}
	if refusal == nil {
		return nil
	}
	e.table.reject(r, refusal, now)
	return refusal
}

// checkCapacity returns a refusal if no replica is usable or the rate limit of
// this host is reached. Otherwise it counts the store calls of the request
// against the rate limit.
func (e *Engine) checkCapacity(request Request, now time.Time) *fault.Error {
	view := e.config.View()
	if _, ok := e.chooseReplica(view, request, nil, now); !ok {
		refusal := fault.New(fault.NotRun{}, fault.ReasonNoReplica, "no replica of service %s is usable", request.Service)
		refusal.RetryAfter = time.Second
		return refusal
	}
	e.updateRateLimit(view)
	if !e.limiter.AllowN(now, storeCallsPerRequest) {
		refusal := fault.New(fault.NotRun{}, fault.ReasonOverload, "host %s has reached its share of the store's write rate", e.options.Host)
		refusal.RetryAfter = time.Second
		return refusal
	}
	return nil
}

// updateRateLimit sets this host's share of the write rate of all hosts when
// the configuration has changed.
func (e *Engine) updateRateLimit(view *config.View) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.revision == view.Value.Revision {
		return
	}
	e.revision = view.Value.Revision
	hosts := 0
	for _, z := range view.Value.Manifest.Zones {
		hosts += z.Hosts
	}
	e.limiter.SetLimit(rate.Limit(e.options.WritesPerSecond / float64(max(1, hosts))))
}

// join waits for the result of a request with the same key that is in progress
// on this host.
func (e *Engine) join(ctx context.Context, r *pendingRequest, request Request) (Result, error) {
	if r.digest != digest(request) {
		return Result{}, fault.New(fault.NotRun{}, fault.ReasonConflict, "key %q was used with another service or text", request.Key)
	}
	timer := time.NewTimer(work.TimerDelay(time.Until(request.Deadline)))
	defer timer.Stop()
	select {
	case <-r.done:
		result := r.outcome.result
		result.Request, result.Repeat = request.ID, true
		return result, r.outcome.err
	case <-timer.C:
	case <-ctx.Done():
	}
	return Result{}, fault.New(fault.MayHaveRun{}, fault.ReasonDuplicate, "a request with key %q is in progress", request.Key)
}

// validate checks the deadline, key, tenant and service of a request.
func (e *Engine) validate(request Request, now time.Time) error {
	view := e.config.View()
	if !request.Deadline.After(now) {
		return fault.New(fault.NotRun{}, fault.ReasonDeadline, "deadline is past")
	}
	if !ValidKey(request.Key) {
		return fault.New(fault.NotRun{}, fault.ReasonBadRequest, "key %q is not 1 to %d letters, digits or characters of ._:-", request.Key, MaxKeyBytes)
	}
	if _, ok := view.Tenant(request.Tenant); !ok {
		return fault.New(fault.NotRun{}, fault.ReasonUnknownService, "unknown tenant %q", request.Tenant)
	}
	if service, ok := view.Service(request.Service); !ok || service.Tenant != request.Tenant {
		return fault.New(fault.NotRun{}, fault.ReasonUnknownService, "tenant %q has no service %q", request.Tenant, request.Service)
	}
	return nil
}

// Deliver applies results that arrive after the call that submitted their batch
// has returned, and returns the results that belong to no request of this
// engine.
func (e *Engine) Deliver(results []shard.Result) []shard.Result {
	var rest []shard.Result
	for _, result := range results {
		if !e.handleResult(result) {
			rest = append(rest, result)
		}
	}
	return rest
}

// Close refuses new requests, waits for the requests in progress and for their
// final writes, then stops the workers.
func (e *Engine) Close() {
	e.callers.Close()
	e.finalWrites.Close()
	e.pool.Close()
	e.cancel()
}

// handle performs a job on a worker.
func (e *Engine) handle(j job) {
	switch j := j.(type) {
	case claimJob:
		e.claim(j.pending)
	case dispatchJob:
		e.dispatch(j.pending)
	case finalWriteJob:
		e.writeFinalState(j.pending)
	}
}

// submit queues a follow-up job after a pause. If the queue is full, the job is
// submitted again later; the jobs
// check the deadline, so that a request whose deadline passes meanwhile ends.
func (e *Engine) submit(class shard.Class, j job, pause time.Duration) {
	if pause > 0 {
		time.AfterFunc(pause, func() { e.submit(class, j, 0) })
		return
	}
	if errors.Is(e.pool.Submit(class, j), work.ErrFull) {
		time.AfterFunc(queueRetryPause, func() { e.submit(class, j, 0) })
	}
}

// performStep performs a step that the table has returned.
func (e *Engine) performStep(r *pendingRequest, step nextStep) {
	switch s := step.(type) {
	case claimStep:
		e.submit(r.request.Class, claimJob{pending: r}, s.pause)
	case dispatchStep:
		e.submit(r.request.Class, dispatchJob{pending: r}, s.pause)
	case finalWriteStep:
		if !e.finalWrites.Enter() {
			e.table.publishResult(r, time.Now())
			return
		}
		e.submit(r.request.Class, finalWriteJob{pending: r}, s.pause)
		time.AfterFunc(maxFinalWriteWait, func() { e.table.publishResult(r, time.Now()) })
	case noStep:
		e.table.publishResult(r, time.Now())
	}
}
