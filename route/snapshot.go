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
// service without a live replica is ignored, since it may never report its map,
// unless none has one: a replica that is down is live again only after a query has
// asked it. Snapshot returns false if no version is known.
func (t *Table) Snapshot(view *config.View, services []string, now time.Time) (shard.Version, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	live := t.sumCoverage(view, services, true, now)
	if live == 0 {
		live = t.sumCoverage(view, services, false, now)
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

// sumCoverage sets coverageSums to the coverage of each version over the services, or
// over those of them with a live replica, and returns the number of these services.
func (t *Table) sumCoverage(view *config.View, services []string, liveOnly bool, now time.Time) int {
	t.coverageSums = t.coverageSums[:0]
	count := 0
	for _, name := range services {
		service, ok := view.Service(name)
		if !ok {
			continue
		}
		replicas := t.replicaSet(view, service)
		if liveOnly && !replicas.hasLive() {
			continue
		}
		count++
		for _, s := range replicas.coverageByVersion(now) {
			t.addCoverage(s)
		}
	}
	return count
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
