// Package route is the aggregate with which an entry host chooses between
// replicas: recent figures, the catalog of index versions, and the budgets for
// hedges and retries.
package route

import (
	"slices"
	"sync"
	"time"

	"hyssophub/config"
	"hyssophub/shard"
)

// Table holds what a daemon knows of all backend servers. Its lock comes after
// those of config, member, once and query, and before that of owner.
type Table struct {
	zone string

	mu       sync.Mutex
	replicas map[string]*Replica
	hedges   Budget
	retries  Budget
}

// Replica is what the entry side knows of one backend server.
type Replica struct {
	Figures shard.Figures
	Catalog shard.Catalog
	// Known is true once the catalog was learned.
	Known bool
	// Seen is when Figures were last updated.
	Seen time.Time
	// Down is true from a failed exchange until the next good one.
	Down bool
}

// NewTable returns an empty table for an entry host in the given zone.
func NewTable(zone string) *Table {
	return &Table{
		zone:     zone,
		replicas: make(map[string]*Replica),
		hedges:   NewBudget(hedgeShare, hedgeBurst),
		retries:  NewBudget(retryShare, retryBurst),
	}
}

func (t *Table) replica(server string) *Replica {
	r, ok := t.replicas[server]
	if !ok {
		r = &Replica{Figures: shard.Figures{Server: server, Usable: true}}
		t.replicas[server] = r
	}
	return r
}

// Learn takes over catalogs from an owner.
func (t *Table) Learn(catalogs []shard.Catalog) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range catalogs {
		r := t.replica(c.Server)
		r.Catalog = c
		r.Known = true
		r.Figures.Stamp = c.Stamp
	}
}

// Observe takes over the figures and the outcome of a result.
func (t *Table) Observe(result shard.Result, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.replica(result.Server)
	if result.Figures.Server == "" {
		r.Down = true
		r.Seen = now
		return
	}
	r.Figures = result.Figures
	r.Seen = now
	_, r.Down = result.Outcome.(shard.Failed)
}

// Stale returns the servers among the given ones whose catalog is unknown or
// outdated.
func (t *Table) Stale(servers []string) []string {
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

// Snapshot chooses the index version that covers the most of the services'
// shards; among equals the newest.
func (t *Table) Snapshot(view *config.View, services []string, now time.Time) (shard.Version, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	covered := make(map[shard.Version]float64)
	for _, name := range services {
		service, ok := view.Service(name)
		if !ok {
			continue
		}
		for version, share := range t.shares(view, service, now) {
			covered[version] += share
		}
	}
	var (
		best shard.Version
		top  float64
	)
	for version, share := range covered {
		if share > top || (share == top && version > best) {
			best, top = version, share
		}
	}
	return best, len(covered) > 0
}

// shares returns for each version the covered share of a service's shards.
func (t *Table) shares(view *config.View, service *config.Service, now time.Time) map[shard.Version]float64 {
	shares := make(map[shard.Version]float64)
	for _, server := range service.Servers {
		r, ok := t.replicas[server.Name]
		if !ok || !r.Known || !t.usable(view, server, r, now) {
			continue
		}
		for _, h := range r.Catalog.Held {
			if _, done := shares[h.Version]; done || len(h.All) == 0 {
				continue
			}
			shares[h.Version] = t.share(view, service, h, now)
		}
	}
	return shares
}

func (t *Table) share(view *config.View, service *config.Service, held shard.Held, now time.Time) float64 {
	count := 0
	for _, name := range held.All {
		if slices.ContainsFunc(service.Servers, func(s config.Server) bool {
			r, ok := t.replicas[s.Name]
			return ok && t.usable(view, s, r, now) && r.holds(held.Version, name)
		}) {
			count++
		}
	}
	return float64(count) / float64(len(held.All))
}

// Map returns the partition map of a service at a version. Without a catalog
// it returns the manifest's shards and false.
func (t *Table) Map(service *config.Service, version shard.Version) ([]string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, server := range service.Servers {
		if r, ok := t.replicas[server.Name]; ok && r.Known {
			if h, ok := r.Catalog.At(version); ok {
				return h.All, true
			}
		}
	}
	return service.Shards, false
}

func (r *Replica) holds(version shard.Version, name string) bool {
	h, ok := r.Catalog.At(version)
	return ok && slices.Contains(h.Shards, name)
}
