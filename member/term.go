package member

import (
	"slices"
	"time"
)

// grant is this host's present right to dispatch. It never changes, so that
// the owner checks it without a lock.
type grant struct {
	// until is when the echoes of the members permit dispatch no more, and
	// late when a missing tick shows a pause of the host.
	until  time.Time
	late   time.Time
	groups map[string]bool
}

// MayDispatch reports whether this host may dispatch to a placement group of
// its zone now. now must carry a reading of the monotonic clock.
func (t *Table) MayDispatch(group string, now time.Time) bool {
	g := t.grant.Load()
	return now.Before(g.until) && !now.After(g.late) && g.groups[group]
}

// ProvisionalOwner reports whether this host owns a group only because a member is
// silent while the store does not answer. Such groups stay at the cold floor.
func (t *Table) ProvisionalOwner(group string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if len(t.down) == 0 {
		return false
	}
	h, ok := OwnerOf(group, t.active(nil))
	return !ok || h.ID() != t.self.ID()
}

// SetGroups sets the placement groups of each zone and computes their owners.
func (t *Table) SetGroups(groups map[string][]string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.groups = groups
	t.index()
}

// index computes the owners and this host's grant.
func (t *Table) index() {
	clear(t.owner)
	for zone, names := range t.groups {
		if zone == t.self.Zone && len(t.wait) > 0 {
			continue
		}
		live := t.live(zone)
		for _, g := range names {
			if h, ok := OwnerOf(g, live); ok {
				t.owner[g] = h
			}
		}
	}
	granted := make(map[string]bool)
	for _, g := range t.groups[t.self.Zone] {
		if t.granted(g) {
			granted[g] = true
		}
	}
	t.publish(granted)
}

// granted reports whether this host owns a group and no earlier owner can
// dispatch to it any more.
func (t *Table) granted(group string) bool {
	if h, ok := t.owner[group]; ok {
		return h.ID() == t.self.ID()
	}
	for _, era := range t.eras {
		// A nil era stands for skipped rosters, whose owners are unknown.
		if h, ok := OwnerOf(group, era); !ok || t.wait[h.ID()] {
			return false
		}
	}
	h, ok := OwnerOf(group, t.owners())
	return ok && h.ID() == t.self.ID()
}

// publish makes a grant of the given groups visible to MayDispatch.
func (t *Table) publish(groups map[string]bool) {
	t.grant.Store(&grant{until: t.until, late: t.lastTick.Add(t.timing.LeaseDuration / 2), groups: groups})
}

// active returns the active members without the given ones.
func (t *Table) active(without map[ID]bool) []Host {
	var list []Host
	for _, m := range t.roster.Members {
		if gone := t.leaving && m.Host.ID() == t.self.ID(); m.Role == Active && !gone && !without[m.Host.ID()] {
			list = append(list, m.Host)
		}
	}
	return list
}

// paused reports whether the host itself was stopped since the last tick.
func (t *Table) paused(now time.Time) bool { return now.Sub(t.lastTick) > t.timing.LeaseDuration/2 }

// extend computes until when the echoes of all members permit dispatch.
func (t *Table) extend() {
	m, ok := t.roster.member(t.self.ID())
	if !ok || t.leaving || m.Role != Active || (!t.store.known && !t.store.silent) {
		// After a start or a pause the roster must be read again, because a
		// host without live peers has no echoes that tell of a newer one.
		t.until = time.Time{}
		return
	}
	t.until = t.lastTick.Add(t.timing.LeaseDuration)
	for _, m := range t.roster.Members {
		id := m.Host.ID()
		if id == t.self.ID() || m.Role == Claiming || (t.down[id] && t.storeFails(t.lastTick)) {
			continue
		}
		r, ok := t.peers[id]
		if !ok || r.echoed.IsZero() {
			t.until = time.Time{}
			return
		}
		if end := r.echoed.Add(t.timing.LeaseDuration); end.Before(t.until) {
			t.until = end
		}
	}
}

// settle starts a new era if the owners changed and removes the hosts that
// cannot dispatch under an earlier roster any more. It reports whether groups
// may have moved.
func (t *Table) settle(now time.Time) bool {
	changed := false
	next := t.active(t.down)
	if !slices.Equal(next, t.owners()) {
		t.eras = append(t.eras, next)
		changed = true
	}
	for id := range t.wait {
		if t.harmless(id, now) {
			delete(t.wait, id)
			changed = true
		}
	}
	if len(t.wait) == 0 && len(t.eras) > 1 {
		t.eras = [][]Host{next}
		changed = true
	}
	t.extend()
	if changed {
		t.index()
	} else {
		t.publish(t.grant.Load().groups)
	}
	return changed
}

// harmless reports whether a host dispatches nothing that an earlier roster
// gave it: it has adopted this roster, or it lacks this host's echo for longer
// than a term.
func (t *Table) harmless(id ID, now time.Time) bool {
	r, ok := t.peers[id]
	if !ok {
		return now.Sub(t.adopted) >= t.timing.EvictAfter
	}
	if r.leaving || (now.Sub(r.heard) >= t.timing.EvictAfter && t.required(r, now)) {
		return true
	}
	if t.down[id] {
		return false
	}
	if r.epoch >= t.roster.Epoch {
		return true
	}
	_, rostered := t.roster.member(id)
	return !rostered && now.Sub(t.adopted) >= t.timing.EvictAfter
}

// required reports whether a host's dispatch has needed this host's echo since
// it was last heard, so that its silence ends its term.
func (t *Table) required(r *record, now time.Time) bool {
	return r.epoch >= t.entered || now.Sub(t.adopted) >= t.timing.EvictAfter
}

// adopt installs a newer roster.
func (t *Table) adopt(roster Roster, now time.Time) {
	if roster.Epoch <= t.roster.Epoch {
		return
	}
	_, before := t.roster.member(t.self.ID())
	for _, m := range t.roster.Members {
		t.await(m.Host.ID())
	}
	for _, m := range roster.Members {
		t.await(m.Host.ID())
	}
	for id, r := range t.peers {
		if now.Sub(r.heard) < t.timing.EvictAfter {
			t.await(id)
		}
	}
	if !before || roster.Epoch != t.roster.Epoch+1 {
		// Owners of skipped rosters are unknown, so no group is kept.
		t.eras = append(t.eras, nil)
	}
	t.roster = roster
	t.adopted = now
	m, _ := roster.member(t.self.ID())
	if m.Role != t.role && m.Role != Active {
		t.joined, t.entered = now, roster.Epoch
	}
	t.role = m.Role
	for id := range t.down {
		if _, ok := roster.member(id); !ok {
			delete(t.down, id)
		}
	}
}

func (t *Table) await(id ID) {
	if id != t.self.ID() {
		t.wait[id] = true
	}
}
