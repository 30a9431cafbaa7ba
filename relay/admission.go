package relay

import (
	"context"
	"time"

	"hyssophub/admit"
	"hyssophub/fault"
	"hyssophub/rules"
)

// startShare is the part of the response-time objective within which a request must begin
// to be sent. The rest is needed for the exchange and a hedge.
const startShare = 0.3

// enter waits until the host admits a request and returns nil, or why it does not run. The
// caller must call leave if it is admitted.
func (e *Engine) enter(ctx context.Context, r admit.Request) *fault.Error {
	now := time.Now()
	switch d := e.options.Admission.Enter(r, now).(type) {
	case admit.Refused:
		return overloaded(d)
	case admit.Waiting:
		return e.await(ctx, d.Ticket, r.StartBy.Sub(now))
	case admit.Admitted:
	}
	return nil
}

// await waits for a ticket until the request can no longer begin in time or its caller
// has left.
func (e *Engine) await(ctx context.Context, ticket *admit.Ticket, limit time.Duration) *fault.Error {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-ticket.Ready:
		return nil
	case <-timer.C:
	case <-ctx.Done():
	case <-e.stop.ended:
	}
	if d, ok := e.options.Admission.Abandon(ticket, time.Now()).(admit.Refused); ok {
		return overloaded(d)
	}
	return nil
}

func overloaded(d admit.Refused) *fault.Error {
	err := fault.New(fault.NotRun{}, fault.ReasonOverload, "host has no room for the request in time")
	err.RetryAfter = d.RetryAfter
	return err
}

// leave ends a request that enter admitted.
func (e *Engine) leave() { e.options.Admission.Leave(time.Now()) }

// hasAccounts reports whether clients share this host by account. Admission acts only
// then.
func (e *Engine) hasAccounts(view *rules.View) bool {
	return e.options.Admission != nil && view.Set.Accounts != nil
}

// observeLag records how late a timer of this host ran.
func (e *Engine) observeLag(due time.Time) {
	if now := time.Now(); e.options.Admission != nil && !due.After(now) {
		e.options.Admission.ObserveLag(now.Sub(due), now)
	}
}

// admissionOf returns what admission needs to know of a client's request.
func admissionOf(r *Request) admit.Request {
	a := admit.Request{
		Priority: r.Priority(),
		StartBy:  r.Arrived.Add(time.Duration(startShare * float64(r.Route.TargetLatency))),
		Deadline: r.Deadline,
	}
	if r.Account != nil {
		a.Account = r.Account.Name
	}
	return a
}

// admissionOfCollection returns the same for a collection for another host.
func admissionOfCollection(r CollectRequest, now time.Time) admit.Request {
	return admit.Request{
		Account:  r.Account,
		Priority: r.Priority,
		StartBy:  now.Add(time.Duration(startShare * float64(max(r.TimeToAnswer, lateAnswerTime)))),
		Deadline: now.Add(r.TimeToDeadline),
	}
}
