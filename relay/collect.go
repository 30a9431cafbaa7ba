package relay

import (
	"context"
	"time"

	"hyssophub/fault"
	"hyssophub/rules"
	"hyssophub/work"
)

// suspendTime is how long a collection sends exchanges for its missing parts
// while the host that asked for it does not call CollectMore.
const suspendTime = 40 * time.Millisecond

// lateAnswerTime is the time until the first partial result of a collection that was due
// before it began, about that of a server's answer. An empty result at once would cost
// both hosts a call.
const lateAnswerTime = 20 * time.Millisecond

// suspendedCollection is a collection between two calls of the host that asked
// for it.
type suspendedCollection struct {
	state *requestState
	timer *time.Timer
}

// Collect collects parts for another host. It returns when the answer is due, or after
// lateAnswerTime if that has passed, with the parts that are answered by then. The missing
// parts stay in progress as long as the other host calls CollectMore.
func (e *Engine) Collect(ctx context.Context, request CollectRequest) (PartialResult, error) {
	view := e.rules.View()
	now := time.Now()
	switch {
	case view == nil:
		return PartialResult{}, fault.New(fault.NotRun{}, fault.ReasonStaleConfiguration, "host %s has no rules", e.options.Host)
	case request.TimeToDeadline <= 0:
		return PartialResult{}, fault.New(fault.NotRun{}, fault.ReasonDeadline, "deadline has passed")
	case !e.active.Enter():
		return PartialResult{}, fault.New(fault.NotRun{}, fault.ReasonStopping, "host %s is stopping", e.options.Host)
	}
	admitted := e.hasAccounts(view)
	if admitted {
		if refused := e.enter(ctx, admissionOfCollection(request, now)); refused != nil {
			e.active.Leave()
			return PartialResult{}, refused
		}
	}
	r := e.newRequestState(e.ctx, Request{
		Message: request.Message,
		View:    view,
		Route: &rules.Route{
			Name:          request.Route,
			Target:        rules.Gather{Services: request.Services, TopK: request.TopK},
			RetryPolicy:   rules.Idempotent{},
			TargetLatency: request.TargetLatency,
			MaxAttempts:   request.MaxAttempts,
			Priority:      request.Priority,
		},
		Arrived:  now,
		Deadline: now.Add(request.TimeToDeadline + deadlineMargin),
	})
	r.admitted, r.collected = admitted, &request
	r.collecting, r.spread, r.collectedFor = true, request.Spread, request.Account
	r.answerAt = now.Add(request.TimeToAnswer)
	return e.collect(ctx, r, func() actions { return e.table.begin(r, now) })
}

// CollectMore waits for further parts of a collection.
func (e *Engine) CollectMore(ctx context.Context, token uint64) (PartialResult, error) {
	e.mu.Lock()
	l := e.suspended[token]
	delete(e.suspended, token)
	e.mu.Unlock()
	if l == nil || !l.timer.Stop() {
		return PartialResult{}, fault.New(fault.MayHaveRun{}, fault.ReasonUnknownService, "collection %d has ended", token)
	}
	return e.collect(ctx, l.state, func() actions { return e.table.step(l.state, time.Now()) })
}

// collect serves a collection until there is a partial result to report. first returns
// the first actions.
func (e *Engine) collect(ctx context.Context, r *requestState, first func() actions) (PartialResult, error) {
	stop := context.AfterFunc(ctx, r.cancel)
	var (
		c   PartialResult
		err error = fault.New(fault.MayHaveRun{}, fault.ReasonInternal, "host %s: %w", e.options.Host, errPanicked)
	)
	isSuspended := false
	work.Guard(e.options.OnPanic, func() {
		_ = e.run(r, first())
		c = e.table.nextPartialResult(r)
		err = nil
		if stop() && len(c.Missing) > 0 && !e.table.isComplete(r, time.Now()) {
			c.Token, isSuspended = e.suspend(r), true
		}
	})
	if !isSuspended {
		stop()
		e.endCollection(r)
	}
	return c, err
}

// suspend keeps a collection in progress until CollectMore is called, but no longer than
// suspendTime, after an early result from when the answer is due, and returns its token.
// A host that lags for longer than suspendTime would else lose the missing parts.
func (e *Engine) suspend(r *requestState) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	// Zero stands for a collection that has ended.
	e.lastToken = max(1, e.lastToken+1)
	token := e.lastToken
	l := &suspendedCollection{state: r}
	l.timer = time.AfterFunc(max(0, time.Until(r.answerAt))+suspendTime, func() {
		e.mu.Lock()
		delete(e.suspended, token)
		e.mu.Unlock()
		e.endCollection(r)
	})
	e.suspended[token] = l
	return token
}

// endCollection ends a collection and cancels its exchanges.
func (e *Engine) endCollection(r *requestState) {
	_ = e.table.finish(r)
	r.cancelHelpers()
	r.cancel()
	if r.admitted {
		e.leave()
	}
	e.active.Leave()
}

// isComplete reports whether no further part can be answered.
func (t *Table) isComplete(r *requestState, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !now.Before(r.end) || r.countUnanswerable() == len(r.parts)-r.answered || r.ctx.Err() != nil
}
