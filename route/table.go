// Package route chooses, on an entry host, the backend servers that answer
// sub-requests. It owns the recent statistics and the catalog of each backend
// server, the backoff between probes of slow servers, and the budgets for hedges
// and retries. When to hedge or retry, and the sending itself, are left to the
// packages query and once.
package route

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"hyssophub/config"
	"hyssophub/fault"
	"hyssophub/shard"
)

// Table is the entry side's state of all backend servers. In the lock order its
// lock comes after those of config, member, once and query, and before that of
// owner.
type Table struct {
	zone string

	mu       sync.Mutex
	rng      *rand.Rand
	replicas map[string]*Replica
	view     *config.View
	sets     map[string]*replicaSet
	// coverageSums is a buffer that Snapshot reuses.
	coverageSums []versionCoverage
	budgets      [shard.ClassCount]budgets
	// zoneLocal restricts the choice to replicas in zone.
	zoneLocal bool
}

// Replica is the entry side's state of one backend server.
type Replica struct {
	Stats   shard.ServerStats
	Catalog shard.Catalog
	// PastVersions holds the newest maxPastVersions versions that the server
	// ever held, so that the coverage of a query whose version disappears stays
	// exact.
	PastVersions []shard.VersionShards
	// CatalogKnown is true once an owner has reported the catalog.
	CatalogKnown bool
	// StatsAt is when Stats were last updated.
	StatsAt time.Time
	// Down is true from a failed exchange until the next successful one.
	Down bool
	// SlowTime is the age or the service time of a slow sub-request, and zero
	// after a reply in time. It takes effect before the owner's median rises.
	SlowTime time.Duration
	// NextProbe is when a replica that is down or slow may be probed, and
	// Backoff the time between two probes.
	NextProbe time.Time
	Backoff   time.Duration
	// Owner is the host that dispatches to the server, or empty if unknown.
	Owner string
	// InFlight counts this host's sub-requests in progress at the server.
	InFlight int

	set *replicaSet
}

// NewTable returns an empty table for an entry host in the given zone.
func NewTable(zone string) *Table {
	return &Table{
		zone:     zone,
		rng:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		replicas: make(map[string]*Replica),
		sets:     make(map[string]*replicaSet),
		budgets:  newBudgets(),
	}
}

func (t *Table) replica(server string) *Replica {
	r, ok := t.replicas[server]
	if !ok {
		r = &Replica{Stats: shard.ServerStats{Server: server, Usable: true}, Backoff: minProbeBackoff}
		t.replicas[server] = r
	}
	return r
}

// UpdateCatalogs replaces the catalogs of servers with those that an owner
// reported.
func (t *Table) UpdateCatalogs(catalogs []shard.Catalog) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range catalogs {
		r := t.replica(c.Server)
		r.Catalog = c
		r.CatalogKnown = true
		r.addPastVersions(c.Versions)
		r.Stats.CatalogRevision = c.Revision
		r.set.invalidate()
	}
}

// maxPastVersions is the number of partition maps that are kept for a server.
const maxPastVersions = 8

// addPastVersions adds versions to PastVersions and drops the oldest beyond
// maxPastVersions.
func (r *Replica) addPastVersions(versions []shard.VersionShards) {
	for _, v := range versions {
		if slices.ContainsFunc(r.PastVersions, func(p shard.VersionShards) bool { return p.Version == v.Version }) {
			continue
		}
		r.PastVersions = append(r.PastVersions, v)
	}
	if len(r.PastVersions) > maxPastVersions {
		slices.SortFunc(r.PastVersions, func(a, b shard.VersionShards) int { return cmp.Compare(b.Version, a.Version) })
		r.PastVersions = r.PastVersions[:maxPastVersions]
	}
}

// RemoveVersion removes a version from a server's catalog after the server
// refused a sub-request for it. The owner may report the change a poll interval
// later.
func (t *Table) RemoveVersion(server string, version shard.Version) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.replica(server)
	// The slice may be shared with the owner's table in the same process.
	remaining := make([]shard.VersionShards, 0, len(r.Catalog.Versions))
	for _, v := range r.Catalog.Versions {
		if v.Version != version {
			remaining = append(remaining, v)
		}
	}
	r.Catalog.Versions = remaining
	r.set.invalidate()
}

// Observe updates a replica with the statistics and the outcome of a result.
func (t *Table) Observe(result shard.Result, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if refused, ok := result.Outcome.(shard.Refused); ok && refused.Reason.ConcernsOwner() {
		// A refusal by a former owner must not cause the server to be avoided.
		return
	}
	r := t.replica(result.Server)
	down, usable := r.Down, r.Stats.Usable
	r.Down = isDown(result)
	r.StatsAt = now
	if result.Stats.Server != "" {
		r.Stats = result.Stats
	}
	if r.Down != down || r.Stats.Usable != usable {
		r.set.invalidate()
	}
	t.updateBackoff(r, result, now)
}

// isDown reports whether the server counts as down after a result. A result
// without statistics comes from a daemon that could not be reached.
func isDown(result shard.Result) bool {
	switch o := result.Outcome.(type) {
	case shard.Failed:
		return true
	case shard.Refused:
		return o.Reason == fault.ReasonDown || o.Reason == fault.ReasonConnection || result.Stats.Server == ""
	default:
		return false
	}
}

// updateBackoff sets the next probe of a replica that is down or slow. The
// backoff doubles with each failed or slow result, since a probe delays a query.
func (t *Table) updateBackoff(r *Replica, result shard.Result, now time.Time) {
	if r.Down {
		r.NextProbe = now.Add(r.Backoff)
		r.Backoff = min(2*r.Backoff, maxDownBackoff)
		return
	}
	if _, ok := result.Outcome.(shard.Answered); !ok {
		return
	}
	if best := r.set.bestMedian(); best > 0 && result.Took > slowFactor*best+slowMargin {
		r.SlowTime = result.Took
		r.NextProbe = now.Add(r.Backoff)
		r.Backoff = min(2*r.Backoff, maxSlowBackoff)
		return
	}
	r.SlowTime = 0
	r.Backoff = minProbeBackoff
	// A replica with a slow median and replies in time is a straggler that
	// recovers.
	if !r.NextProbe.IsZero() && r.NextProbe.After(now.Add(minProbeBackoff)) {
		r.NextProbe = now.Add(minProbeBackoff)
	}
}

// RecordOverdue records that a sub-request has waited for a server beyond the
// hedge delay. The next queries then avoid the server before its first slow
// reply arrives.
func (t *Table) RecordOverdue(server string, age time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.replica(server)
	if age <= r.SlowTime {
		return
	}
	r.SlowTime = age
	r.NextProbe = now.Add(r.Backoff)
}

// Done ends a sub-request that Choose counted as in progress.
func (t *Table) Done(server string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.replica(server)
	r.InFlight = max(0, r.InFlight-1)
}

// StaleCatalogs returns the servers among the given ones whose catalog is
// unknown or outdated.
func (t *Table) StaleCatalogs(servers []string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var stale []string
	for _, name := range servers {
		r, ok := t.replicas[name]
		if !ok || !r.CatalogKnown || r.Catalog.Revision != r.Stats.CatalogRevision {
			stale = append(stale, name)
		}
	}
	return stale
}
