package route

import (
	"time"

	"hyssophub/config"
	"hyssophub/shard"
)

// tieTolerance is the difference of coverage, in services, below which two
// versions count as equal; it absorbs rounding of the sums.
const tieTolerance = 1e-9

// Snapshot chooses the index version that covers the most of the services'
// shards, and among equals the newest. Versions whose partition map is known for
// all services with a live replica come first: with any other version, the
// coverage would count the shards of the manifest instead of the version's. A
// service without a live replica is ignored, since it may never report its map.
// Snapshot returns false if no version is known.
func (t *Table) Snapshot(view *config.View, services []string, now time.Time) (shard.Version, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.coverageSums = t.coverageSums[:0]
	live := 0
	for _, name := range services {
		service, ok := view.Service(name)
		if !ok {
			continue
		}
		replicas := t.replicaSet(view, service)
		if replicas.hasLive() {
			live++
		} else {
			continue
		}
		for _, s := range replicas.coverageByVersion(now) {
			t.addCoverage(s)
		}
	}
	var best versionCoverage
	for _, s := range t.coverageSums {
		if known, bestKnown := s.services == live, best.services == live; known != bestKnown {
			if known {
				best = s
			}
			continue
		}
		if s.covered > best.covered+tieTolerance || (s.covered > best.covered-tieTolerance && s.version > best.version) {
			best = s
		}
	}
	return best.version, len(t.coverageSums) > 0
}

func (t *Table) addCoverage(s versionCoverage) {
	for i := range t.coverageSums {
		if t.coverageSums[i].version == s.version {
			t.coverageSums[i].covered += s.covered
			t.coverageSums[i].services += s.services
			return
		}
	}
	t.coverageSums = append(t.coverageSums, s)
}

// PartitionMap returns the names of a service's shards at a version, even if no
// server holds the version any more. If no server is known to have held the
// version, PartitionMap returns the manifest's shards and false.
func (t *Table) PartitionMap(view *config.View, service *config.Service, version shard.Version) ([]string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.replicaSet(view, service).replicas {
		for i := range r.PastVersions {
			if r.PastVersions[i].Version == version {
				return r.PastVersions[i].All, true
			}
		}
	}
	return service.Shards, false
}
