package relay

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssophub/gossip"
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
)

// plan delegates parts of a gathered request to helpers. Helpers are in the
// availability zone of the backend servers and merge the records there, so that
// fewer bytes cross zones. In a zone of many hosts, each group of services is
// collected by one host, which is selected by rendezvous hashing. That host
// gets all answers of a server and needs few connections to it.
func (t *Table) plan(r *requestState, now time.Time) []*delegation {
	zones, byZone := t.partsByZone(r, now)
	var delegations []*delegation
	for _, zone := range zones {
		parts := byZone[zone]
		helpers := t.hosts.AvailableHosts(zone, now)
		isOwn := zone == t.fleet.Zone()
		if len(helpers) == 0 || (!isOwn && len(parts) < minRemoteParts) || (isOwn && len(helpers) < smallZone) {
			continue
		}
		if isOwn {
			helpers = append(helpers, t.hosts.Self())
		}
		delegations = append(delegations, t.assign(r, parts, helpers, now)...)
	}
	return delegations
}

// partsByZone assigns each part to an availability zone that serves it: the
// zone of this host if possible, then the zone that serves most of the
// remaining parts, so that few calls cross zones. Parts that no zone serves are
// left out. order lists the zones in the order of assignment.
func (t *Table) partsByZone(r *requestState, now time.Time) (order []string, byZone map[string][]int) {
	servable := make(map[string][]int)
	scope := t.scope(r.request.View)
	for i := range r.parts {
		for _, zone := range t.fleet.HealthyZones(scope, r.parts[i].service, now) {
			servable[zone] = append(servable[zone], i)
		}
	}
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

// assign delegates the groups of services to hosts. Groups of this host are not
// delegated.
func (t *Table) assign(r *requestState, parts []int, helpers []gossip.Host, now time.Time) []*delegation {
	groups := (len(r.parts) + partsPerGroup - 1) / partsPerGroup
	byGroup := make([][]int, groups)
	for _, i := range parts {
		g := xxhash.Sum64String(r.parts[i].service) % uint64(groups)
		byGroup[g] = append(byGroup[g], i)
	}
	load := make([]int, len(helpers))
	byHelper := make([][]int, len(helpers))
	for g, list := range byGroup {
		if len(list) == 0 {
			continue
		}
		h := selectHelper(uint64(g), helpers, load)
		load[h] += partsPerGroup
		byHelper[h] = append(byHelper[h], list...)
	}
	self := t.hosts.Self().Name
	var delegations []*delegation
	for h, list := range byHelper {
		if len(list) == 0 || helpers[h].Name == self {
			continue
		}
		x := &delegation{state: r, helper: helpers[h].Name, zone: helpers[h].Zone, address: helpers[h].Address, parts: list, began: now}
		for _, i := range list {
			r.parts[i].delegation, r.parts[i].helper = x, x.helper
		}
		delegations = append(delegations, x)
	}
	return delegations
}

// selectHelper returns the index of the host that collects a group: the first
// one in the group's order of weighted rendezvous hashing that has capacity
// left, or the first one if none has.
func selectHelper(group uint64, helpers []gossip.Host, load []int) int {
	best, first := -1, 0
	bestScore, firstScore := math.Inf(1), math.Inf(1)
	for i, h := range helpers {
		score := rendezvous(group, h)
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

// groupMix is multiplied by the number of a group to spread it over all bits of
// the hash.
const groupMix = 0x9e3779b97f4a7c15

// rendezvous returns the score of a host for a group. The lowest score wins,
// and the probability that a host wins is proportional to its weight.
func rendezvous(group uint64, h gossip.Host) float64 {
	hash := xxhash.Sum64String(h.Name) ^ (group+1)*groupMix
	// A second mixing step makes the number of the group affect all bits.
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	u := (float64(hash>>11) + 0.5) / (1 << 53)
	return -math.Log(u) / float64(max(1, h.Weight))
}
