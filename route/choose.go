package route

import (
	"slices"
	"time"

	"hyssophub/config"
	"hyssophub/shard"
)

// staleAfter is the age at which statistics are outdated: they no longer exclude a
// replica that was draining or had no owner, and the replica may be probed.
const staleAfter = 2 * time.Second

// A replica is slow if it takes slowFactor times the best median of its
// service plus slowMargin, which covers the noise of short service times.
const (
	slowFactor = 2
	slowMargin = 5 * time.Millisecond
)

// Bounds of the backoff between probes of a replica that is slow or down. Each
// probe of a straggler delays one query until its hedge is answered, so the
// backoff of slow replicas grows further than that of replicas that are down,
// where a refused connection costs little.
const (
	minProbeBackoff = time.Second
	maxSlowBackoff  = 16 * time.Second
	maxDownBackoff  = 2 * time.Second
)

// maxUnhedgedBackoff is the longest backoff after which a probe is not hedged at
// once: a single slow reply may come from a healthy replica and is no reason for
// an extra hedge.
const maxUnhedgedBackoff = minProbeBackoff

// costJitter is the relative random increase of costs, so that hosts with the
// same statistics do not all choose the same replica.
const costJitter = 0.2

// unavailableCost is added to the cost of a replica that is down or was not
// usable. Such a replica is chosen only if no other holds the shards.
const unavailableCost = time.Minute

// Criteria are the conditions for choosing replicas for some shards of a
// service.
type Criteria struct {
	Service *config.Service
	Version shard.Version
	Shards  []string
	// Excluded names servers that must not be chosen.
	Excluded []string
	// FreeSlot requires a replica that is likely to have a free slot, as a
	// hedge does.
	FreeSlot bool
}

// Pick is a chosen server, its index in the service's list of servers and the
// shards to ask it for. Probe marks a probe of a slow replica whose backoff is
// above maxUnhedgedBackoff; the caller may hedge such a sub-request at once.
type Pick struct {
	Server string
	Index  int
	Shards []string
	Probe  bool
}

// Choose selects servers for the wanted shards and appends them to picks. A
// server that holds more of the shards comes first, then the faster one. Shards
// that no usable replica holds are returned as missing. Each pick counts as a
// sub-request in flight until Done is called for its server.
func (t *Table) Choose(view *config.View, criteria Criteria, now time.Time, picks []Pick) (chosen []Pick, missing []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.replicaSet(view, criteria.Service)
	missing = criteria.Shards
	for len(missing) > 0 {
		i, held, hedgeAtOnce := t.bestReplica(view, s, criteria, missing, now)
		if i < 0 {
			return picks, missing
		}
		s.replicas[i].InFlight++
		picks = append(picks, Pick{Server: criteria.Service.Servers[i].Name, Index: i, Shards: held, Probe: hedgeAtOnce})
		missing = remaining(missing, held)
	}
	return picks, nil
}

// remaining returns the shards that are not in held. It does not allocate in the
// common case, in which one replica holds all shards.
func remaining(shards, held []string) []string {
	if len(shards) == len(held) {
		return nil
	}
	left := make([]string, 0, len(shards)-len(held))
	for _, s := range shards {
		if !slices.Contains(held, s) {
			left = append(left, s)
		}
	}
	return left
}

// bestReplica returns the index of the replica to ask, or -1, and those of the
// shards that the replica holds. A replica that is slow, down or has outdated
// statistics is probed with one sub-request when its backoff is over: a straggler
// that recovered is then used again, and one that did not recover delays few
// queries. hedgeAtOnce reports a probe of a slow replica whose backoff is above
// maxUnhedgedBackoff.
func (t *Table) bestReplica(view *config.View, s *replicaSet, criteria Criteria, shards []string, now time.Time) (best int, held []string, hedgeAtOnce bool) {
	var (
		probe     = -1
		probeHeld []string
		cost      time.Duration
	)
	best = -1
	fastest := s.bestMedian()
	for i, r := range s.replicas {
		name := criteria.Service.Servers[i].Name
		if slices.Contains(criteria.Excluded, name) || !s.usable(i, now) || (criteria.FreeSlot && !r.hasFreeSlot(now)) {
			continue
		}
		if t.zoneLocal && criteria.Service.Servers[i].Zone != t.zone {
			continue
		}
		h := r.heldShards(criteria.Version, shards)
		if len(h) == 0 {
			continue
		}
		c := t.cost(view, s, i)
		if best < 0 || len(h) > len(held) || (len(h) == len(held) && c < cost) {
			best, held, cost = i, h, c
		}
		if !now.Before(r.NextProbe) && r.needsProbe(fastest, now) {
			probe, probeHeld = i, h
		}
	}
	if probe < 0 || probe == best || criteria.FreeSlot || len(criteria.Excluded) > 0 || len(probeHeld) < len(held) {
		return best, held, false
	}
	r := s.replicas[probe]
	r.NextProbe = now.Add(r.Backoff)
	return probe, probeHeld, r.SlowTime > 0 && r.Backoff > maxUnhedgedBackoff
}

// needsProbe reports whether a replica that is avoided may have recovered: it
// was slow or down, or its outdated statistics are worse than those of the fastest
// replica or exclude it.
func (r *Replica) needsProbe(fastest time.Duration, now time.Time) bool {
	return r.SlowTime > 0 || r.Down || (now.Sub(r.StatsAt) >= staleAfter && (r.Stats.MedianLatency > fastest || !r.Stats.Usable))
}

// cost estimates the time until a replica would answer, with a random increase
// and the penalty for a replica that is not available.
func (t *Table) cost(view *config.View, s *replicaSet, i int) time.Duration {
	r := s.replicas[i]
	latency := r.expectedLatency()
	load := max(r.Stats.Queued+r.Stats.Busy, r.InFlight)
	cost := latency + latency*time.Duration(load)/time.Duration(max(1, s.service.Slots))
	if s.service.Servers[i].Zone != t.zone {
		cost += 2 * view.Value.Manifest.Network.Zone
	}
	if r.Down || !r.Stats.Usable {
		cost += unavailableCost
	}
	return cost + time.Duration(costJitter*t.rng.Float64()*float64(cost))
}

// expectedLatency estimates the service time of the next sub-request.
func (r *Replica) expectedLatency() time.Duration { return max(r.Stats.MedianLatency, r.SlowTime) }

// hasFreeSlot reports whether a hedge is likely to find a free slot. It returns
// true for outdated statistics, since the owner checks the slots again.
func (r *Replica) hasFreeSlot(now time.Time) bool {
	return !r.Down && (r.Stats.Free > 0 || now.Sub(r.StatsAt) >= freeSlotsMaxAge)
}

// freeSlotsMaxAge is the age from which the count of free slots is outdated.
const freeSlotsMaxAge = 100 * time.Millisecond

// heldShards returns those of the shards that the replica holds at a version.
func (r *Replica) heldShards(version shard.Version, shards []string) []string {
	h, ok := r.Catalog.Lookup(version)
	if !ok {
		return nil
	}
	if slices.Equal(h.Shards, shards) {
		return shards
	}
	count := 0
	for _, s := range shards {
		if slices.Contains(h.Shards, s) {
			count++
		}
	}
	if count == len(shards) {
		return shards
	}
	held := make([]string, 0, count)
	for _, s := range shards {
		if slices.Contains(h.Shards, s) {
			held = append(held, s)
		}
	}
	return held
}
