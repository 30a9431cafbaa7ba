package query

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"hyssophub/config"
	"hyssophub/fault"
	"hyssophub/route"
	"hyssophub/shard"
)

// maxRuns bounds how often a query starts again on a newer version.
const maxRuns = 3

// maxAttempts bounds the attempts for one shard of a query.
const maxAttempts = 4

// retryPause is the shortest wait before a server that refused is asked again.
const retryPause = 20 * time.Millisecond

// Table holds the queries in progress. Its lock comes after those of config,
// member and once, and before those of route and owner.
type Table struct {
	config *config.Table
	route  *route.Table

	mu       sync.Mutex
	nextID   uint64
	attempts map[uint64]*attempt
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
	send  []shard.Sub
	again []*need
	pause time.Duration
}

// begin plans a query and returns its first sub-requests.
func (t *Table) begin(r *record, now time.Time) effects {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.run(r, now)
}

// run starts the query on the snapshot with the best coverage.
func (t *Table) run(r *record, now time.Time) effects {
	view := t.config.View()
	r.runs++
	r.version, _ = t.route.Snapshot(view, r.request.Services, now)
	r.needs, r.parts = nil, nil
	var e effects
	for _, name := range r.request.Services {
		service, ok := view.Service(name)
		if !ok {
			continue
		}
		shards, known := t.route.Map(service, r.version)
		needs := make([]*need, 0, len(shards))
		for _, s := range shards {
			n := &need{service: service, shard: s, reason: fault.ReasonNoReplica}
			if !known {
				n.reason = fault.ReasonVersion
			}
			needs = append(needs, n)
		}
		r.needs = append(r.needs, needs...)
		e.send = append(e.send, t.attempt(r, view, service, needs, now, false)...)
	}
	t.route.Earn(len(e.send))
	if r.settled() {
		r.finish(now)
	}
	return e
}

// attempt creates the sub-requests that cover the needs of one service.
func (t *Table) attempt(r *record, view *config.View, service *config.Service, needs []*need, now time.Time, hedge bool) []shard.Sub {
	want := route.Want{Service: service, Version: r.version}
	for _, n := range needs {
		want.Shards = append(want.Shards, n.shard)
		want.Tried = append(want.Tried, n.tried...)
	}
	picks, _ := t.route.Choose(view, want, now)
	subs := make([]shard.Sub, 0, len(picks))
	for _, p := range picks {
		t.nextID++
		sub := shard.Sub{
			ID:       t.nextID,
			Request:  r.request.ID,
			Tenant:   r.request.Tenant,
			Service:  service.Name,
			Server:   p.Server.Name,
			Version:  r.version,
			Shards:   p.Shards,
			Text:     r.request.Text,
			Limit:    r.request.Limit,
			Class:    r.request.Class,
			Deadline: r.request.Deadline,
			Hedge:    hedge,
		}
		a := &attempt{sub: sub, record: r, sent: now}
		for _, n := range needs {
			if slices.Contains(p.Shards, n.shard) {
				n.open++
				n.attempts++
				n.tried = append(n.tried, p.Server.Name)
				a.needs = append(a.needs, n)
			}
		}
		t.attempts[sub.ID] = a
		r.open[sub.ID] = a
		subs = append(subs, sub)
	}
	r.subs += len(subs)
	return subs
}

// record takes a result in and returns the retries that it causes. Results of
// unknown sub-requests are late or belong to nobody; they are dropped.
func (t *Table) record(result shard.Result, now time.Time) (effects, *record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.route.Observe(result, now)
	a, ok := t.attempts[result.Sub]
	if !ok || a.sub.Server != result.Server {
		return effects{}, nil
	}
	t.close(a)
	r := a.record
	if r.finished {
		return effects{}, nil
	}
	pause := retryPause
	switch o := result.Outcome.(type) {
	case shard.Answered:
		r.accept(a, o)
		a.fail(fault.ReasonTruncated)
	case shard.Refused:
		a.fail(o.Reason)
		pause = max(pause, o.RetryAfter)
	case shard.Failed:
		a.fail(o.Reason)
	}
	e := t.retry(r, a, now)
	e.pause = pause
	r.waiting += len(e.again)
	t.complete(r, &e, now)
	return e, r
}

// complete finishes a settled query, or starts it again if a newer version now
// covers more and time is left.
func (t *Table) complete(r *record, e *effects, now time.Time) {
	if !r.settled() {
		return
	}
	if t.betterVersion(r, now) {
		more := t.run(r, now)
		e.send = append(e.send, more.send...)
		return
	}
	r.finish(now)
}

func (t *Table) betterVersion(r *record, now time.Time) bool {
	missing := slices.ContainsFunc(r.needs, func(n *need) bool {
		return !n.covered && n.reason == fault.ReasonVersion
	})
	if !missing || r.runs >= maxRuns || !now.Before(r.request.Deadline) {
		return false
	}
	version, ok := t.route.Snapshot(t.config.View(), r.request.Services, now)
	return ok && version != r.version
}

// retry asks other replicas for what an attempt left uncovered.
func (t *Table) retry(r *record, a *attempt, now time.Time) effects {
	var e effects
	var left []*need
	for _, n := range a.needs {
		if !n.covered && n.open == 0 && n.attempts < maxAttempts {
			left = append(left, n)
		}
	}
	if len(left) == 0 || !now.Before(r.request.Deadline) || !t.route.SpendRetry() {
		return e
	}
	e.send = t.attempt(r, t.config.View(), left[0].service, left, now, false)
	r.extra += len(e.send)
	for _, n := range left {
		if n.open == 0 && transient(n.reason) {
			e.again = append(e.again, n)
		}
	}
	return e
}

// transient reports whether the same server may answer a little later.
func transient(reason fault.Reason) bool {
	switch reason {
	case fault.ReasonOverload, fault.ReasonTerm, fault.ReasonNotOwner, fault.ReasonCold, fault.ReasonShed:
		return true
	default:
		return false
	}
}

// again retries needs after a pause, with all replicas permitted.
func (t *Table) again(r *record, needs []*need, now time.Time) effects {
	t.mu.Lock()
	defer t.mu.Unlock()
	var e effects
	r.waiting -= len(needs)
	if r.finished {
		return e
	}
	view := t.config.View()
	for _, n := range needs {
		n.tried = nil
		e.send = append(e.send, t.attempt(r, view, n.service, []*need{n}, now, false)...)
	}
	r.extra += len(e.send)
	t.complete(r, &e, now)
	return e
}

// hedge duplicates the sub-requests of a query that are overdue, and returns
// the time until the next one is.
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
	for _, a := range r.open {
		if a.hedged || a.sub.Hedge {
			continue
		}
		service := a.needs[0].service
		left := t.route.HedgeDelay(service) - now.Sub(a.sent)
		if left > 0 {
			if next == 0 || left < next {
				next = left
			}
			continue
		}
		a.hedged = true
		if t.canHedge(view, a, now) {
			subs := t.attempt(r, view, service, a.needs, now, true)
			r.extra += len(subs)
			e.send = append(e.send, subs...)
		}
	}
	return e, next
}

func (t *Table) canHedge(view *config.View, a *attempt, now time.Time) bool {
	n := a.needs[0]
	want := route.Want{Service: n.service, Version: a.record.version, Shards: []string{n.shard}, Tried: n.tried}
	picks, _ := t.route.Choose(view, want, now)
	return len(picks) > 0 && t.route.SpendHedge()
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
	for _, a := range r.open {
		delete(t.attempts, a.sub.ID)
	}
	r.open = nil
}

// InProgress returns the number of sub-requests in progress.
func (t *Table) InProgress() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.attempts)
}

func (t *Table) close(a *attempt) {
	delete(t.attempts, a.sub.ID)
	delete(a.record.open, a.sub.ID)
	for _, n := range a.needs {
		n.open--
	}
}
