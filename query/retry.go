package query

import (
	"slices"
	"time"

	"hyssophub/fault"
	"hyssophub/shard"
)

// maxAttempts bounds the attempts for one shard of a query.
const maxAttempts = 6

// maxPauses bounds how often a query waits for servers that refused. A handover
// can concern many services of a query at once, each of which waits.
const maxPauses = 128

// minRetryPause is the shortest wait before a server that refused is asked again.
const minRetryPause = 20 * time.Millisecond

// retry asks other replicas for what an attempt left uncovered. What none of
// them can answer now is retried after the pause, if the deadline allows it.
func (t *Table) retry(q *queryState, a *attempt, pause time.Duration, now time.Time) effects {
	e := effects{run: q.runs, pause: pause}
	left, shards := retryableNeeds(a.needs)
	if len(left) == 0 || !now.Before(q.request.Deadline) {
		return e
	}
	// A retry after a refusal by a host that is not the owner adds no load on
	// backend servers and takes nothing from the budget.
	if !left[0].reason.OfOwner() && !t.route.SpendRetry(q.request.Class) {
		return e
	}
	e.send = t.appendAttempts(nil, q, t.config.View(), shards, left, now, false)
	q.extra += len(e.send)
	if q.pauses >= maxPauses || !now.Add(pause).Before(q.request.Deadline) {
		return e
	}
	for _, n := range left {
		if n.inFlight == 0 && transient(n.reason) {
			e.retries = append(e.retries, n)
		}
	}
	if len(e.retries) > 0 {
		q.pauses++
		q.activePauses++
	}
	return e
}

// open returns the needs that nobody works on, with their shards.
func retryableNeeds(needs []*need) ([]*need, []string) {
	var (
		left   []*need
		shards []string
	)
	for _, n := range needs {
		if !n.covered && n.inFlight == 0 && n.attempts < maxAttempts {
			left = append(left, n)
			shards = append(shards, n.shard)
		}
	}
	return left, shards
}

// transient reports whether the same server may answer a little later, or a
// newer version may be known by then.
func transient(reason fault.Reason) bool {
	switch reason {
	case fault.ReasonOverload, fault.ReasonTerm, fault.ReasonNotOwner, fault.ReasonCold, fault.ReasonShed, fault.ReasonVersion:
		return true
	default:
		return false
	}
}

// again retries needs of a run after a pause, with all replicas permitted.
func (t *Table) retryAfterPause(q *queryState, run int, needs []*need, now time.Time) effects {
	t.mu.Lock()
	defer t.mu.Unlock()
	var e effects
	if q.finished || q.runs != run {
		return e
	}
	q.activePauses--
	left, shards := retryableNeeds(needs)
	if len(left) > 0 && now.Before(q.request.Deadline) && (left[0].reason.OfOwner() || t.route.SpendRetry(q.request.Class)) {
		for _, n := range left {
			n.triedCount = 0
		}
		e.send = t.appendAttempts(nil, q, t.config.View(), shards, left, now, false)
		q.extra += len(e.send)
	}
	t.complete(q, &e, now)
	return e
}

// hedge duplicates the sub-requests of a query that are overdue, and returns
// the time until the next one is. A sub-request that finds no budget or no
// spare slot is looked at again later.
func (t *Table) hedgeOverdue(q *queryState, now time.Time) (effects, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var (
		e    effects
		next time.Duration
	)
	if q.finished {
		return e, 0
	}
	view := t.config.View()
	for _, a := range slices.Clone(q.open) {
		if a.hedged || a.isHedge {
			continue
		}
		left := t.route.HedgeDelay(view, a.needs[0].service, q.request.Class) - now.Sub(a.sent)
		if left <= 0 || a.probe {
			if left <= 0 && !a.overdue {
				a.overdue = true
				t.route.RecordOverdue(a.server, now.Sub(a.sent), now)
			}
			before := len(e.send)
			e.send = t.appendHedges(e.send, q, a, now)
			if a.hedged = len(e.send) > before; a.hedged {
				continue
			}
			left = hedgeRecheck
		}
		if next == 0 || left < next {
			next = left
		}
	}
	q.extra += len(e.send)
	return e, next
}

// hedgeRecheck is the wait after which a sub-request without a hedge is looked
// at again.
const hedgeRecheck = 10 * time.Millisecond

// duplicate appends hedges for the uncovered needs of an attempt.
func (t *Table) appendHedges(subs []shard.Sub, q *queryState, a *attempt, now time.Time) []shard.Sub {
	var (
		left   []*need
		shards []string
	)
	for _, n := range a.needs {
		if !n.covered && n.inFlight == 1 && n.attempts < maxAttempts {
			left = append(left, n)
			shards = append(shards, n.shard)
		}
	}
	if len(left) == 0 {
		return subs
	}
	return t.appendAttempts(subs, q, t.config.View(), shards, left, now, true)
}
