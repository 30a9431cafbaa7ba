package rules

import (
	"maps"
	"sync"
	"sync/atomic"
)

// Table holds the rules in force. Its lock comes first in the lock order, like
// that of config; no other lock is acquired while it is held.
type Table struct {
	mu     sync.Mutex
	set    Set
	hasSet bool
	// out is the set of availability zones that are out of service. It is
	// replaced, not changed, as views share it.
	out       map[string]bool
	rotations map[string]*rotation
	seed      uint64
	view      atomic.Pointer[View]
}

// NewTable returns a table without rules. seed sets the position at which the
// rotations of splits start, so that not all hosts start with the same service.
func NewTable(seed uint64) *Table {
	return &Table{out: make(map[string]bool), rotations: make(map[string]*rotation), seed: seed}
}

// View returns the rules in force, or nil before the first set is applied.
func (t *Table) View() *View { return t.view.Load() }

// Apply puts a set in force and reports whether it did. A set that is not newer
// than the one in force is ignored, so that a delayed or stale read never
// restores older rules.
func (t *Table) Apply(set Set) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.hasSet && set.Version <= t.set.Version {
		return false
	}
	t.set, t.hasSet = set, true
	t.publish()
	return true
}

// SetZoneOut takes an availability zone out of service or puts it back, and
// reports whether its state changed.
func (t *Table) SetZoneOut(zone string, out bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.out[zone] == out {
		return false
	}
	t.out = maps.Clone(t.out)
	if out {
		t.out[zone] = true
	} else {
		delete(t.out, zone)
	}
	t.publish()
	return true
}

// publish replaces the view; the caller holds mu.
func (t *Table) publish() {
	if t.hasSet {
		t.view.Store(newView(t.set, t.out))
	}
}

// Pick returns the service for the next request on a split route. The choices
// rotate by weight, so that each host keeps to the weights even with few
// requests.
func (t *Table) Pick(route string, split Split) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rotations[route]
	if r == nil || !r.matches(split) {
		r = newRotation(split, t.seed)
		t.rotations[route] = r
	}
	return r.next()
}
