package config

import (
	"sync"
	"sync/atomic"
	"time"
)

// Table holds the newest accepted configuration that this daemon knows, and the
// zone reports that its freshness follows from. It is first in the lock order.
type Table struct {
	mu      sync.Mutex
	reports map[string]ZoneReport

	// view and until are read without the lock, since the owner's check reads
	// them while it holds the owner's lock, which comes later in the order.
	view atomic.Pointer[View]
	// until is when the host stops being fresh unless a report follows.
	until atomic.Pointer[time.Time]
}

// NewTable returns a table with an empty configuration at revision zero.
func NewTable() *Table {
	t := &Table{reports: make(map[string]ZoneReport)}
	t.view.Store(NewView(Value{}))
	t.until.Store(&time.Time{})
	return t
}

// Accept installs a value if its revision is newer than the current one and
// reports whether it did. Older values are ignored, so late reads and old
// copies from peers cannot revert the configuration.
func (t *Table) Accept(value Value) bool {
	if value.Revision <= t.View().Value.Revision {
		return false
	}
	view := NewView(value)
	t.mu.Lock()
	defer t.mu.Unlock()
	if value.Revision <= t.View().Value.Revision {
		return false
	}
	t.view.Store(view)
	t.judge()
	return true
}

// View returns the current configuration. It never returns nil.
func (t *Table) View() *View { return t.view.Load() }

// judge sets the end of the freshness. The caller holds the lock.
func (t *Table) judge() {
	until := FreshUntil(t.View().homeZones, t.reports)
	t.until.Store(&until)
}
