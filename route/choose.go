package route

import (
	"slices"
	"time"

	"hyssophub/config"
	"hyssophub/shard"
)

// staleAfter is the age at which figures no longer exclude a replica that
// drained or had no owner, and at which a replica is tried again.
const staleAfter = 2 * time.Second

// A replica is slow if it takes slowFactor times the best median of its
// service plus slowMargin, which covers the noise of short service times.
const (
	slowFactor = 2
	slowMargin = 5 * time.Millisecond
)

// Bounds of the time after which a replica that is slow or down is tried
// again. Each try of a straggler delays one query until its hedge answers, so
// the wait grows; a refused connection costs little.
const (
	minProbeBackoff = time.Second
	maxSlowBackoff  = 16 * time.Second
	maxDownBackoff  = 2 * time.Second
)

// maxUnhedgedBackoff is the wait up to which a trial is not worth a hedge of its own: one
// slow reply of a sound replica raises the wait no further.
const maxUnhedgedBackoff = minProbeBackoff

// jitter is the relative spread that is added to costs, so that hosts with the
// same figures do not all choose the same replica.
const costJitter = 0.2

// avoid is the cost of a replica that is down or was not usable. It is chosen
// only if no other holds the shards.
const unavailableCost = time.Minute

// Criteria asks for replicas for some shards of a service.
type Criteria struct {
	Service *config.Service
	Version shard.Version
	Shards  []string
	// Excluded names servers that must not be chosen.
	Excluded []string
	// FreeSlot asks for a replica with a free slot, for a hedge.
	FreeSlot bool
}

// Pick is a chosen server, its place in the service and the shards it shall
// answer. Trial marks a replica that is tried again although it was slow or
// down; a hedge need not wait for it.
type Pick struct {
	Server string
	Index  int
	Shards []string
	Probe  bool
}

// Choose selects servers for the wanted shards, the fewest and fastest first,
// and appends them to picks. Shards that no usable replica holds are returned
// as missing. Each pick counts as in progress until Done.
func (t *Table) Choose(view *config.View, want Criteria, now time.Time, picks []Pick) (chosen []Pick, missing []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.replicaSet(view, want.Service)
	missing = want.Shards
	for len(missing) > 0 {
		i, held, hedgeAtOnce := t.bestReplica(view, s, want, missing, now)
		if i < 0 {
			return picks, missing
		}
		s.replicas[i].InFlight++
		picks = append(picks, Pick{Server: want.Service.Servers[i].Name, Index: i, Shards: held, Probe: hedgeAtOnce})
		missing = remaining(missing, held)
	}
	return picks, nil
}

// without returns the shards that are not in held. The common case, in which
// one replica holds all, needs no memory.
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

// best returns the position of the replica to ask for the shards and the ones
// that it holds, or -1. A replica that is slow, down or has old figures is
// tried again with one sub-request when its wait is over, so that a straggler
// that recovered is found and one that did not delays few queries. Trial
// reports such a choice.
func (t *Table) bestReplica(view *config.View, s *replicaSet, want Criteria, shards []string, now time.Time) (best int, held []string, hedgeAtOnce bool) {
	var (
		probe     = -1
		probeHeld []string
		cost      time.Duration
	)
	best = -1
	fastest := s.bestMedian()
	for i, r := range s.replicas {
		name := want.Service.Servers[i].Name
		if slices.Contains(want.Excluded, name) || !s.usable(i, now) || (want.FreeSlot && !r.hasFreeSlot(now)) {
			continue
		}
		if t.zoneLocal && want.Service.Servers[i].Zone != t.zone {
			continue
		}
		h := r.heldShards(want.Version, shards)
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
	if probe < 0 || probe == best || want.FreeSlot || len(want.Excluded) > 0 || len(probeHeld) < len(held) {
		return best, held, false
	}
	r := s.replicas[probe]
	r.NextProbe = now.Add(r.Backoff)
	return probe, probeHeld, r.SlowTime > 0 && r.Backoff > maxUnhedgedBackoff
}

// doubtful reports whether what speaks against a replica may have changed: it
// is slow, down, or has old figures above the fastest replica's.
func (r *Replica) needsProbe(fastest time.Duration, now time.Time) bool {
	return r.SlowTime > 0 || r.Down || (now.Sub(r.FiguresAt) >= staleAfter && (r.Figures.Latency > fastest || !r.Figures.Usable))
}

// cost estimates the time until a replica would answer.
func (t *Table) cost(view *config.View, s *replicaSet, i int) time.Duration {
	r := s.replicas[i]
	latency := r.expectedLatency()
	load := max(r.Figures.Queued+r.Figures.Busy, r.InFlight)
	cost := latency + latency*time.Duration(load)/time.Duration(max(1, s.service.Slots))
	if s.service.Servers[i].Zone != t.zone {
		cost += 2 * view.Value.Manifest.Network.Zone
	}
	if r.Down || !r.Figures.Usable {
		cost += unavailableCost
	}
	return cost + time.Duration(costJitter*t.rng.Float64()*float64(cost))
}

// estimate is the service time that the next sub-request may take.
func (r *Replica) expectedLatency() time.Duration { return max(r.Figures.Latency, r.SlowTime) }

// spare reports whether a hedge is likely to find a free slot. Old figures say
// nothing, and the owner checks again.
func (r *Replica) hasFreeSlot(now time.Time) bool {
	return !r.Down && (r.Figures.Free > 0 || now.Sub(r.FiguresAt) >= freeSlotsMaxAge)
}

// freeSlotsMaxAge is the age above which the count of free slots says nothing.
const freeSlotsMaxAge = 100 * time.Millisecond

// held returns those of the shards that the replica holds at a version.
func (r *Replica) heldShards(version shard.Version, shards []string) []string {
	h, ok := r.Catalog.At(version)
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
