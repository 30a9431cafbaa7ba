package relay

import (
	"time"

	"hyssophub/fleet"
	"hyssophub/rules"
)

// isReachable reports whether enough services of a request have instances in
// availability zones that this host reaches. Otherwise the request is refused
// before anything is sent, so that the client can retry on another host or
// later.
func (t *Table) isReachable(r *requestState, now time.Time) bool {
	if !t.hosts.HasUnreachableZone(now) {
		return true
	}
	minShare := 1.0
	if r.gather != nil {
		minShare = r.gather.MinShare
	}
	return t.hasReachable(t.scope(r.request.View), r.services(), minShare, now)
}

// isClosedOff reports whether the servers of too many services of a gathered request
// take none in time, because they bound their requests. It is then refused before
// anything is sent.
func (t *Table) isClosedOff(r *requestState, now time.Time) bool {
	if r.gather == nil {
		return false
	}
	closed, refusal := t.fleet.CountClosed(t.scope(r.request.View), r.services(), r.answerAt, now)
	r.recordRefusal(refusal)
	return r.cannotSucceed(closed)
}

// scope returns the rules for the choice of instances. The services are those
// of the request's view; zones that were taken out of service since then are
// excluded too, for retries and hedges.
func (t *Table) scope(view *rules.View) fleet.Constraints {
	scope := fleet.Constraints{View: view, Out: view.OutZones}
	if t.rollouts != nil {
		scope.Versions = t.rollouts.Versions()
	}
	if current := t.rules.View(); current != nil {
		scope.Out = current.OutZones
	}
	return scope
}

// hasReachable reports whether the given fraction of the services has instances
// in availability zones that this host reaches.
func (t *Table) hasReachable(scope fleet.Constraints, services []string, minShare float64, now time.Time) bool {
	reachable := make([]bool, len(services))
	count := 0
	for _, servable := range t.fleet.ServableByZone(scope, services, now) {
		for _, i := range servable {
			if !reachable[i] {
				reachable[i] = true
				count++
			}
		}
	}
	return float64(count) >= minShare*float64(len(services))
}

// CanServe reports whether this host can serve requests on all routes: either
// it is not isolated, or the availability zones that it reaches have enough
// backend servers for each route.
func (t *Table) CanServe(view *rules.View, now time.Time) bool {
	if !t.hosts.IsIsolated(now) {
		return true
	}
	scope := t.scope(view)
	for i := range view.Set.Routes {
		enough := true
		switch target := view.Set.Routes[i].Target.(type) {
		case rules.Single:
			enough = t.hasReachable(scope, []string{target.Service}, 1, now)
		case rules.Split:
			for _, p := range target.Parts {
				enough = enough && t.hasReachable(scope, []string{p.Service}, 1, now)
			}
		case rules.Gather:
			enough = t.hasReachable(scope, target.Services, target.MinShare, now)
		}
		if !enough {
			return false
		}
	}
	return true
}

// recordReach updates the reachability of an availability zone after an
// exchange with a host or a backend server there.
func (t *Table) recordReach(zone string, answered bool, now time.Time) {
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

// minUnansweredAge is the age from which on a cancelled exchange counts as
// unanswered.
const minUnansweredAge = 50 * time.Millisecond
