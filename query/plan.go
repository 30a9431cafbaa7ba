package query

import (
	"slices"
	"time"

	"hyssophub/config"
	"hyssophub/fault"
	"hyssophub/route"
	"hyssophub/shard"
)

// maxRuns bounds how often a query starts again on another version.
const maxRuns = 3

// run starts the query on the snapshot with the best coverage. Results of an
// earlier run no longer count.
func (t *Table) run(r *record, now time.Time) effects {
	view := t.config.View()
	t.drop(r)
	r.runs++
	r.version, _ = t.route.Snapshot(view, r.request.Services, now)
	r.parts, r.pending, r.waiting = nil, 0, 0
	n := len(r.request.Services)
	e := effects{send: make([]shard.Sub, 0, n)}
	r.open = make([]*attempt, 0, n)
	r.spare = make([]attempt, n)
	plans := t.plans(r, view)
	for i := range plans {
		p := &plans[i]
		e.send = t.attempt(e.send, r, view, p.shards, p.needs, now, false)
	}
	r.parts = make([]shard.Part, 0, len(r.needs))
	t.route.CreditBudgets(r.request.Class, len(e.send))
	if r.settled() {
		r.finish(now)
	}
	return e
}

// plan is what a query wants of one service.
type plan struct {
	service *config.Service
	shards  []string
	known   bool
	needs   []*need
}

// plans returns the needs of a query by service. The needs share one block of
// memory, since a query has hundreds.
func (t *Table) plans(r *record, view *config.View) []plan {
	plans := make([]plan, 0, len(r.request.Services))
	total := 0
	for _, name := range r.request.Services {
		service, ok := view.Service(name)
		if !ok {
			continue
		}
		shards, known := t.route.PartitionMap(view, service, r.version)
		if len(shards) == 0 {
			continue
		}
		total += len(shards)
		plans = append(plans, plan{service: service, shards: shards, known: known})
	}
	block := make([]need, total)
	r.needs = make([]*need, 0, total)
	for i := range plans {
		p := &plans[i]
		first := len(r.needs)
		for _, s := range p.shards {
			n := &block[len(r.needs)]
			*n = need{service: p.service, shard: s, reason: fault.ReasonNoReplica}
			if !p.known {
				n.reason = fault.ReasonVersion
			}
			r.needs = append(r.needs, n)
		}
		p.needs = r.needs[first:len(r.needs):len(r.needs)]
	}
	return plans
}

// attempt creates the sub-requests that cover needs of one service, whose
// shards are given in the same order, and appends them to subs.
func (t *Table) attempt(subs []shard.Sub, r *record, view *config.View, shards []string, needs []*need, now time.Time, hedge bool) []shard.Sub {
	service := needs[0].service
	want := route.Criteria{Service: service, Version: r.version, Shards: shards, Excluded: triedBy(needs), FreeSlot: hedge}
	var missing []string
	t.picks, missing = t.route.Choose(view, want, now, t.picks[:0])
	if len(missing) > 0 && t.route.ZoneLocal() {
		for _, n := range asked(needs, missing) {
			n.reason = fault.ReasonStale
		}
	}
	if hedge && len(t.picks) > 0 && !t.route.SpendHedge(r.request.Class, len(t.picks)) {
		for _, p := range t.picks {
			t.route.Done(p.Server)
		}
		return subs
	}
	for _, p := range t.picks {
		t.nextID++
		sub := shard.Sub{
			ID:       t.nextID,
			Request:  r.request.ID,
			Tenant:   r.request.Tenant,
			Service:  service.Name,
			Server:   p.Server,
			Version:  r.version,
			Shards:   p.Shards,
			Text:     r.request.Text,
			Limit:    r.request.Limit,
			Class:    r.request.Class,
			Deadline: r.request.Deadline,
			Hedge:    hedge,
		}
		a := r.newAttempt()
		*a = attempt{
			id: sub.ID, server: sub.Server, version: sub.Version, hedge: hedge, trial: p.Probe,
			record: r, sent: now, needs: asked(needs, p.Shards), place: len(r.open),
		}
		for _, n := range a.needs {
			r.try(n, p.Index)
		}
		t.attempts[sub.ID] = a
		r.open = append(r.open, a)
		subs = append(subs, sub)
	}
	r.subs += len(t.picks)
	return subs
}

// newAttempt returns memory for an attempt, from the block of the run while it
// lasts.
func (r *record) newAttempt() *attempt {
	if len(r.spare) == 0 {
		return &attempt{}
	}
	a := &r.spare[0]
	r.spare = r.spare[1:]
	return a
}

// asked returns the needs for the given shards.
func asked(needs []*need, shards []string) []*need {
	if len(needs) == len(shards) {
		return needs
	}
	list := make([]*need, 0, len(shards))
	for _, n := range needs {
		if slices.Contains(shards, n.shard) {
			list = append(list, n)
		}
	}
	return list
}

// triedBy returns the servers that were tried for any of the needs.
func triedBy(needs []*need) []string {
	var tried []string
	for _, n := range needs {
		for _, place := range n.tried[:n.tries] {
			tried = append(tried, n.service.Servers[place].Name)
		}
	}
	return tried
}

// betterVersion reports whether a query that misses shards at its version
// should start again.
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
