package member

import (
	"slices"
	"time"
)

// storeState tracks the calls that read or write the roster in the store. At
// most one call is pending.
type storeState struct {
	// pending is true from the start of a call, at pendingSince, to its answer.
	pending      bool
	pendingSince time.Time
	// answered is true after the first successful call since the start or the
	// last pause, and failed after a failed call until the next successful one.
	answered bool
	failed   bool
	// call is the number of the newest call, and readAt the time of the last
	// successful one.
	call   uint64
	readAt time.Time
	// nextCall is the earliest time of the next call after a failure or
	// conflict.
	nextCall time.Time
	failures int
}

// Bounds of the retry backoff for roster calls. The delay before a retry lies
// between half of the backoff and all of it.
const (
	initialBackoff = 200 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

// Tick makes the decisions that depend on time and returns the resulting
// actions. It must be called each TickInterval.
func (t *Table) Tick(now time.Time) []Action {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.paused(now) {
		t.resetAfterPause(now)
	}
	t.lastTick = now
	t.excludeSilent(now)
	actions := t.nextStoreCall(now)
	if t.updateOwnership(now) {
		actions = append(actions, OwnershipChanged{})
	}
	return append(actions, t.dueHeartbeats(now)...)
}

// resetAfterPause discards the state that a pause of this host makes invalid:
// the echoes that extend its lease, the state of its store calls, and the time
// since the last heartbeats of its peers, which the pause itself may have
// lengthened.
func (t *Table) resetAfterPause(now time.Time) {
	t.resumedAt = now
	for _, p := range t.peers {
		p.echoSentAt = time.Time{}
		p.receivedAt = now
	}
	t.adoptedAt = now
	t.store = storeState{call: t.store.call + 1}
}

// sinceHeartbeat returns the time since the last heartbeat of a host or, if
// there was none, since the roster was adopted.
func (t *Table) sinceHeartbeat(id ID, now time.Time) time.Duration {
	if p, ok := t.peers[id]; ok {
		return now.Sub(p.receivedAt)
	}
	return now.Sub(t.adoptedAt)
}

// storeUnavailable reports whether the last roster call failed or is overdue,
// so that heartbeats alone must decide which members are excluded.
func (t *Table) storeUnavailable(now time.Time) bool {
	return t.store.failed || (t.store.pending && now.Sub(t.store.pendingSince) >= t.timing.StoreTimeout)
}

// excludeSilent excludes members that are leaving or that sent no heartbeat for
// Timing.SuspectAfter from ownership while the store is unavailable.
func (t *Table) excludeSilent(now time.Time) {
	if !t.storeUnavailable(now) {
		return
	}
	for _, m := range t.roster.Members {
		id := m.Host.ID()
		if id == t.self.ID() || t.excluded[id] || m.Role == Claiming {
			continue
		}
		p, ok := t.peers[id]
		if t.sinceHeartbeat(id, now) >= t.timing.SuspectAfter || (ok && p.leaving) {
			t.excluded[id] = true
			t.markUnfenced(id)
		}
	}
}

// Intervals at which the roster is read. Active watchers read it to find
// claims, and hosts that may not own servers read it to find out whether their
// join or claim took effect.
const (
	activeReadInterval   = 500 * time.Millisecond
	inactiveReadInterval = time.Second
)

// nextStoreCall returns the roster call that is due, or nothing. At most one
// call is pending at a time.
func (t *Table) nextStoreCall(now time.Time) []Action {
	if t.store.pending || now.Before(t.store.nextCall) {
		return nil
	}
	next, change := t.desiredRoster(now)
	var action Action
	switch {
	case t.store.answered && change:
		t.store.call++
		action = SwapRoster{Call: t.store.call, Revision: t.roster.Revision, Roster: next}
	case !t.store.answered, t.store.failed, t.rosterReadDue(now):
		t.store.call++
		action = ReadRoster{Call: t.store.call}
	default:
		return nil
	}
	t.store.pending = true
	t.store.pendingSince = now
	return []Action{action}
}

func (t *Table) rosterReadDue(now time.Time) bool {
	if t.role == Active {
		return t.isWatcher() && now.Sub(t.store.readAt) >= activeReadInterval
	}
	return !t.leaving && now.Sub(t.store.readAt) >= inactiveReadInterval
}

// Time limits of claims.
const (
	// claimDelay is how long a host outside the roster waits for the active
	// members to let it join before it claims. It exceeds the time in which the
	// active members remove a dead one.
	claimDelay = 3 * time.Second
	// claimTimeout is how long active members may take to answer a claim or a
	// join. It covers several of their roster reads.
	claimTimeout = 2 * time.Second
	// claimInterval is the minimum time between two claims of a host that
	// cannot reach the active members.
	claimInterval = 5 * time.Second
)

// desiredRoster returns the roster that this host wants to write, and false if
// it wants no change. All changes go into one write.
func (t *Table) desiredRoster(now time.Time) (Roster, bool) {
	self, in := t.roster.member(t.self.ID())
	if t.leaving {
		return t.roster.without(func(m Member) bool { return m.Host.ID() == t.self.ID() }), in
	}
	if !in {
		return t.rosterToJoin(now)
	}
	switch self.Role {
	case Claiming:
		if t.reachesActive(now) {
			return t.roster.with(Member{Host: t.self, Role: Standby}), true
		}
		soleMember := t.roster.without(func(Member) bool { return true })
		soleMember.Members = []Member{{Host: t.self, Role: Active}}
		return soleMember, now.Sub(t.joinedAt) >= claimTimeout
	case Standby:
		if t.mayActivate(now) {
			return t.roster.with(Member{Host: t.self, Role: Active}), true
		}
		if now.Sub(t.joinedAt) < claimTimeout {
			return Roster{}, false
		}
	case Active:
	}
	evict := t.evictable(now)
	removed := func(m Member) bool {
		return slices.Contains(evict, m.Host.ID()) || (m.Role == Claiming && self.Role == Active)
	}
	return t.roster.without(removed), slices.ContainsFunc(t.roster.Members, removed)
}

// rosterToJoin returns the roster that adds this host, and false if this host
// cannot join yet. The first host of a zone is active at once, because no host
// ever dispatched without its echo.
func (t *Table) rosterToJoin(now time.Time) (Roster, bool) {
	switch {
	case t.roster.Epoch == 0:
		return t.roster.with(Member{Host: t.self, Role: Active}), true
	case t.reachesActive(now):
		return t.roster.with(Member{Host: t.self, Role: Standby}), true
	case now.Sub(t.adoptedAt) >= claimDelay && !now.Before(t.nextClaim):
		spread := time.Duration(hashWeight(t.self.Name, now.String()) % uint64(claimInterval))
		t.nextClaim = now.Add(claimInterval + spread)
		return t.roster.with(Member{Host: t.self, Role: Claiming}), true
	}
	return Roster{}, false
}

// reachesActive reports whether heartbeats arrive in both directions between
// this host and each active member. A host that joined without them would
// interrupt the dispatch of the active members, because they would lack its
// echo. Earlier incarnations of this host are skipped: they are dead, as this
// incarnation has their addresses.
func (t *Table) reachesActive(now time.Time) bool {
	for _, h := range t.activeHosts(nil) {
		if h.Name == t.self.Name {
			continue
		}
		p, ok := t.peers[h.ID()]
		if !ok || !p.selfAlive || now.Sub(p.receivedAt) >= t.timing.SuspectAfter {
			return false
		}
	}
	return true
}

// mayActivate reports whether no host can dispatch any more without this host's
// echo: all active members have adopted a roster with this host, and the hosts
// that were removed before have lacked echoes for over LeaseDuration.
func (t *Table) mayActivate(now time.Time) bool {
	for _, h := range t.activeHosts(nil) {
		if p, ok := t.peers[h.ID()]; !ok || p.epoch < t.joinEpoch {
			return false
		}
	}
	return len(t.unfenced) == 0 && now.Sub(t.joinedAt) >= t.timing.EvictAfter
}

// rankDelay separates the writes of hosts that suspect the same member, so that
// usually one write suffices. The rank of a host is the number of other
// responsive members with lower names; maxRank bounds the delay.
const (
	rankDelay = 50 * time.Millisecond
	maxRank   = 4
	// minorityDelay lets the larger side of a partition write first.
	minorityDelay = 400 * time.Millisecond
)

// evictable returns the members that this host would remove from the roster
// now.
func (t *Table) evictable(now time.Time) []ID {
	var (
		silent []ID
		rank   int
	)
	for _, m := range t.roster.Members {
		id := m.Host.ID()
		if id == t.self.ID() || m.Role == Claiming {
			continue
		}
		switch {
		case t.sinceHeartbeat(id, now) >= t.timing.SuspectAfter:
			silent = append(silent, id)
		case id.Name < t.self.Name:
			rank++
		}
	}
	delay := time.Duration(min(rank, maxRank)) * rankDelay
	minority := 2*len(silent) >= len(t.roster.Members) && len(t.roster.Members) > 2
	if minority || t.role != Active {
		delay += minorityDelay
	}
	return slices.DeleteFunc(silent, func(id ID) bool { return t.sinceHeartbeat(id, now) < t.timing.SuspectAfter+delay })
}

// HandleRoster processes the roster that a call returned: the answer to a read,
// the written roster of a successful swap, or the stored roster of a swap that
// conflicted.
func (t *Table) HandleRoster(call uint64, roster Roster, now time.Time) []Action {
	t.mu.Lock()
	defer t.mu.Unlock()
	if call == t.store.call {
		t.store = storeState{answered: true, call: call, readAt: now}
	}
	newer := roster.Epoch > t.roster.Epoch
	if newer && call == t.store.call && t.role != Active && !t.leaving {
		t.store.nextCall = now.Add(t.joinDelay(now))
	}
	t.adoptRoster(roster, now)
	if t.roster.Epoch == roster.Epoch {
		t.roster.Revision = roster.Revision
	}
	changed := t.updateOwnership(now)
	var actions []Action
	if changed {
		actions = append(actions, OwnershipChanged{})
	}
	if len(t.excluded) > 0 {
		// Members that are excluded by heartbeats alone need a roster write now
		// that the store answers. Dispatch stops until that write succeeds.
		actions = append(actions, t.nextStoreCall(now)...)
	}
	if newer {
		// The other hosts need the roster before they can stop or start to
		// dispatch.
		actions = append(actions, t.heartbeatRound(now, t.zoneRecipients())...)
	}
	return actions
}

// joinDelayPerHost times the number of hosts of the zone is the time over which
// hosts that may not own servers yet spread their roster writes. Each write
// makes the pending writes of other hosts conflict: 73 hosts that started
// together caused nearly 300 writes a second.
const joinDelayPerHost = 40 * time.Millisecond

// joinDelay returns a pseudo-random delay, derived from the host name and the
// time, over which the hosts of the zone spread their writes.
func (t *Table) joinDelay(now time.Time) time.Duration {
	total := time.Duration(len(t.peers)+1) * joinDelayPerHost
	return time.Duration(hashWeight(t.self.Name, now.String()) % uint64(total))
}

// HandleStoreFailure processes the failure of a roster call. A failed swap may
// have taken effect; the next successful call shows the current roster.
func (t *Table) HandleStoreFailure(call uint64, now time.Time) []Action {
	t.mu.Lock()
	defer t.mu.Unlock()
	if call != t.store.call {
		return nil
	}
	backoff := min(initialBackoff<<min(t.store.failures, 8), maxBackoff)
	// The hash spreads the retries of the hosts over half of the backoff.
	spread := time.Duration(hashWeight(t.self.Name, now.String()) % uint64(backoff/2))
	t.store = storeState{
		answered: t.store.answered,
		failed:   true,
		nextCall: now.Add(backoff/2 + spread),
		failures: t.store.failures + 1,
		call:     call,
	}
	t.excludeSilent(now)
	if t.updateOwnership(now) {
		return []Action{OwnershipChanged{}}
	}
	return nil
}

// Leave ends this host's ownership permanently. From now on this host
// dispatches nothing, and it removes itself from the roster.
func (t *Table) Leave(now time.Time) []Action {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = true
	t.updateOwnership(now)
	actions := append(t.nextStoreCall(now), OwnershipChanged{})
	return append(actions, t.heartbeatRound(now, t.zoneRecipients())...)
}

// Left reports whether this host is leaving and the roster no longer contains
// it.
func (t *Table) Left() bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	_, in := t.roster.member(t.self.ID())
	return t.leaving && !in
}

// Active reports whether this host may own servers.
func (t *Table) Active() bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.role == Active && !t.leaving
}
