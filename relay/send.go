package relay

import "time"

// Hedge times, as multiples of a service's usual latency and as shares of the
// response-time objective. The share bounds the wait from below, so that
// ordinary variation spends no budget, and from above, so that the second
// answer still comes in time.
const (
	hedgeLatency  = 2.5
	hedgeShareMin = 0.15
	hedgeShareMax = 0.45
)

// start sends a part that no server works on.
// Only servers that seem to serve are asked if sound is set.
func (t *Table) start(r *record, i int, sound bool, now time.Time, e *effects) {
	p := &r.parts[i]
	if p.isLost(r.attempts(), r.isRepeatable()) {
		return
	}
	if now.Before(p.pause) {
		e.at(p.pause)
		return
	}
	extra := p.arrivals > 0
	if extra && !t.budget(p.service).spend(now, t.limits, t.sharing) {
		p.pause = now.Add(pauseTime)
		e.at(p.pause)
		return
	}
	if !t.send(r, i, sound, now, e) {
		if extra {
			t.budget(p.service).refund(now, t.limits)
		}
		p.forget()
		p.pause = now.Add(pauseTime)
		e.at(p.pause)
	}
}

// hedge sends a part a second time when its exchange is overdue.
func (t *Table) hedge(r *record, i int, now time.Time, e *effects) {
	p := &r.parts[i]
	x := p.open[0]
	goal := r.request.Route.Goal
	if p.hedged || len(p.open) > 1 || !r.isRepeatable() || p.ran+len(p.open) >= r.attempts() {
		return
	}
	due := x.began.Add(t.hedgeDelay(p.service, goal, now))
	if now.Before(due) {
		e.at(due)
		return
	}
	if !t.budget(p.service).spend(now, t.limits, t.sharing) {
		e.at(now.Add(pauseTime))
		return
	}
	if t.send(r, i, false, now, e) {
		p.hedged = true
		r.hedges++
		return
	}
	t.budget(p.service).refund(now, t.limits)
	e.at(now.Add(pauseTime))
}

func (t *Table) hedgeDelay(service string, goal time.Duration, now time.Time) time.Duration {
	usual := time.Duration(hedgeLatency * float64(t.fleet.MinLatency(service, now)))
	lowest := time.Duration(hedgeShareMin * float64(goal))
	highest := time.Duration(hedgeShareMax * float64(goal))
	return min(max(usual, lowest), highest)
}

// send begins an exchange for a part and reports whether an instance could be
// chosen.
func (t *Table) send(r *record, i int, sound bool, now time.Time, e *effects) bool {
	p := &r.parts[i]
	scope := t.scope(r.request.View)
	scope.TargetLatency, scope.HealthyOnly = r.request.Route.Goal, sound
	choice, refusal, ok := t.fleet.Choose(scope, p.service, p.tried, now)
	if !ok {
		r.comeBack = refusal.RetryAfter
		return false
	}
	x := &exchange{
		record: r,
		part:   i,
		began:  now,
		hedge:  len(p.open) > 0,
		order: Order{
			Choice:   choice,
			Message:  r.request.Message,
			Deadline: r.end,
			Fresh:    !r.isRepeatable(),
		},
	}
	p.open = append(p.open, x)
	p.tried = append(p.tried, choice.ID)
	p.sends++
	r.sends++
	e.send = append(e.send, x)
	return true
}
