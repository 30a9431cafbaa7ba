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

// Table holds the queries in progress. Its lock comes after those of config,
// member and once, and before those of route and owner.
type Table struct {
	config *config.Table
	route  *route.Table

	mu       sync.Mutex
	nextID   uint64
	attempts map[uint64]*attempt
	// picks is the scratch space of attempt.
	picks []route.Pick
}

// NewTable returns an empty table.
func NewTable(configs *config.Table, routes *route.Table) *Table {
	return &Table{
		config: configs,
		route:  routes,
		// A random base makes ids unique across daemons and restarts.
		nextID:   rand.Uint64(),
		attempts: make(map[uint64]*attempt),
	}
}

// effects is what the engine does after a step of the table.
type effects struct {
	send []shard.Sub
	// again are needs of a run that are retried after the pause.
	again []*need
	run   int
	pause time.Duration
}

// begin plans a query and returns its first sub-requests.
func (t *Table) begin(r *record, now time.Time) effects {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.finished {
		return effects{}
	}
	return t.run(r, now)
}

// record takes a result in and returns the retries that it causes. Results of
// unknown sub-requests are late or belong to nobody; they are dropped.
func (t *Table) record(result shard.Result, now time.Time) (effects, *record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.route.Observe(result, now)
	a, ok := t.attempts[result.Sub]
	if !ok || a.server != result.Server {
		return effects{}, nil
	}
	t.close(a)
	r := a.record
	if r.finished {
		return effects{}, nil
	}
	// The pause doubles, so that the attempts outlast a handover.
	pause := retryPause << max(0, a.needs[0].attempts-1)
	switch o := result.Outcome.(type) {
	case shard.Answered:
		r.accept(a, o)
		a.fail(fault.ReasonTruncated)
	case shard.Refused:
		a.fail(o.Reason)
		pause = max(pause, o.RetryAfter)
		if o.Reason == fault.ReasonVersion {
			t.route.RemoveVersion(a.server, a.version)
		}
	case shard.Failed:
		a.fail(o.Reason)
	}
	e := t.retry(r, a, pause, now)
	t.complete(r, &e, now)
	return e, r
}

// complete finishes a settled query, or starts it again if another version now
// covers more and time is left.
func (t *Table) complete(r *record, e *effects, now time.Time) {
	if r.finished || !r.settled() {
		return
	}
	if t.betterVersion(r, now) {
		more := t.run(r, now)
		e.send = append(e.send, more.send...)
		return
	}
	r.finish(now)
}

// expire ends a query at its deadline.
func (t *Table) expire(r *record, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.finish(now)
}

// forget drops the open attempts of a finished query. Their late results are
// dropped by record.
func (t *Table) forget(r *record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drop(r)
}

// drop removes the open attempts of a query.
func (t *Table) drop(r *record) {
	for _, a := range r.open {
		delete(t.attempts, a.id)
		t.route.Done(a.server)
	}
	r.open = nil
}

// InProgress returns the number of sub-requests in progress.
func (t *Table) InProgress() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.attempts)
}

// close ends one attempt.
func (t *Table) close(a *attempt) {
	delete(t.attempts, a.id)
	t.route.Done(a.server)
	open := a.record.open
	last := open[len(open)-1]
	open[a.place] = last
	last.place = a.place
	a.record.open = open[:len(open)-1]
	for _, n := range a.needs {
		a.record.end(n)
	}
}
