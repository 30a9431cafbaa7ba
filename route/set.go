package route

import (
	"slices"
	"time"

	"hyssophub/config"
	"hyssophub/shard"
)

// replicaSet holds the replicas of one service in the order of the manifest, with
// the coverage of each version. It avoids look-ups by name for each query.
type replicaSet struct {
	service  *config.Service
	replicas []*Replica
	// zoneOut marks replicas in zones that are out of service.
	zoneOut []bool
	// versions is the coverage of each version. It is valid while cached is
	// true and cachedUntil, the time at which a replica that was unusable
	// counts again, has not been reached. Zero means that there is no such time.
	versions    []versionCoverage
	cached      bool
	cachedUntil time.Time
}

// versionCoverage is the coverage of one service, or the sum for several
// services, at a version. covered adds up the covered fraction of each service's
// shards; services counts the services whose partition map is known.
type versionCoverage struct {
	version  shard.Version
	covered  float64
	services int
}

// replicaSet returns the replicas of a service under a view. The sets are built
// anew when the view changes.
func (t *Table) replicaSet(view *config.View, service *config.Service) *replicaSet {
	if t.view != view {
		t.view = view
		clear(t.sets)
	}
	s, ok := t.sets[service.Name]
	if ok {
		return s
	}
	s = &replicaSet{
		service:  service,
		replicas: make([]*Replica, 0, len(service.Servers)),
		zoneOut:  make([]bool, 0, len(service.Servers)),
	}
	for _, server := range service.Servers {
		r := t.replica(server.Name)
		r.set = s
		s.replicas = append(s.replicas, r)
		s.zoneOut = append(s.zoneOut, view.IsOutOfService(server.Zone))
	}
	t.sets[service.Name] = s
	return s
}

// invalidate discards the cached coverage. The receiver is nil for a server
// whose service no query has asked for yet.
func (s *replicaSet) invalidate() {
	if s != nil {
		s.cached = false
	}
}

// bestMedian returns the lowest known median service time of the replicas, or
// zero if none is known.
func (s *replicaSet) bestMedian() time.Duration {
	if s == nil {
		return 0
	}
	best := time.Duration(0)
	for _, r := range s.replicas {
		if l := r.Stats.MedianLatency; l > 0 && (best == 0 || l < best) {
			best = l
		}
	}
	return best
}

// usable reports whether the replica at index i may be chosen. Statistics that
// exclude the replica expire after staleAfter.
func (s *replicaSet) usable(i int, now time.Time) bool {
	r := s.replicas[i]
	return !s.zoneOut[i] && (r.Stats.Usable || now.Sub(r.StatsAt) >= staleAfter)
}

// hasLive reports whether some replica is up and its catalog is known.
func (s *replicaSet) hasLive() bool {
	return slices.ContainsFunc(s.replicas, func(r *Replica) bool { return r.CatalogKnown && !r.Down })
}

// coverageByVersion returns the covered fraction of the service's shards for
// each version whose partition map is known.
func (s *replicaSet) coverageByVersion(now time.Time) []versionCoverage {
	if s.cached && (s.cachedUntil.IsZero() || now.Before(s.cachedUntil)) {
		return s.versions
	}
	s.cached, s.cachedUntil, s.versions = true, time.Time{}, s.versions[:0]
	for _, r := range s.replicas {
		if !r.Stats.Usable {
			if until := r.StatsAt.Add(staleAfter); until.After(now) && (s.cachedUntil.IsZero() || until.Before(s.cachedUntil)) {
				s.cachedUntil = until
			}
		}
		if !r.CatalogKnown {
			continue
		}
		for _, h := range r.PastVersions {
			done := slices.ContainsFunc(s.versions, func(x versionCoverage) bool { return x.version == h.Version })
			if !done && len(h.All) > 0 {
				s.versions = append(s.versions, versionCoverage{version: h.Version, covered: s.coveredShare(h, now), services: 1})
			}
		}
	}
	return s.versions
}

// coveredShare returns the fraction, from 0 to 1, of a version's shards that
// some replica serves.
func (s *replicaSet) coveredShare(version shard.VersionShards, now time.Time) float64 {
	count := 0
	for _, name := range version.All {
		for i, r := range s.replicas {
			if !r.Down && s.usable(i, now) && r.holds(version.Version, name) {
				count++
				break
			}
		}
	}
	return float64(count) / float64(len(version.All))
}

func (r *Replica) holds(version shard.Version, name string) bool {
	h, ok := r.Catalog.Lookup(version)
	return ok && slices.Contains(h.Shards, name)
}
