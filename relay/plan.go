package relay

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssophub/gossip"
	"hyssophub/place"
	"hyssophub/rules"
)

const (
	// partsPerGroup is the number of services that are collected together. A
	// part costs about 100 us of processor time, so that a group costs 6 ms on
	// a fifth of a core.
	partsPerGroup = 12
	// partsPerCore is the number of parts of one request that a host with a
	// whole core collects. Further groups go to the next hosts.
	partsPerCore = 60
	// minRemoteParts is the least number of parts in another availability zone
	// that are delegated. For fewer parts, a call to a helper costs more bytes
	// than it saves.
	minRemoteParts = 4
	// smallZone is the number of hosts of an availability zone up to which each
	// of them collects the parts of the zone itself. Each host then gets enough
	// answers of each server to detect slow servers.
	smallZone = 4
	// maxDelegatedBody is the largest body of a request, in bytes, that is sent to
	// helpers. It is below the bound of the messages between hosts, beyond which a
	// helper rejects the call.
	maxDelegatedBody = 6 << 20
)

// plan delegates parts of a gathered request to helpers. In each other availability
// zone a coordinator collects all parts that the zone serves and merges the records
// there, so that few bytes cross zones. In a zone of many hosts each group of services
// is collected by one host, which is selected by rendezvous hashing. That host gets all
// answers of a server and needs few connections to it.
func (t *Table) plan(r *requestState, now time.Time) []*delegation {
	if len(r.request.Message.Body) > maxDelegatedBody {
		return nil
	}
	zones, byZone := t.partsByZone(r, now)
	var delegations []*delegation
	for _, zone := range zones {
		parts := byZone[zone]
		helpers := t.hosts.AvailableHosts(zone, now)
		switch {
		case zone == t.fleet.Zone():
			delegations = append(delegations, t.planOwnZone(r, parts, helpers, now)...)
		case len(helpers) > 0 && len(parts) >= minRemoteParts:
			x := t.delegate(r, parts, t.selectCoordinator(zone, helpers), now)
			x.spread = true
			delegations = append(delegations, x)
		}
	}
	return delegations
}

// planOwnZone delegates parts that the own zone serves: to the hosts that collect their
// groups, or to a coordinator if that takes less time.
func (t *Table) planOwnZone(r *requestState, parts []int, neighbours []gossip.Host, now time.Time) []*delegation {
	if len(neighbours) < smallZone {
		return nil
	}
	groups := t.assignGroups(r, parts, neighbours)
	coordinator := t.selectCoordinator(t.fleet.Zone(), neighbours)
	if isCoordinationFaster(t.hosts.Self().Weight, coordinator.Weight, len(groups)) {
		x := t.delegate(r, parts, coordinator, now)
		x.spread = true
		return []*delegation{x}
	}
	return t.delegateGroups(r, groups, now)
}

// Times of the calls to helpers, from which planOwnZone estimates the time until the
// last call is sent: of one call on a whole core, and of the way through a coordinator.
const (
	callTime = 200 * time.Microsecond
	hopTime  = 3 * time.Millisecond
)

// isCoordinationFaster reports whether a host with a processor share in thousandths of a
// core makes a number of calls sooner through a coordinator.
func isCoordinationFaster(weight, coordinatorWeight, calls int) bool {
	perCall := timeOn(weight, callTime)
	perCallThere := timeOn(coordinatorWeight, callTime)
	return time.Duration(calls)*perCall > perCall+hopTime+time.Duration(calls)*perCallThere
}

// planSpread delegates the parts of a collection to other hosts of the own zone.
// Parts that the zone does not serve well are sent by this host.
func (t *Table) planSpread(r *requestState, now time.Time) []*delegation {
	own := t.fleet.Zone()
	parts := t.fleet.ServableByZone(t.scope(r.request.View), r.services(), now)[own]
	neighbours := t.hosts.AvailableHosts(own, now)
	if len(neighbours) < smallZone {
		return nil
	}
	return t.delegateGroups(r, t.assignGroups(r, parts, neighbours), now)
}

// coordinatorShare is the least processor share of a coordinator, in parts of the
// greatest share in its zone.
const coordinatorShare = 0.5

func greatestWeight(hosts []gossip.Host) int {
	greatest := 0
	for _, h := range hosts {
		greatest = max(greatest, h.Weight)
	}
	return greatest
}

// selectCoordinator returns the host that collects the parts of a zone for this host.
// Each host keeps to one coordinator a zone, so that few connections cross zones, and
// the coordinators of the hosts are spread by weight.
func (t *Table) selectCoordinator(zone string, helpers []gossip.Host) gossip.Host {
	seed := xxhash.Sum64String(t.hosts.Self().Name + "/" + zone)
	least := coordinatorShare * float64(greatestWeight(helpers))
	best, lowest := 0, math.Inf(1)
	for i, h := range helpers {
		if score := place.SeededScore(seed, h); float64(h.Weight) >= least && score < lowest {
			best, lowest = i, score
		}
	}
	return helpers[best]
}

// delegate delegates parts to a host.
func (t *Table) delegate(r *requestState, parts []int, helper gossip.Host, now time.Time) *delegation {
	isNeighbour := helper.Zone == t.fleet.Zone()
	x := &delegation{
		state: r, helper: helper.Name, zone: helper.Zone, address: helper.Address,
		parts: parts, isNeighbour: isNeighbour, began: now,
	}
	for _, i := range parts {
		r.parts[i].delegation, r.parts[i].helper = x, x.helper
	}
	return x
}

// partsByZone assigns each part to an availability zone that serves it: the
// zone of this host if possible, then the zone that serves most of the
// remaining parts, so that few calls cross zones. Parts that no zone serves are
// left out. order lists the zones in the order of assignment.
func (t *Table) partsByZone(r *requestState, now time.Time) (order []string, byZone map[string][]int) {
	servable := t.fleet.ServableByZone(t.scope(r.request.View), r.services(), now)
	byZone = make(map[string][]int)
	assigned := make([]bool, len(r.parts))
	zone := t.fleet.Zone()
	if len(servable[zone]) == 0 {
		zone = zoneWithMostParts(servable, assigned)
	}
	for zone != "" {
		order = append(order, zone)
		for _, i := range servable[zone] {
			if !assigned[i] {
				assigned[i] = true
				byZone[zone] = append(byZone[zone], i)
			}
		}
		zone = zoneWithMostParts(servable, assigned)
	}
	return order, byZone
}

// zoneWithMostParts returns the zone that serves most of the unassigned parts,
// or "" if none serves any. Ties are broken at random, so that the hosts do not
// all use the same zone.
func zoneWithMostParts(servable map[string][]int, assigned []bool) string {
	var (
		best []string
		most int
	)
	for zone, parts := range servable {
		open := 0
		for _, i := range parts {
			if !assigned[i] {
				open++
			}
		}
		switch {
		case open == 0 || open < most:
		case open == most:
			best = append(best, zone)
		default:
			best, most = []string{zone}, open
		}
	}
	if len(best) == 0 {
		return ""
	}
	return best[rand.IntN(len(best))]
}

// assignment is the parts of a request that a neighbour collects.
type assignment struct {
	host  gossip.Host
	parts []int
}

// assignGroups assigns the groups of services to hosts of the own zone and returns the
// parts of each host other than this one, whose parts it sends itself.
func (t *Table) assignGroups(r *requestState, parts []int, neighbours []gossip.Host) []assignment {
	hosts := append(neighbours, t.hosts.Self())
	groups := t.countGroups(r)
	byGroup := make([][]int, groups)
	for _, i := range parts {
		g := place.GroupOf(r.parts[i].service, groups)
		byGroup[g] = append(byGroup[g], i)
	}
	load := make([]int, len(hosts))
	byHost := make([][]int, len(neighbours))
	for g, list := range byGroup {
		if len(list) == 0 {
			continue
		}
		h := selectHelper(g, hosts, load)
		load[h] += partsPerGroup
		if h < len(neighbours) {
			byHost[h] = append(byHost[h], list...)
		}
	}
	var assigned []assignment
	for h, list := range byHost {
		if len(list) > 0 {
			assigned = append(assigned, assignment{host: neighbours[h], parts: list})
		}
	}
	return assigned
}

func (t *Table) delegateGroups(r *requestState, assigned []assignment, now time.Time) []*delegation {
	delegations := make([]*delegation, 0, len(assigned))
	for _, a := range assigned {
		delegations = append(delegations, t.delegate(r, a.parts, a.host, now))
	}
	return delegations
}

// countGroups returns the number of groups of the services of a request's route.
func (t *Table) countGroups(r *requestState) int {
	if r.groups == 0 {
		r.groups = groupsOf(t.countOwnServices(r))
	}
	return r.groups
}

// grouping is the number of groups of a route, and the one before it changed.
type grouping struct {
	groups, before int
	changedAt      time.Time
}

// hasMoved reports whether a service has changed its group within a time. The hosts of its
// former group may have used their shares of the limits on it.
func (t *Table) hasMoved(r *requestState, service string, within time.Duration, now time.Time) bool {
	groups := t.countGroups(r)
	g, ok := t.groupings[r.request.Route.Name]
	if !ok {
		g = &grouping{groups: groups, before: groups}
		t.groupings[r.request.Route.Name] = g
	}
	if groups != g.groups {
		g.groups, g.before, g.changedAt = groups, g.groups, now
	}
	return now.Sub(g.changedAt) < within && place.GroupOf(service, g.before) != place.GroupOf(service, g.groups)
}

// groupsOf returns the number of groups of services.
func groupsOf(services int) int { return max(1, (services+partsPerGroup-1)/partsPerGroup) }

// countOwnServices returns the number of services of a request's route that have
// instances in the own zone. The hosts of a zone agree on it and thus on the groups,
// whatever part of a request each of them collects.
func (t *Table) countOwnServices(r *requestState) int {
	services := r.gather.Services
	if route, ok := r.request.View.Route(r.request.Route.Name); ok {
		if gather, ok := route.Target.(rules.Gather); ok {
			services = gather.Services
		}
	}
	return t.fleet.CountInZone(services)
}

// selectHelper returns the index of the host that collects a group: the first
// one in the group's order of weighted rendezvous hashing that has capacity
// left, or the first one if none has.
func selectHelper(group int, helpers []gossip.Host, load []int) int {
	best, first := -1, 0
	bestScore, firstScore := math.Inf(1), math.Inf(1)
	for i, h := range helpers {
		score := place.Score(group, h)
		if score < firstScore {
			first, firstScore = i, score
		}
		if load[i]+partsPerGroup <= max(partsPerGroup, h.Weight*partsPerCore/1000) && score < bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return first
	}
	return best
}
