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
	// part costs about 100 us of processor time, so that a fifth of a core
	// spends 6 ms on a group.
	partsPerGroup = 12
	// partsPerCore is the number of parts that a host with a whole core takes
	// of one request before its neighbours take the next group.
	partsPerCore = 60
	// leastShare is the number of parts in another availability zone from which
	// on a helper there saves more bytes than the call to it costs.
	leastShare = 4
	// localZone is the number of hosts of an availability zone up to which each
	// of them collects the zone's parts itself: it then sees enough answers of
	// each server to know which ones are slow.
	localZone = 4
)

// plan decides which parts of a gathered request other hosts collect. Parts
// go to hosts in the availability zone of the servers, which merge their
// records there. In a zone of many hosts, each group of services has one
// collector by rendezvous hashing, so that one host sees all answers of a
// server and keeps few connections to it.
func (t *Table) plan(r *record, now time.Time) []*delegation {
	zones, byZone := t.divide(r, now)
	var delegations []*delegation
	for _, zone := range zones {
		parts := byZone[zone]
		helpers := t.hosts.AvailableHosts(zone, now)
		isOwn := zone == t.fleet.Zone()
		if len(helpers) == 0 || (!isOwn && len(parts) < leastShare) || (isOwn && len(helpers) < localZone) {
			continue
		}
		if isOwn {
			helpers = append(helpers, t.hosts.Self())
		}
		delegations = append(delegations, t.assign(r, parts, helpers, now)...)
	}
	return delegations
}

// divide sorts the parts by the availability zone that is to serve them: the
// own one where it has servers, then the one that serves most of the others, so
// that few calls leave the zone. Parts that no zone serves are in none.
func (t *Table) divide(r *record, now time.Time) (order []string, byZone map[string][]int) {
	options := make(map[string][]int)
	scope := t.scope(r.request.View)
	for i := range r.parts {
		for _, zone := range t.fleet.HealthyZones(scope, r.parts[i].service, now) {
			options[zone] = append(options[zone], i)
		}
	}
	byZone = make(map[string][]int)
	given := make([]bool, len(r.parts))
	zone := t.fleet.Zone()
	if len(options[zone]) == 0 {
		zone = widest(options, given)
	}
	for zone != "" {
		order = append(order, zone)
		for _, i := range options[zone] {
			if !given[i] {
				given[i] = true
				byZone[zone] = append(byZone[zone], i)
			}
		}
		zone = widest(options, given)
	}
	return order, byZone
}

// widest returns the zone with the most parts that are not given yet, at random
// among equals, so that no zone serves the parts of all hosts. It is empty if
// none has any.
func widest(options map[string][]int, given []bool) string {
	var (
		best []string
		most int
	)
	for zone, parts := range options {
		open := 0
		for _, i := range parts {
			if !given[i] {
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

// assign gives each group of services to its collector. Groups whose collector
// is the own host stay with it.
func (t *Table) assign(r *record, parts []int, helpers []gossip.Host, now time.Time) []*delegation {
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
		h := collector(uint64(g), helpers, load)
		load[h] += partsPerGroup
		byHelper[h] = append(byHelper[h], list...)
	}
	self := t.hosts.Self().Name
	var delegations []*delegation
	for h, list := range byHelper {
		if len(list) == 0 || helpers[h].Name == self {
			continue
		}
		x := &delegation{record: r, helper: helpers[h].Name, zone: helpers[h].Zone, address: helpers[h].Address, parts: list, began: now}
		for _, i := range list {
			r.parts[i].delegation, r.parts[i].helper = x, x.helper
		}
		delegations = append(delegations, x)
	}
	return delegations
}

// collector returns the index of the host that collects a group: the first in
// the group's order of weighted rendezvous hashing that is not full yet, or
// the first one if all are.
func collector(group uint64, helpers []gossip.Host, load []int) int {
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

// groupMix spreads the numbers of groups over the hash.
const groupMix = 0x9e3779b97f4a7c15

// rendezvous returns the score of a host for a group; the lowest one wins, and
// hosts win in proportion to their weights.
func rendezvous(group uint64, h gossip.Host) float64 {
	hash := xxhash.Sum64String(h.Name) ^ (group+1)*groupMix
	// A second round makes the bits of the group count everywhere.
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	u := (float64(hash>>11) + 0.5) / (1 << 53)
	return -math.Log(u) / float64(max(1, h.Weight))
}
