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

// retryPause is the shortest wait before a server that refused is asked again.
const retryPause = 20 * time.Millisecond

// retry asks other replicas for what an attempt left uncovered. What none of
// them can answer now is retried after the pause, if the deadline allows it.
func (t *Table) retry(r *record, a *attempt, pause time.Duration, now time.Time) effects {
	e := effects{run: r.runs, pause: pause}
	left, shards := open(a.needs)
	if len(left) == 0 || !now.Before(r.request.Deadline) {
		return e
	}
	// A retry after a refusal by a host that is not the owner adds no load on
	// backend servers and takes nothing from the budget.
	if !left[0].reason.OfOwner() && !t.route.SpendRetry(r.request.Class) {
		return e
	}
	e.send = t.attempt(nil, r, t.config.View(), shards, left, now, false)
	r.extra += len(e.send)
	if r.pauses >= maxPauses || !now.Add(pause).Before(r.request.Deadline) {
		return e
	}
	for _, n := range left {
		if n.open == 0 && transient(n.reason) {
			e.again = append(e.again, n)
		}
	}
	if len(e.again) > 0 {
		r.pauses++
		r.waiting++
	}
	return e
}

// open returns the needs that nobody works on, with their shards.
func open(needs []*need) ([]*need, []string) {
	var (
		left   []*need
		shards []string
	)
	for _, n := range needs {
		if !n.covered && n.open == 0 && n.attempts < maxAttempts {
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
func (t *Table) again(r *record, run int, needs []*need, now time.Time) effects {
	t.mu.Lock()
	defer t.mu.Unlock()
	var e effects
	if r.finished || r.runs != run {
		return e
	}
	r.waiting--
	left, shards := open(needs)
	if len(left) > 0 && now.Before(r.request.Deadline) && (left[0].reason.OfOwner() || t.route.SpendRetry(r.request.Class)) {
		for _, n := range left {
			n.tries = 0
		}
		e.send = t.attempt(nil, r, t.config.View(), shards, left, now, false)
		r.extra += len(e.send)
	}
	t.complete(r, &e, now)
	return e
}

// hedge duplicates the sub-requests of a query that are overdue, and returns
// the time until the next one is. A sub-request that finds no budget or no
// spare slot is looked at again later.
func (t *Table) hedge(r *record, now time.Time) (effects, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var (
		e    effects
		next time.Duration
	)
	if r.finished {
		return e, 0
	}
	view := t.config.View()
	for _, a := range slices.Clone(r.open) {
		if a.hedged || a.hedge {
			continue
		}
		left := t.route.HedgeDelay(view, a.needs[0].service, r.request.Class) - now.Sub(a.sent)
		if left <= 0 || a.trial {
			if left <= 0 && !a.overdue {
				a.overdue = true
				t.route.RecordOverdue(a.server, now.Sub(a.sent), now)
			}
			before := len(e.send)
			e.send = t.duplicate(e.send, r, a, now)
			if a.hedged = len(e.send) > before; a.hedged {
				continue
			}
			left = hedgeAgain
		}
		if next == 0 || left < next {
			next = left
		}
	}
	r.extra += len(e.send)
	return e, next
}

// hedgeAgain is the wait after which a sub-request without a hedge is looked
// at again.
const hedgeAgain = 10 * time.Millisecond

// duplicate appends hedges for the uncovered needs of an attempt.
func (t *Table) duplicate(subs []shard.Sub, r *record, a *attempt, now time.Time) []shard.Sub {
	var (
		left   []*need
		shards []string
	)
	for _, n := range a.needs {
		if !n.covered && n.open == 1 && n.attempts < maxAttempts {
			left = append(left, n)
			shards = append(shards, n.shard)
		}
	}
	if len(left) == 0 {
		return subs
	}
	return t.attempt(subs, r, t.config.View(), shards, left, now, true)
}
