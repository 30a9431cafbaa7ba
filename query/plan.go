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
	r.needs, r.parts, r.waiting = nil, nil, 0
	e := effects{send: make([]shard.Sub, 0, len(r.request.Services))}
	r.open = make([]*attempt, 0, len(r.request.Services))
	for _, name := range r.request.Services {
		service, ok := view.Service(name)
		if !ok {
			continue
		}
		shards, known := t.route.Map(view, service, r.version)
		needs := newNeeds(service, shards, known)
		r.needs = append(r.needs, needs...)
		e.send = t.attempt(e.send, r, view, shards, needs, now, false)
	}
	t.route.Earn(r.request.Class, len(e.send))
	if r.settled() {
		r.finish(now)
	}
	return e
}

// newNeeds returns the needs for a service's shards in one block of memory.
func newNeeds(service *config.Service, shards []string, known bool) []*need {
	reason := fault.ReasonNoReplica
	if !known {
		reason = fault.ReasonVersion
	}
	block := make([]need, len(shards))
	needs := make([]*need, len(shards))
	for i, s := range shards {
		block[i] = need{service: service, shard: s, reason: reason}
		needs[i] = &block[i]
	}
	return needs
}

// attempt creates the sub-requests that cover needs of one service, whose
// shards are given in the same order, and appends them to subs.
func (t *Table) attempt(subs []shard.Sub, r *record, view *config.View, shards []string, needs []*need, now time.Time, hedge bool) []shard.Sub {
	service := needs[0].service
	want := route.Want{Service: service, Version: r.version, Shards: shards, Tried: triedBy(needs), Spare: hedge}
	t.picks, _ = t.route.Choose(view, want, now, t.picks[:0])
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
		a := &attempt{sub: sub, record: r, sent: now, needs: asked(needs, p.Shards), place: len(r.open)}
		for _, n := range a.needs {
			n.try(p.Server)
		}
		t.attempts[sub.ID] = a
		r.open = append(r.open, a)
		subs = append(subs, sub)
	}
	r.subs += len(t.picks)
	return subs
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
		tried = append(tried, n.tried[:n.tries]...)
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
