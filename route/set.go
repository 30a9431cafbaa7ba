package route

import (
	"slices"
	"time"

	"hyssophub/config"
	"hyssophub/shard"
)

// set holds the replicas of one service in the order of the manifest, with the
// coverage of each version. It saves the look-ups by name on the query path.
type replicaSet struct {
	service  *config.Service
	replicas []*Replica
	// out marks replicas in zones that are out of service.
	zoneOut []bool
	// shares is valid while known is true and until the given time, at which
	// a replica that was unusable counts again. Zero means no such time.
	versions    []versionCoverage
	cached      bool
	cachedUntil time.Time
}

// share is the covered part of a service's, or of several services', shards at
// a version. Services counts the services whose partition map is known.
type versionCoverage struct {
	version  shard.Version
	covered  float64
	services int
}

// set returns the replicas of a service under a view.
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
		s.zoneOut = append(s.zoneOut, view.IsOut(server.Zone))
	}
	t.sets[service.Name] = s
	return s
}

// forget discards the cached coverage. It accepts nil, the set of a server
// that no query has asked for yet.
func (s *replicaSet) invalidate() {
	if s != nil {
		s.cached = false
	}
}

// best returns the lowest known median service time of the replicas.
func (s *replicaSet) bestMedian() time.Duration {
	if s == nil {
		return 0
	}
	best := time.Duration(0)
	for _, r := range s.replicas {
		if l := r.Figures.Latency; l > 0 && (best == 0 || l < best) {
			best = l
		}
	}
	return best
}

// usable reports whether a replica may be chosen. Figures that say that it is
// not usable expire.
func (s *replicaSet) usable(i int, now time.Time) bool {
	r := s.replicas[i]
	return !s.zoneOut[i] && (r.Figures.Usable || now.Sub(r.FiguresAt) >= staleAfter)
}

// live reports whether some replica's catalog is known and the replica is up.
func (s *replicaSet) hasLive() bool {
	return slices.ContainsFunc(s.replicas, func(r *Replica) bool { return r.CatalogKnown && !r.Down })
}

// coverage returns the covered share of the service's shards for each version
// whose partition map is known.
func (s *replicaSet) coverageByVersion(now time.Time) []versionCoverage {
	if s.cached && (s.cachedUntil.IsZero() || now.Before(s.cachedUntil)) {
		return s.versions
	}
	s.cached, s.cachedUntil, s.versions = true, time.Time{}, s.versions[:0]
	for _, r := range s.replicas {
		if !r.Figures.Usable {
			if until := r.FiguresAt.Add(staleAfter); until.After(now) && (s.cachedUntil.IsZero() || until.Before(s.cachedUntil)) {
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

// covered returns the share of a version's shards that some replica serves.
func (s *replicaSet) coveredShare(held shard.Held, now time.Time) float64 {
	count := 0
	for _, name := range held.All {
		for i, r := range s.replicas {
			if !r.Down && s.usable(i, now) && r.holds(held.Version, name) {
				count++
				break
			}
		}
	}
	return float64(count) / float64(len(held.All))
}

func (r *Replica) holds(version shard.Version, name string) bool {
	h, ok := r.Catalog.At(version)
	return ok && slices.Contains(h.Shards, name)
}
