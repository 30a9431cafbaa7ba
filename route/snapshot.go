package route

import (
	"time"

	"hyssophub/config"
	"hyssophub/shard"
)

// tieShare is the difference of coverage, in services, below which versions
// count as equal; it absorbs rounding of the sums.
const tieShare = 1e-9

// Snapshot chooses the index version that covers the most of the services'
// shards; among equals the newest. Versions whose partition map is known for
// all services with a live replica come first: with another version, the
// coverage would count the shards of the manifest instead of the version's. A
// service without a live replica may never report the map, so it does not count.
func (t *Table) Snapshot(view *config.View, services []string, now time.Time) (shard.Version, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sum = t.sum[:0]
	mapped := 0
	for _, name := range services {
		service, ok := view.Service(name)
		if !ok {
			continue
		}
		replicas := t.set(view, service)
		if replicas.live() {
			mapped++
		} else {
			continue
		}
		for _, s := range replicas.coverage(now) {
			t.add(s)
		}
	}
	var best share
	for _, s := range t.sum {
		if known, bestKnown := s.services == mapped, best.services == mapped; known != bestKnown {
			if known {
				best = s
			}
			continue
		}
		if s.covered > best.covered+tieShare || (s.covered > best.covered-tieShare && s.version > best.version) {
			best = s
		}
	}
	return best.version, len(t.sum) > 0
}

func (t *Table) add(s share) {
	for i := range t.sum {
		if t.sum[i].version == s.version {
			t.sum[i].covered += s.covered
			t.sum[i].services += s.services
			return
		}
	}
	t.sum = append(t.sum, s)
}

// PartitionMap returns the partition map of a service at a version, even if no server
// holds the version any more. Without a catalog that ever had it, PartitionMap returns
// the manifest's shards and false.
func (t *Table) PartitionMap(view *config.View, service *config.Service, version shard.Version) ([]string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.set(view, service).replicas {
		for i := range r.Past {
			if r.Past[i].Version == version {
				return r.Past[i].All, true
			}
		}
	}
	return service.Shards, false
}
