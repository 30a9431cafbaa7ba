// Package route is the aggregate with which an entry host chooses between
// replicas: recent figures, the catalog of index versions, and the budgets for
// hedges and retries.
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

// Table holds what a daemon knows of all backend servers. Its lock comes after
// those of config, member, once and query, and before that of owner.
type Table struct {
	zone string

	mu       sync.Mutex
	rng      *rand.Rand
	replicas map[string]*Replica
	view     *config.View
	sets     map[string]*replicaSet
	// sum is the scratch space of Snapshot.
	coverageSums []versionCoverage
	budgets      [shard.Classes]budgets
	// confined keeps the choice to the own zone.
	zoneLocal bool
}

// Replica is what the entry side knows of one backend server.
type Replica struct {
	Figures shard.Figures
	Catalog shard.Catalog
	// Past holds the newest maxPastVersions versions that the server ever held,
	// so that the coverage of a query whose version disappears stays exact.
	PastVersions []shard.Held
	// Known is true once the catalog was learned.
	CatalogKnown bool
	// Seen is when Figures were last updated.
	FiguresAt time.Time
	// Down is true from a failed exchange until the next good one.
	Down bool
	// Late is the age or the service time of a slow sub-request, until a good
	// reply. It holds before the owner's median follows.
	SlowTime time.Duration
	// Again is when a replica that is down or slow may be tried probe, and
	// Wait the time between two tries.
	NextProbe time.Time
	Backoff   time.Duration
	// Owner is the host that dispatches to the server, as far as known.
	Owner string
	// Open counts this host's sub-requests in progress.
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
		r = &Replica{Figures: shard.Figures{Server: server, Usable: true}, Backoff: minProbeBackoff}
		t.replicas[server] = r
	}
	return r
}

// UpdateCatalogs takes over catalogs from an owner.
func (t *Table) UpdateCatalogs(catalogs []shard.Catalog) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range catalogs {
		r := t.replica(c.Server)
		r.Catalog = c
		r.CatalogKnown = true
		r.addPastVersions(c.Held)
		r.Figures.Stamp = c.Stamp
		r.set.invalidate()
	}
}

// maxPastVersions bounds the remembered partition maps of a server.
const maxPastVersions = 8

// remember adds versions to the past ones.
func (r *Replica) addPastVersions(held []shard.Held) {
	for _, h := range held {
		if slices.ContainsFunc(r.PastVersions, func(p shard.Held) bool { return p.Version == h.Version }) {
			continue
		}
		r.PastVersions = append(r.PastVersions, h)
	}
	if len(r.PastVersions) > maxPastVersions {
		slices.SortFunc(r.PastVersions, func(a, b shard.Held) int { return cmp.Compare(b.Version, a.Version) })
		r.PastVersions = r.PastVersions[:maxPastVersions]
	}
}

// RemoveVersion removes a version from a server's catalog after the server refused it.
// The owner's report of the change can be a poll interval away.
func (t *Table) RemoveVersion(server string, version shard.Version) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.replica(server)
	// The slice may be shared with the owner's table in the same process.
	held := make([]shard.Held, 0, len(r.Catalog.Held))
	for _, h := range r.Catalog.Held {
		if h.Version != version {
			held = append(held, h)
		}
	}
	r.Catalog.Held = held
	r.set.invalidate()
}

// Observe takes over the figures and the outcome of a result.
func (t *Table) Observe(result shard.Result, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if refused, ok := result.Outcome.(shard.Refused); ok && refused.Reason.OfOwner() {
		// The server must not be avoided for what its former owner says.
		return
	}
	r := t.replica(result.Server)
	down, usable := r.Down, r.Figures.Usable
	r.Down = isDown(result)
	r.FiguresAt = now
	if result.Figures.Server != "" {
		r.Figures = result.Figures
	}
	if r.Down != down || r.Figures.Usable != usable {
		r.set.invalidate()
	}
	t.updateBackoff(r, result, now)
}

// failed reports whether a result speaks against sending more to its server.
// A result without figures comes from a daemon that could not be reached.
func isDown(result shard.Result) bool {
	switch o := result.Outcome.(type) {
	case shard.Failed:
		return true
	case shard.Refused:
		return o.Reason == fault.ReasonDown || o.Reason == fault.ReasonConnection || result.Figures.Server == ""
	default:
		return false
	}
}

// judge sets when a replica that is down or slow is tried again. The wait
// doubles with each bad result, since a trial costs a query its time.
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
	// A slow median with good replies belongs to a straggler that recovers.
	if !r.NextProbe.IsZero() && r.NextProbe.After(now.Add(minProbeBackoff)) {
		r.NextProbe = now.Add(minProbeBackoff)
	}
}

// RecordOverdue notes that a sub-request has waited for a server beyond the hedge
// delay, so that the next queries avoid it before its first late reply.
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

// StaleCatalogs returns the servers among the given ones whose catalog is unknown or
// outdated.
func (t *Table) StaleCatalogs(servers []string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var stale []string
	for _, name := range servers {
		r, ok := t.replicas[name]
		if !ok || !r.CatalogKnown || r.Catalog.Stamp != r.Figures.Stamp {
			stale = append(stale, name)
		}
	}
	return stale
}
