package query

import (
	"slices"
	"time"

	"hyssophub/fault"
	"hyssophub/shard"
)

// maxAttempts is the largest number of attempts for one shard of a query.
const maxAttempts = 6

// maxPauses is the largest number of pauses of a query before retries. A handover
// can affect many services of a query at once, and each of them needs pauses.
const maxPauses = 128

// minRetryPause is the shortest pause before a server that refused a sub-request
// is asked again.
const minRetryPause = 20 * time.Millisecond

// retry asks other replicas for the shards that an attempt left uncovered. Shards
// that no other replica can answer now are retried after the pause, if the
// deadline allows it.
func (t *Table) retry(q *queryState, a *attempt, pause time.Duration, now time.Time) effects {
	e := effects{run: q.runs, pause: pause}
	left, shards := retryableNeeds(a.needs)
	if len(left) == 0 || !now.Before(q.request.Deadline) {
		return e
	}
	// A sub-request that was refused because the host is not or no longer the
	// owner reached no backend server, so its retry adds no load and takes
	// nothing from the budget.
	if !left[0].reason.ConcernsOwner() && !t.route.SpendRetry(q.request.Class) {
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

// retryableNeeds returns the uncovered needs that have no attempt in progress and
// may have another attempt, with their shards.
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

// transient reports whether a retry after a pause can succeed where no other
// replica is left: the same server may answer by then, or a newer version may be
// known.
func transient(reason fault.Reason) bool {
	switch reason {
	case fault.ReasonOverload, fault.ReasonTermLapsed, fault.ReasonNotOwner, fault.ReasonStopping, fault.ReasonOwnerDown, fault.ReasonCold, fault.ReasonShed, fault.ReasonVersionMissing:
		return true
	default:
		return false
	}
}

// retryAfterPause retries needs of a run after a pause. Replicas that were tried
// before the pause may be chosen again.
func (t *Table) retryAfterPause(q *queryState, run int, needs []*need, now time.Time) effects {
	t.mu.Lock()
	defer t.mu.Unlock()
	var e effects
	if q.finished || q.runs != run {
		return e
	}
	q.activePauses--
	left, shards := retryableNeeds(needs)
	if len(left) > 0 && now.Before(q.request.Deadline) && (left[0].reason.ConcernsOwner() || t.route.SpendRetry(q.request.Class)) {
		for _, n := range left {
			n.triedCount = 0
		}
		e.send = t.appendAttempts(nil, q, t.config.View(), shards, left, now, false)
		q.extra += len(e.send)
	}
	t.complete(q, &e, now)
	return e
}

// hedgeOverdue creates hedges for the sub-requests of a query that are overdue,
// and returns the time until the next check, or zero if none is needed. A
// sub-request for which there is no budget or no replica with a free slot is
// checked again after hedgeRecheck.
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

// hedgeRecheck is the time after which an overdue sub-request that could not be
// hedged is checked again.
const hedgeRecheck = 10 * time.Millisecond

// appendHedges appends hedges for the uncovered needs of an attempt that have no
// other attempt in progress.
func (t *Table) appendHedges(subs []shard.SubRequest, q *queryState, a *attempt, now time.Time) []shard.SubRequest {
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
