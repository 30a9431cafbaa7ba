package route

import (
	"slices"
	"time"

	"hyssophub/config"
	"hyssophub/shard"
)

// set holds the replicas of one service in the order of the manifest, with the
// coverage of each version. It saves the look-ups by name on the query path.
type set struct {
	service  *config.Service
	replicas []*Replica
	// out marks replicas in zones that are out of service.
	out []bool
	// shares is valid while known is true and until the given time, at which
	// a replica that was unusable counts again. Zero means no such time.
	shares []share
	known  bool
	until  time.Time
}

// share is the covered part of a service's, or of several services', shards at
// a version. Services counts the services whose partition map is known.
type share struct {
	version  shard.Version
	covered  float64
	services int
}

// set returns the replicas of a service under a view.
func (t *Table) set(view *config.View, service *config.Service) *set {
	if t.view != view {
		t.view = view
		clear(t.sets)
	}
	s, ok := t.sets[service.Name]
	if ok {
		return s
	}
	s = &set{
		service:  service,
		replicas: make([]*Replica, 0, len(service.Servers)),
		out:      make([]bool, 0, len(service.Servers)),
	}
	for _, server := range service.Servers {
		r := t.replica(server.Name)
		r.set = s
		s.replicas = append(s.replicas, r)
		s.out = append(s.out, view.IsOutOfService(server.Zone))
	}
	t.sets[service.Name] = s
	return s
}

// forget discards the cached coverage. It accepts nil, the set of a server
// that no query has asked for yet.
func (s *set) forget() {
	if s != nil {
		s.known = false
	}
}

// best returns the lowest known median service time of the replicas.
func (s *set) best() time.Duration {
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
func (s *set) usable(i int, now time.Time) bool {
	r := s.replicas[i]
	return !s.out[i] && (r.Figures.Usable || now.Sub(r.Seen) >= staleAfter)
}

// live reports whether some replica's catalog is known and the replica is up.
func (s *set) live() bool {
	return slices.ContainsFunc(s.replicas, func(r *Replica) bool { return r.Known && !r.Down })
}

// coverage returns the covered share of the service's shards for each version
// whose partition map is known.
func (s *set) coverage(now time.Time) []share {
	if s.known && (s.until.IsZero() || now.Before(s.until)) {
		return s.shares
	}
	s.known, s.until, s.shares = true, time.Time{}, s.shares[:0]
	for _, r := range s.replicas {
		if !r.Figures.Usable {
			if until := r.Seen.Add(staleAfter); until.After(now) && (s.until.IsZero() || until.Before(s.until)) {
				s.until = until
			}
		}
		if !r.Known {
			continue
		}
		for _, h := range r.Past {
			done := slices.ContainsFunc(s.shares, func(x share) bool { return x.version == h.Version })
			if !done && len(h.All) > 0 {
				s.shares = append(s.shares, share{version: h.Version, covered: s.covered(h, now), services: 1})
			}
		}
	}
	return s.shares
}

// covered returns the share of a version's shards that some replica serves.
func (s *set) covered(held shard.Held, now time.Time) float64 {
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
