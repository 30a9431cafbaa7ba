package relay

import (
	"time"

	"hyssophub/gossip"
	"hyssophub/place"
	"hyssophub/rules"
)

// UpdatePlacement derives this host's shares of the limits on services from the hosts
// that are known.
func (t *Table) UpdatePlacement(known []gossip.Known, now time.Time) {
	v := place.View{Self: t.hosts.Self()}
	zones := make(map[string]bool)
	for _, k := range known {
		zones[k.Zone] = true
		if !k.Live {
			continue
		}
		v.Hosts++
		if k.Zone == v.Self.Zone && k.Name != v.Self.Name {
			v.Neighbours = append(v.Neighbours, k.Host)
		}
	}
	v.Zones = len(zones)
	// In a small zone all hosts send parts, and all have equal shares.
	if view := t.rules.View(); view != nil && len(v.Neighbours) >= smallZone {
		for i := range view.Set.Routes {
			if g, ok := view.Set.Routes[i].Target.(rules.Gather); ok {
				v.Groups = max(v.Groups, groupsOf(t.fleet.CountInZone(g.Services)))
			}
		}
	}
	t.placement.Update(v, now)
	t.forgetGroupings()
}

// forgetGroupings removes the groups of routes that are gone.
func (t *Table) forgetGroupings() {
	view := t.rules.View()
	if view == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for name := range t.groupings {
		if _, ok := view.Route(name); !ok {
			delete(t.groupings, name)
		}
	}
}

// share returns the part, 0 to 1, of the limits on a service that this host may use for
// a request.
func (t *Table) share(r *requestState, service string, now time.Time) float64 {
	equal := 1 / float64(max(1, t.hostCount))
	if r.gather == nil || !t.placement.IsRanked() {
		return equal
	}
	if t.hasMoved(r, service, t.limits.Window, now) {
		return t.placement.EqualShare()
	}
	return t.placement.Share(place.GroupOf(service, t.countGroups(r)), t.limits.Window, now)
}

// spend counts an extra request for a service and reports whether this host's share of
// the budget allows it.
func (t *Table) spend(r *requestState, service string, now time.Time) bool {
	return t.budget(service).spend(now, t.limits, t.share(r, service, now))
}
