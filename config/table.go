package config

import (
	"sync"
	"time"
)

// Table holds the newest accepted configuration that this daemon knows, and the
// zone reports that its freshness follows from. It is first in the lock order.
type Table struct {
	mu      sync.RWMutex
	view    *View
	reports map[string]ZoneReport
	// until is when the host stops being fresh unless a report follows.
	until time.Time
}

// NewTable returns a table with an empty configuration at revision zero.
func NewTable() *Table {
	return &Table{view: NewView(Value{}), reports: make(map[string]ZoneReport)}
}

// Accept installs a value if its revision is newer than the current one and
// reports whether it did. Older values are ignored, so late reads and old
// copies from peers cannot revert the configuration.
func (t *Table) Accept(value Value) bool {
	t.mu.RLock()
	stale := value.Revision <= t.view.Value.Revision
	t.mu.RUnlock()
	if stale {
		return false
	}
	view := NewView(value)
	t.mu.Lock()
	defer t.mu.Unlock()
	if value.Revision <= t.view.Value.Revision {
		return false
	}
	t.view = view
	t.until = FreshUntil(view.homeZones, t.reports)
	return true
}

// View returns the current configuration. It never returns nil.
func (t *Table) View() *View {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.view
}
