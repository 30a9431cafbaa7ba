package query

import (
	"math/rand/v2"
	"sync"
	"time"

	"hyssophub/config"
	"hyssophub/fault"
	"hyssophub/route"
	"hyssophub/shard"
)

// Table holds the queries in progress. In the lock order its lock comes after
// those of config, member and once, and before those of route and owner.
type Table struct {
	config *config.Table
	route  *route.Table

	mu       sync.Mutex
	nextID   uint64
	attempts map[uint64]*attempt
	// picks is a buffer that appendAttempts reuses.
	picks []route.Pick
}

// NewTable returns an empty table.
func NewTable(configs *config.Table, routes *route.Table) *Table {
	return &Table{
		config: configs,
		route:  routes,
		// A random base makes sub-request ids unique across daemons and restarts.
		nextID:   rand.Uint64(),
		attempts: make(map[uint64]*attempt),
	}
}

// effects are the actions that the engine performs after a step of the table.
type effects struct {
	send []shard.SubRequest
	// retries are needs of a run that are retried after the pause.
	retries []*need
	run     int
	pause   time.Duration
}

// begin plans a query and returns its first sub-requests.
func (t *Table) begin(q *queryState, now time.Time) effects {
	t.mu.Lock()
	defer t.mu.Unlock()
	if q.finished {
		return effects{}
	}
	return t.startRun(q, now)
}

// handleResult records a result in the query it belongs to and returns the
// resulting retries. Results without an open attempt at their server are dropped:
// they are late, repeated or from another server.
func (t *Table) handleResult(result shard.Result, now time.Time) (effects, *queryState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.route.Observe(result, now)
	a, ok := t.attempts[result.SubID]
	if !ok || a.server != result.Server {
		return effects{}, nil
	}
	t.closeAttempt(a)
	q := a.query
	if q.finished {
		return effects{}, nil
	}
	// The pause doubles with each attempt, so that the attempts outlast a handover.
	pause := minRetryPause << max(0, a.needs[0].attempts-1)
	switch o := result.Outcome.(type) {
	case shard.Answered:
		q.addParts(a, o)
		a.setReason(fault.ReasonTruncated)
	case shard.Refused:
		a.setReason(o.Reason)
		pause = max(pause, o.RetryAfter)
		if o.Reason == fault.ReasonVersionMissing {
			t.route.RemoveVersion(a.server, a.version)
		}
	case shard.Failed:
		a.setReason(o.Reason)
	}
	e := t.retry(q, a, pause, now)
	t.complete(q, &e, now)
	return e, q
}

// complete finishes a settled query, or starts another run if another version now
// has better coverage and the deadline has not passed.
func (t *Table) complete(q *queryState, e *effects, now time.Time) {
	if q.finished || !q.settled() {
		return
	}
	if t.shouldRerun(q, now) {
		more := t.startRun(q, now)
		e.send = append(e.send, more.send...)
		return
	}
	q.finish(now)
}

// expire ends a query at its deadline.
func (t *Table) expire(q *queryState, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	q.finish(now)
}

// discard removes the open attempts of a finished query. handleResult drops the
// late results of these attempts.
func (t *Table) discard(q *queryState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropAttempts(q)
}

// dropAttempts removes the open attempts of a query. The caller holds the lock.
func (t *Table) dropAttempts(q *queryState) {
	for _, a := range q.open {
		delete(t.attempts, a.id)
		t.route.Done(a.server)
	}
	q.open = nil
}

// InProgress returns the number of sub-requests in progress.
func (t *Table) InProgress() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.attempts)
}

// closeAttempt ends one attempt. The caller holds the lock.
func (t *Table) closeAttempt(a *attempt) {
	delete(t.attempts, a.id)
	t.route.Done(a.server)
	open := a.query.open
	last := open[len(open)-1]
	open[a.openIndex] = last
	last.openIndex = a.openIndex
	a.query.open = open[:len(open)-1]
	for _, n := range a.needs {
		a.query.endAttempt(n)
	}
}
