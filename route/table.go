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
	sets     map[string]*set
	// sum is the scratch space of Snapshot.
	sum     []share
	budgets [shard.Classes]budgets
	// confined keeps the choice to the own zone.
	confined bool
}

// Replica is what the entry side knows of one backend server.
type Replica struct {
	Figures shard.Figures
	Catalog shard.Catalog
	// Past holds the newest pastVersions versions that the server ever held,
	// so that the coverage of a query whose version disappears stays exact.
	Past []shard.Held
	// Known is true once the catalog was learned.
	Known bool
	// Seen is when Figures were last updated.
	Seen time.Time
	// Down is true from a failed exchange until the next good one.
	Down bool
	// Late is the age or the service time of a slow sub-request, until a good
	// reply. It holds before the owner's median follows.
	Late time.Duration
	// Again is when a replica that is down or slow may be tried again, and
	// Wait the time between two tries.
	Again time.Time
	Wait  time.Duration
	// Owner is the host that dispatches to the server, as far as known.
	Owner string
	// Open counts this host's sub-requests in progress.
	Open int

	set *set
}

// NewTable returns an empty table for an entry host in the given zone.
func NewTable(zone string) *Table {
	return &Table{
		zone:     zone,
		rng:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		replicas: make(map[string]*Replica),
		sets:     make(map[string]*set),
		budgets:  newBudgets(),
	}
}

func (t *Table) replica(server string) *Replica {
	r, ok := t.replicas[server]
	if !ok {
		r = &Replica{Figures: shard.Figures{Server: server, Usable: true}, Wait: firstWait}
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
		r.Known = true
		r.remember(c.Held)
		r.Figures.Stamp = c.Stamp
		r.set.forget()
	}
}

// pastVersions bounds the remembered partition maps of a server.
const pastVersions = 8

// remember adds versions to the past ones.
func (r *Replica) remember(held []shard.Held) {
	for _, h := range held {
		if slices.ContainsFunc(r.Past, func(p shard.Held) bool { return p.Version == h.Version }) {
			continue
		}
		r.Past = append(r.Past, h)
	}
	if len(r.Past) > pastVersions {
		slices.SortFunc(r.Past, func(a, b shard.Held) int { return cmp.Compare(b.Version, a.Version) })
		r.Past = r.Past[:pastVersions]
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
	r.set.forget()
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
	r.Down = failed(result)
	r.Seen = now
	if result.Figures.Server != "" {
		r.Figures = result.Figures
	}
	if r.Down != down || r.Figures.Usable != usable {
		r.set.forget()
	}
	t.judge(r, result, now)
}

// failed reports whether a result speaks against sending more to its server.
// A result without figures comes from a daemon that could not be reached.
func failed(result shard.Result) bool {
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
func (t *Table) judge(r *Replica, result shard.Result, now time.Time) {
	if r.Down {
		r.Again = now.Add(r.Wait)
		r.Wait = min(2*r.Wait, longestDown)
		return
	}
	if _, ok := result.Outcome.(shard.Answered); !ok {
		return
	}
	if best := r.set.best(); best > 0 && result.Took > slowFactor*best+slowMargin {
		r.Late = result.Took
		r.Again = now.Add(r.Wait)
		r.Wait = min(2*r.Wait, longestWait)
		return
	}
	r.Late = 0
	r.Wait = firstWait
	// A slow median with good replies belongs to a straggler that recovers.
	if !r.Again.IsZero() && r.Again.After(now.Add(firstWait)) {
		r.Again = now.Add(firstWait)
	}
}

// RecordOverdue notes that a sub-request has waited for a server beyond the hedge
// delay, so that the next queries avoid it before its first late reply.
func (t *Table) RecordOverdue(server string, age time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.replica(server)
	if age <= r.Late {
		return
	}
	r.Late = age
	r.Again = now.Add(r.Wait)
}

// Done ends a sub-request that Choose counted as in progress.
func (t *Table) Done(server string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.replica(server)
	r.Open = max(0, r.Open-1)
}

// StaleCatalogs returns the servers among the given ones whose catalog is unknown or
// outdated.
func (t *Table) StaleCatalogs(servers []string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var stale []string
	for _, name := range servers {
		r, ok := t.replicas[name]
		if !ok || !r.Known || r.Catalog.Stamp != r.Figures.Stamp {
			stale = append(stale, name)
		}
	}
	return stale
}
