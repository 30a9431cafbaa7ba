package relay

import (
	"time"

	"hyssophub/fleet"
	"hyssophub/rules"
)

// isReachable reports whether enough services have instances outside the
// availability zones that are cut off. The client is better served elsewhere or
// later if not, and hears so before anything is sent.
func (t *Table) isReachable(r *record, now time.Time) bool {
	if !t.hosts.HasUnreachableZone(now) {
		return true
	}
	services := make([]string, len(r.parts))
	for i := range r.parts {
		services[i] = r.parts[i].service
	}
	least := 1.0
	if r.gather != nil {
		least = r.gather.MinShare
	}
	return t.hasNear(t.scope(r.request.View), services, least, now)
}

// scope returns what the rules say of a choice for a request: its services are
// those that it was matched with, but zones that went out since count for each
// repeat and hedge.
func (t *Table) scope(view *rules.View) fleet.Constraints {
	scope := fleet.Constraints{View: view, Out: view.Out}
	if current := t.rules.View(); current != nil {
		scope.Out = current.Out
	}
	return scope
}

// hasNear reports whether a share of services has instances outside the
// availability zones that are cut off.
func (t *Table) hasNear(scope fleet.Constraints, services []string, least float64, now time.Time) bool {
	near := 0
	for _, s := range services {
		if len(t.fleet.HealthyZones(scope, s, now)) > 0 {
			near++
		}
	}
	return float64(near) >= least*float64(len(services))
}

// CanServe reports whether the host can serve requests on all routes: it is not
// cut off, or the availability zones that it reaches have enough servers.
func (t *Table) CanServe(view *rules.View, now time.Time) bool {
	if !t.hosts.IsIsolated(now) {
		return true
	}
	scope := t.scope(view)
	for i := range view.Set.Routes {
		able := true
		switch target := view.Set.Routes[i].Target.(type) {
		case rules.Single:
			able = t.hasNear(scope, []string{target.Service}, 1, now)
		case rules.Split:
			for _, p := range target.Parts {
				able = able && t.hasNear(scope, []string{p.Service}, 1, now)
			}
		case rules.Gather:
			able = t.hasNear(scope, target.Services, target.MinShare, now)
		}
		if !able {
			return false
		}
	}
	return true
}

// reach records what an exchange shows of the way to its availability zone.
func (t *Table) reach(zone string, answered bool, now time.Time) {
	changed := false
	if answered {
		changed = t.hosts.RecordZoneSuccess(zone, now)
	} else {
		changed = t.hosts.RecordZoneFailure(zone, now)
	}
	if changed {
		t.fleet.SetUnreachable(t.hosts.UnreachableZones(now))
	}
}

// unanswered is the age from which on an exchange that was given up counts as
// one without an answer.
const unanswered = 50 * time.Millisecond
