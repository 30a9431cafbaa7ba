package query

import (
	"slices"
	"time"

	"hyssophub/config"
	"hyssophub/fault"
	"hyssophub/route"
	"hyssophub/shard"
)

// maxRuns is the largest number of runs of a query. Each run plans all
// sub-requests on one index version.
const maxRuns = 3

// startRun plans the query on the snapshot with the best coverage. Results of an
// earlier run no longer count.
func (t *Table) startRun(q *queryState, now time.Time) effects {
	view := t.config.View()
	t.dropAttempts(q)
	q.runs++
	q.version, _ = t.route.Snapshot(view, q.request.Services, now)
	q.parts, q.pending, q.activePauses = nil, 0, 0
	n := len(q.request.Services)
	e := effects{send: make([]shard.SubRequest, 0, n)}
	q.open = make([]*attempt, 0, n)
	q.prealloc = make([]attempt, n)
	plans := t.planServices(q, view)
	for i := range plans {
		p := &plans[i]
		e.send = t.appendAttempts(e.send, q, view, p.shards, p.needs, now, false)
	}
	q.parts = make([]shard.PartialAnswer, 0, len(q.needs))
	t.route.CreditBudgets(q.request.Class, len(e.send))
	if q.settled() {
		q.finish(now)
	}
	return e
}

// plan lists the shards of one service that a query must cover. mapKnown is
// false if the shards are those of the manifest because the service's partition
// map at the version is unknown.
type plan struct {
	service  *config.Service
	shards   []string
	mapKnown bool
	needs    []*need
}

// planServices returns the needs of a query by service. The needs are allocated
// in one block, since a query has hundreds of them.
func (t *Table) planServices(q *queryState, view *config.View) []plan {
	plans := make([]plan, 0, len(q.request.Services))
	total := 0
	for _, name := range q.request.Services {
		service, ok := view.Service(name)
		if !ok {
			continue
		}
		shards, known := t.route.PartitionMap(view, service, q.version)
		if len(shards) == 0 {
			continue
		}
		total += len(shards)
		plans = append(plans, plan{service: service, shards: shards, mapKnown: known})
	}
	block := make([]need, total)
	q.needs = make([]*need, 0, total)
	for i := range plans {
		p := &plans[i]
		first := len(q.needs)
		for _, s := range p.shards {
			n := &block[len(q.needs)]
			*n = need{service: p.service, shard: s, reason: fault.ReasonNoReplica}
			if !p.mapKnown {
				n.reason = fault.ReasonVersionMissing
			}
			q.needs = append(q.needs, n)
		}
		p.needs = q.needs[first:len(q.needs):len(q.needs)]
	}
	return plans
}

// appendAttempts starts attempts for needs of one service and appends their
// sub-requests to subs. The shards are those of the needs, in the same order.
func (t *Table) appendAttempts(subs []shard.SubRequest, q *queryState, view *config.View, shards []string, needs []*need, now time.Time, hedge bool) []shard.SubRequest {
	service := needs[0].service
	criteria := route.Criteria{Service: service, Version: q.version, Shards: shards, Excluded: triedServers(needs), FreeSlot: hedge}
	var missing []string
	t.picks, missing = t.route.Choose(view, criteria, now, t.picks[:0])
	if len(missing) > 0 && t.route.ZoneLocal() {
		for _, n := range needsFor(needs, missing) {
			n.reason = fault.ReasonStaleConfiguration
		}
	}
	if hedge && len(t.picks) > 0 && !t.route.SpendHedge(q.request.Class, len(t.picks)) {
		for _, p := range t.picks {
			t.route.Done(p.Server)
		}
		return subs
	}
	for _, p := range t.picks {
		t.nextID++
		sub := shard.SubRequest{
			ID:        t.nextID,
			RequestID: q.request.ID,
			Tenant:    q.request.Tenant,
			Service:   service.Name,
			Server:    p.Server,
			Version:   q.version,
			Shards:    p.Shards,
			Text:      q.request.Text,
			Limit:     q.request.Limit,
			Class:     q.request.Class,
			Deadline:  q.request.Deadline,
			Hedge:     hedge,
		}
		a := q.newAttempt()
		*a = attempt{
			id: sub.ID, server: sub.Server, version: sub.Version, isHedge: hedge, probe: p.Probe,
			query: q, sent: now, needs: needsFor(needs, p.Shards), openIndex: len(q.open),
		}
		for _, n := range a.needs {
			q.beginAttempt(n, p.Index)
		}
		t.attempts[sub.ID] = a
		q.open = append(q.open, a)
		subs = append(subs, sub)
	}
	q.subs += len(t.picks)
	return subs
}

// newAttempt returns an empty attempt. It is taken from the preallocated ones of
// the run while there are any.
func (q *queryState) newAttempt() *attempt {
	if len(q.prealloc) == 0 {
		return &attempt{}
	}
	a := &q.prealloc[0]
	q.prealloc = q.prealloc[1:]
	return a
}

// needsFor returns the needs for the given shards.
func needsFor(needs []*need, shards []string) []*need {
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

// triedServers returns the servers that were tried for any of the needs.
func triedServers(needs []*need) []string {
	var tried []string
	for _, n := range needs {
		for _, position := range n.tried[:n.triedCount] {
			tried = append(tried, n.service.Servers[position].Name)
		}
	}
	return tried
}

// shouldRerun reports whether a query should start again: shards are missing
// because no replica offers them at the version of the query, and the route table
// now chooses another version.
func (t *Table) shouldRerun(q *queryState, now time.Time) bool {
	missing := slices.ContainsFunc(q.needs, func(n *need) bool {
		return !n.covered && n.reason == fault.ReasonVersionMissing
	})
	if !missing || q.runs >= maxRuns || !now.Before(q.request.Deadline) {
		return false
	}
	version, ok := t.route.Snapshot(t.config.View(), q.request.Services, now)
	return ok && version != q.version
}
