package config

import (
	"sync"
	"sync/atomic"
	"time"
)

// Table holds the newest accepted configuration that this daemon received, and the
// zone reports from which its freshness is computed. Its lock is first in the lock
// order.
type Table struct {
	mu      sync.Mutex
	reports map[string]ZoneReport

	// view and freshUntil are read without the lock, because the owner's check
	// reads them under the owner's lock, which is later in the lock order.
	view atomic.Pointer[View]
	// freshUntil is when the host stops being fresh unless a newer report arrives.
	freshUntil atomic.Pointer[time.Time]
}

// NewTable returns a table with an empty configuration at revision zero.
func NewTable() *Table {
	t := &Table{reports: make(map[string]ZoneReport)}
	t.view.Store(NewView(Value{}))
	t.freshUntil.Store(&time.Time{})
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
	t.updateFreshness()
	return true
}

// View returns the current configuration. It never returns nil.
func (t *Table) View() *View { return t.view.Load() }

// updateFreshness computes the end of the freshness. The caller holds the lock.
func (t *Table) updateFreshness() {
	until := FreshUntil(t.View().ownerZones, t.reports)
	t.freshUntil.Store(&until)
}
