package rules

import (
	"maps"
	"sync"
	"sync/atomic"
)

// Table holds the rules in force. Its lock comes first in the lock order, as
// that of config; no other lock is taken under it.
type Table struct {
	mu     sync.Mutex
	set    Set
	known  bool
	out    map[string]bool
	rotors map[string]*rotor
	seed   uint64
	view   atomic.Pointer[View]
}

// NewTable returns a table without rules. seed places the host within the
// rotations of splits, so that hosts do not all begin with the same service.
func NewTable(seed uint64) *Table {
	return &Table{out: make(map[string]bool), rotors: make(map[string]*rotor), seed: seed}
}

// View returns the rules in force, or nil while none are known.
func (t *Table) View() *View { return t.view.Load() }

// Apply puts a set in force and reports whether it did. A set that is not
// newer than the one in force is ignored, so that a late or stale read never
// brings back older rules.
func (t *Table) Apply(set Set) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.known && set.Version <= t.set.Version {
		return false
	}
	t.set, t.known = set, true
	t.publish()
	return true
}

// SetZoneOut takes one availability zone out or in and reports whether anything
// changed.
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

func (t *Table) publish() {
	if t.known {
		t.view.Store(newView(t.set, t.out))
	}
}

// Pick returns the service of a request on a split route. Choices rotate by
// weight, so that each host keeps to the weights even on few requests.
func (t *Table) Pick(route string, split Split) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rotors[route]
	if r == nil || !r.matches(split) {
		r = newRotor(split, t.seed)
		t.rotors[route] = r
	}
	return r.next()
}
