package relay

import (
	"cmp"
	"context"
	"slices"
	"time"
)

// Delay of a hedge, which is a second exchange for a part whose first one is
// slow: a multiple of the usual latency of the service, between two fractions
// of the response-time objective. The lower bound avoids hedges for ordinary
// variations of the latency. The upper bound leaves time for the second answer.
const (
	hedgeLatencyFactor = 2.5
	hedgeMinShare      = 0.15
	hedgeMaxShare      = 0.45
)

// start sends a part that has no exchange in progress. If healthyOnly is set,
// only servers that seem healthy are chosen.
func (t *Table) start(r *requestState, i int, healthyOnly bool, now time.Time, a *actions) {
	p := &r.parts[i]
	if p.isUnanswerable(r.attempts(), r.isRepeatable()) {
		return
	}
	if now.Before(p.pausedUntil) {
		a.wakeBy(p.pausedUntil)
		return
	}
	extra := p.deliveries > 0
	if extra && !t.spend(r, p.service, now) {
		p.held = HeldByBudget{}
		p.pausedUntil = now.Add(retryPause)
		a.wakeBy(p.pausedUntil)
		return
	}
	if !t.send(r, i, healthyOnly, now, a) {
		if extra {
			t.budget(p.service).refund(now, t.limits)
		}
		p.clearExcluded()
		p.pausedUntil = now.Add(retryPause)
		a.wakeBy(p.pausedUntil)
	}
}

// hedge sends a part a second time if its exchange exceeds the hedge delay.
func (t *Table) hedge(r *requestState, i int, now time.Time, a *actions) {
	p := &r.parts[i]
	x := p.open[0]
	goal := r.request.Route.TargetLatency
	if p.hedged || len(p.open) > 1 || !r.isRepeatable() || p.possibleRuns+len(p.open) >= r.attempts() {
		return
	}
	due := x.began.Add(t.hedgeDelay(p.service, goal, now))
	if now.Before(due) {
		a.wakeBy(due)
		return
	}
	if !t.spend(r, p.service, now) {
		p.held = HeldByBudget{}
		a.wakeBy(now.Add(retryPause))
		return
	}
	if t.send(r, i, false, now, a) {
		p.hedged = true
		r.hedges++
		return
	}
	t.budget(p.service).refund(now, t.limits)
	a.wakeBy(now.Add(retryPause))
}

func (t *Table) hedgeDelay(service string, goal time.Duration, now time.Time) time.Duration {
	usual := time.Duration(hedgeLatencyFactor * float64(t.fleet.MinLatency(service, now)))
	lowest := time.Duration(hedgeMinShare * float64(goal))
	highest := time.Duration(hedgeMaxShare * float64(goal))
	return min(max(usual, lowest), highest)
}

// send starts an exchange for a part and reports whether an instance could be
// chosen.
func (t *Table) send(r *requestState, i int, healthyOnly bool, now time.Time, a *actions) bool {
	p := &r.parts[i]
	scope := t.scope(r.request.View)
	scope.TargetLatency, scope.HealthyOnly, scope.Again = r.request.Route.TargetLatency, healthyOnly, p.unchosen
	scope.ConnShare = t.share(r, p.service, now)
	choice, refusal, ok := t.choose(scope, p, now)
	if !ok {
		r.recordRefusal(refusal)
		p.reason = cmp.Or(refusal.Reason, p.reason)
		p.held = holdOf(refusal)
		p.unchosen, p.closedUntil = true, time.Time{}
		if refusal.Bounded {
			p.closedUntil = now.Add(refusal.RetryAfter)
		}
		return false
	}
	p.held = nil
	p.unchosen, p.closedUntil = false, time.Time{}
	x := &exchange{
		state: r,
		part:  i,
		began: now,
		hedge: len(p.open) > 0,
		request: BackendRequest{
			Choice:   choice,
			Message:  r.request.Message,
			Memory:   r.request.Memory,
			Deadline: r.end,
			Fresh:    !r.isRepeatable(),
			Again:    slices.Contains(p.tried, choice.ID),
		},
	}
	t.beginTrial(x)
	x.ctx, x.cancel = context.WithCancel(r.ctx)
	p.open = append(p.open, x)
	p.tried = append(p.tried, choice.ID)
	p.sends++
	r.sends++
	if choice.Detour {
		r.detours++
	}
	a.send = append(a.send, x)
	return true
}
