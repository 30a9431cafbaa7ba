// Package place decides which hosts of an availability zone collect the parts of a
// service, and which part of the limits on a service belongs to each host: an equal part to
// every host, and a greater one to those that collect it. It owns how long this host has
// held its ranks. Hosts do not agree on the ranks: each derives them from the hosts
// that it knows.
package place

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssophub/gossip"
)

const (
	// primaryShare and secondaryShare are the parts of a limit that the first and the
	// second hosts of a group in all zones hold together. equalShare is divided among all
	// hosts, since each may have to send parts itself. They sum up to less than one
	// because hosts disagree for a moment on who is first.
	primaryShare   = 0.25
	secondaryShare = 0.1
	equalShare     = 0.5
	// leastSeen is the part of the hosts of its zone that a host must see to hold a
	// rank. Each side of a partition would else take the whole share of the zone.
	leastSeen = 0.5
	// peakTime is how long the greatest number of hosts in the zone is remembered.
	peakTime = time.Minute
)

// Rank is the place of this host in the order of the hosts that collect a group.
type Rank int

// Ranks of a host. Others sends parts of a group only if the first two do not serve.
const (
	Others Rank = iota
	Primary
	Secondary
)

// holding is the rank of this host in a group and since when it has held it.
type holding struct {
	rank  Rank
	since time.Time
}

// Table holds the ranks of this host. Its lock is acquired after that of package relay;
// no other lock is acquired while it is held.
type Table struct {
	mu       sync.Mutex
	holdings []holding
	// zones is the greatest number of availability zones that were ever known, since one
	// that is silent may only be cut off.
	zones int
	// hosts and neighbours are the greatest recent numbers of live hosts and of those in
	// the own zone. A host that is cut off would else take the shares of the others.
	hosts, neighbours peak
}

// peak is the greatest value of the last peakTime.
type peak struct {
	value int
	at    time.Time
}

func (p *peak) record(value int, now time.Time) {
	if value >= p.value || now.Sub(p.at) > peakTime {
		p.value, p.at = value, now
	}
}

// NewTable returns a table of a host that holds no rank.
func NewTable() *Table { return &Table{zones: 1} }

// View is what a host knows of the tier.
type View struct {
	Self gossip.Host
	// Neighbours are the live hosts of the zone of the host, without itself.
	Neighbours []gossip.Host
	// Hosts is the number of live hosts, and Zones that of availability zones.
	Hosts, Zones int
	// Groups is the greatest number of groups of a route.
	Groups int
}

// Update derives the ranks of this host.
func (t *Table) Update(v View, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.zones = max(t.zones, v.Zones)
	t.hosts.record(v.Hosts, now)
	t.neighbours.record(len(v.Neighbours)+1, now)
	seen := float64(len(v.Neighbours)+1) >= leastSeen*float64(t.neighbours.value)
	for len(t.holdings) < v.Groups {
		t.holdings = append(t.holdings, holding{since: now})
	}
	for g := range t.holdings {
		rank := Others
		if seen {
			rank = rankIn(g, v.Self, v.Neighbours)
		}
		if rank != t.holdings[g].rank {
			t.holdings[g] = holding{rank: rank, since: now}
		}
	}
}

// rankIn returns the rank of a host among the hosts of its zone.
func rankIn(group int, self gossip.Host, neighbours []gossip.Host) Rank {
	own, before := Score(group, self), 0
	for _, h := range neighbours {
		if Score(group, h) < own {
			before++
		}
	}
	switch before {
	case 0:
		return Primary
	case 1:
		return Secondary
	default:
		return Others
	}
}

// IsRanked reports whether hosts have ranks at all. In small zones they have none.
func (t *Table) IsRanked() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.holdings) > 0
}

// EqualShare returns the part of a limit that every host may use.
func (t *Table) EqualShare() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.equalShare()
}

func (t *Table) equalShare() float64 { return equalShare / float64(max(1, t.hosts.value)) }

// Share returns the part, 0 to 1, of a limit on the services of a group that this host
// may use. A rank counts once it has been held for settle, within which the host that held
// it before may have used the limit.
func (t *Table) Share(group int, settle time.Duration, now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	share := t.equalShare()
	if group < 0 || group >= len(t.holdings) || now.Sub(t.holdings[group].since) < settle {
		return share
	}
	switch t.holdings[group].rank {
	case Primary:
		share += primaryShare / float64(t.zones)
	case Secondary:
		share += secondaryShare / float64(t.zones)
	case Others:
	}
	return share
}

// GroupOf returns the group of a service. If the number of groups changes by one, few
// services change their group (jump consistent hash; Lamping and Veach, 2014), and the
// hosts that collect the others keep what they know of their backend servers.
func GroupOf(service string, groups int) int {
	key := xxhash.Sum64String(service)
	group, next := int64(0), int64(0)
	for next < int64(groups) {
		group = next
		key = key*2862933555777941757 + 1
		next = int64(float64(group+1) * (float64(1<<31) / float64(key>>33+1)))
	}
	return int(group)
}

// groupMix is multiplied by the number of a group to spread it over all bits of
// the hash.
const groupMix = 0x9e3779b97f4a7c15

// Score returns the score of a host for a group. The lowest score wins,
// and the probability that a host wins is proportional to its weight.
func Score(group int, h gossip.Host) float64 { return SeededScore(uint64(group), h) }

// SeededScore is Score for any seed instead of the number of a group.
func SeededScore(seed uint64, h gossip.Host) float64 {
	hash := xxhash.Sum64String(h.Name) ^ (seed+1)*groupMix
	// A second mixing step makes the number of the group affect all bits.
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	u := (float64(hash>>11) + 0.5) / (1 << 53)
	return -math.Log(u) / float64(max(1, h.Weight))
}
