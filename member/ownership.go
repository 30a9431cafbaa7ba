package member

import (
	"slices"
	"time"
)

// grant is the permission of this host to dispatch to a set of groups. A
// published grant is immutable, so that MayDispatch reads it without a lock.
type grant struct {
	// leaseEnd is when the lease of this host ends unless further echoes extend
	// it. Past tickDeadline, a missing tick shows that this host paused.
	leaseEnd     time.Time
	tickDeadline time.Time
	groups       map[string]bool
}

// MayDispatch reports whether this host may dispatch to a placement group of
// its zone at time now, which must carry a reading of the monotonic clock.
func (t *Table) MayDispatch(group string, now time.Time) bool {
	g := t.grant.Load()
	return now.Before(g.leaseEnd) && !now.After(g.tickDeadline) && g.groups[group]
}

// ProvisionalOwner reports whether this host owns a group only because a member
// without recent heartbeats is excluded while the store does not answer.
// Servers of such groups stay at the cold floor.
func (t *Table) ProvisionalOwner(group string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if len(t.excluded) == 0 {
		return false
	}
	h, ok := OwnerOf(group, t.activeHosts(nil))
	return !ok || h.ID() != t.self.ID()
}

// SetGroups sets the placement groups of each zone and computes their owners.
func (t *Table) SetGroups(groups map[string][]string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.groups = groups
	t.computeOwners()
}

// computeOwners computes the owner of each group and publishes the grant of
// this host.
func (t *Table) computeOwners() {
	clear(t.owner)
	for zone, names := range t.groups {
		if zone == t.self.Zone && len(t.unfenced) > 0 {
			continue
		}
		live := t.liveHosts(zone)
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
	t.publishGrant(granted)
}

// granted reports whether this host owns a group and no earlier owner of the
// group can dispatch to it any more.
func (t *Table) granted(group string) bool {
	if h, ok := t.owner[group]; ok {
		return h.ID() == t.self.ID()
	}
	for _, owners := range t.ownerLists {
		// A nil list stands for skipped rosters, whose owners are unknown.
		if h, ok := OwnerOf(group, owners); !ok || t.unfenced[h.ID()] {
			return false
		}
	}
	h, ok := OwnerOf(group, t.owners())
	return ok && h.ID() == t.self.ID()
}

// publishGrant makes a grant for the given groups visible to MayDispatch.
func (t *Table) publishGrant(groups map[string]bool) {
	t.grant.Store(&grant{leaseEnd: t.leaseEnd, tickDeadline: t.lastTick.Add(t.timing.LeaseDuration / 2), groups: groups})
}

// activeHosts returns the active members except the given ones, and except this
// host if it is leaving.
func (t *Table) activeHosts(without map[ID]bool) []Host {
	var list []Host
	for _, m := range t.roster.Members {
		if gone := t.leaving && m.Host.ID() == t.self.ID(); m.Role == Active && !gone && !without[m.Host.ID()] {
			list = append(list, m.Host)
		}
	}
	return list
}

// paused reports whether this host was suspended since the last tick.
func (t *Table) paused(now time.Time) bool { return now.Sub(t.lastTick) > t.timing.LeaseDuration/2 }

// updateLease computes the end of this host's lease from its last tick and the
// echoes of the other members.
func (t *Table) updateLease() {
	m, ok := t.roster.member(t.self.ID())
	if !ok || t.leaving || m.Role != Active || (!t.store.answered && !t.store.failed) {
		// After a start or a pause the roster must be read again, because a
		// host without live peers receives no echoes that would show a newer
		// roster.
		t.leaseEnd = time.Time{}
		return
	}
	t.leaseEnd = t.lastTick.Add(t.timing.LeaseDuration)
	for _, m := range t.roster.Members {
		id := m.Host.ID()
		if id == t.self.ID() || m.Role == Claiming || (t.excluded[id] && t.storeUnavailable(t.lastTick)) {
			continue
		}
		p, ok := t.peers[id]
		if !ok || p.echoSentAt.IsZero() {
			t.leaseEnd = time.Time{}
			return
		}
		if end := p.echoSentAt.Add(t.timing.LeaseDuration); end.Before(t.leaseEnd) {
			t.leaseEnd = end
		}
	}
}

// updateOwnership records a changed owner list, drops the fenced hosts from
// unfenced, and updates lease and grant. It reports whether groups may have
// moved.
func (t *Table) updateOwnership(now time.Time) bool {
	changed := false
	next := t.activeHosts(t.excluded)
	if !slices.Equal(next, t.owners()) {
		t.ownerLists = append(t.ownerLists, next)
		changed = true
	}
	for id := range t.unfenced {
		if t.fenced(id, now) {
			delete(t.unfenced, id)
			changed = true
		}
	}
	if len(t.unfenced) == 0 && len(t.ownerLists) > 1 {
		t.ownerLists = [][]Host{next}
		changed = true
	}
	t.updateLease()
	if changed {
		t.computeOwners()
	} else {
		t.publishGrant(t.grant.Load().groups)
	}
	return changed
}

// fenced reports whether a host can no longer dispatch to groups that only an
// earlier roster gave it: the host has adopted the current roster, is leaving,
// or has lacked this host's echo for longer than LeaseDuration.
func (t *Table) fenced(id ID, now time.Time) bool {
	p, ok := t.peers[id]
	if !ok {
		return now.Sub(t.adoptedAt) >= t.timing.EvictAfter
	}
	if p.leaving || (now.Sub(p.receivedAt) >= t.timing.EvictAfter && t.dependsOnEcho(p, now)) {
		return true
	}
	if t.excluded[id] {
		return false
	}
	if p.epoch >= t.roster.Epoch {
		return true
	}
	_, listed := t.roster.member(id)
	return !listed && now.Sub(t.adoptedAt) >= t.timing.EvictAfter
}

// dependsOnEcho reports whether a host has needed this host's echo to dispatch
// since its last heartbeat, so that its lease has ended if it sent none for
// Timing.EvictAfter.
func (t *Table) dependsOnEcho(p *peerState, now time.Time) bool {
	return p.epoch >= t.joinEpoch || now.Sub(t.adoptedAt) >= t.timing.EvictAfter
}

// adoptRoster installs a newer roster and marks every host unfenced that may
// act on the earlier one. Older rosters have no effect.
func (t *Table) adoptRoster(roster Roster, now time.Time) {
	if roster.Epoch <= t.roster.Epoch {
		return
	}
	_, wasListed := t.roster.member(t.self.ID())
	for _, m := range t.roster.Members {
		t.markUnfenced(m.Host.ID())
	}
	for _, m := range roster.Members {
		t.markUnfenced(m.Host.ID())
	}
	for id, p := range t.peers {
		if now.Sub(p.receivedAt) < t.timing.EvictAfter {
			t.markUnfenced(id)
		}
	}
	if !wasListed || roster.Epoch != t.roster.Epoch+1 {
		// The owners of skipped rosters are unknown, so this host retains no
		// group without waiting.
		t.ownerLists = append(t.ownerLists, nil)
	}
	t.roster = roster
	t.adoptedAt = now
	m, _ := roster.member(t.self.ID())
	if m.Role != t.role && m.Role != Active {
		t.joinedAt, t.joinEpoch = now, roster.Epoch
	}
	t.role = m.Role
	for id := range t.excluded {
		if _, ok := roster.member(id); !ok {
			delete(t.excluded, id)
		}
	}
}

func (t *Table) markUnfenced(id ID) {
	if id != t.self.ID() {
		t.unfenced[id] = true
	}
}
