package member

import (
	"cmp"
	"slices"
	"sync"
)

// Table holds the live hosts of all zones. Its lock comes after that of config
// and before that of once.
type Table struct {
	self Host

	mu    sync.RWMutex
	hosts map[string]Host
}

// NewTable returns a table that holds only the host itself.
func NewTable(self Host) *Table {
	return &Table{self: self, hosts: map[string]Host{self.Name: self}}
}

// Self returns the host itself.
func (t *Table) Self() Host { return t.self }

// Learn replaces the other live hosts and reports whether that changed the
// table.
func (t *Table) Learn(hosts []Host) bool {
	next := map[string]Host{t.self.Name: t.self}
	for _, h := range hosts {
		if h.Name != t.self.Name {
			next[h.Name] = h
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := len(next) != len(t.hosts)
	for name, h := range next {
		changed = changed || t.hosts[name] != h
	}
	t.hosts = next
	return changed
}

// Live returns the live hosts of a zone, sorted by name.
func (t *Table) Live(zone string) []Host {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var live []Host
	for _, h := range t.hosts {
		if h.Zone == zone {
			live = append(live, h)
		}
	}
	slices.SortFunc(live, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	return live
}

// Host returns a live host by name.
func (t *Table) Host(name string) (Host, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	h, ok := t.hosts[name]
	return h, ok
}

// Owner returns the host that owns a placement group of a zone.
func (t *Table) Owner(group, zone string) (Host, bool) { return OwnerOf(group, t.Live(zone)) }
