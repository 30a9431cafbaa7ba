package member

import (
	"slices"
	"time"
)

// storeState is what a host knows of the store's answers about the roster.
type storeState struct {
	// busy is true while a call waits, since since.
	busy  bool
	since time.Time
	// known is true after the first answer, and silent after a failed call.
	known  bool
	silent bool
	// call is the number of the newest call.
	call uint64
	read time.Time
	// next is when the next call is due after a failure or conflict.
	next  time.Time
	tries int
}

// Retry intervals of calls for the roster.
const (
	retryFirst = 200 * time.Millisecond
	retryMost  = 2 * time.Second
)

// Tick makes the decisions that depend on time. It is due each TickInterval.
func (t *Table) Tick(now time.Time) []Action {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.paused(now) {
		t.resume(now)
	}
	t.lastTick = now
	t.suspect(now)
	actions := t.callStore(now)
	if t.settle(now) {
		actions = append(actions, OwnershipChanged{})
	}
	return append(actions, t.sendDue(now)...)
}

// resume forgets what the host knew before its pause: the terms, and the
// silence of its peers, which the pause itself may explain.
func (t *Table) resume(now time.Time) {
	t.resumed = now
	for _, r := range t.peers {
		r.echoed = time.Time{}
		r.heard = now
	}
	t.adopted = now
	t.store = storeState{call: t.store.call + 1}
}

// silence is how long nothing was heard from a member.
func (t *Table) silence(id ID, now time.Time) time.Duration {
	if r, ok := t.peers[id]; ok {
		return now.Sub(r.heard)
	}
	return now.Sub(t.adopted)
}

// storeFails reports whether heartbeats alone must decide.
func (t *Table) storeFails(now time.Time) bool {
	return t.store.silent || (t.store.busy && now.Sub(t.store.since) >= t.timing.StoreTimeout)
}

// suspect puts silent members out by heartbeats alone while the store does
// not answer.
func (t *Table) suspect(now time.Time) {
	if !t.storeFails(now) {
		return
	}
	for _, m := range t.roster.Members {
		id := m.Host.ID()
		if id == t.self.ID() || t.down[id] || m.Role == Claiming {
			continue
		}
		r, ok := t.peers[id]
		if t.silence(id, now) >= t.timing.SuspectAfter || (ok && r.leaving) {
			t.down[id] = true
			t.await(id)
		}
	}
}

// Intervals of reading the roster. Active watchers read it to find claims,
// and hosts without ownership to find out what became of theirs.
const (
	readActive = 500 * time.Millisecond
	readOther  = time.Second
)

// callStore starts at most one call for the roster.
func (t *Table) callStore(now time.Time) []Action {
	if t.store.busy || now.Before(t.store.next) {
		return nil
	}
	next, change := t.wanted(now)
	var action Action
	switch {
	case t.store.known && change:
		t.store.call++
		action = SwapRoster{Call: t.store.call, Revision: t.roster.Revision, Roster: next}
	case !t.store.known, t.store.silent, t.readDue(now):
		t.store.call++
		action = ReadRoster{Call: t.store.call}
	default:
		return nil
	}
	t.store.busy = true
	t.store.since = now
	return []Action{action}
}

func (t *Table) readDue(now time.Time) bool {
	if t.role == Active {
		return t.watches() && now.Sub(t.store.read) >= readActive
	}
	return !t.leaving && now.Sub(t.store.read) >= readOther
}

// Waiting times of claims.
const (
	// claimAfter is how long a host without ownership waits for the active
	// members to let it join. It exceeds the time in which they write out a
	// dead one.
	claimAfter = 3 * time.Second
	// claimWait is how long active members may take to answer a claim or a
	// join; it covers several of their reads.
	claimWait = 2 * time.Second
	// claimPause separates the claims of a host that is cut off.
	claimPause = 5 * time.Second
)

// wanted returns the roster that this host would write, and false if it is
// content with the present one. All its changes go into one write.
func (t *Table) wanted(now time.Time) (Roster, bool) {
	self, in := t.roster.member(t.self.ID())
	if t.leaving {
		return t.roster.without(func(m Member) bool { return m.Host.ID() == t.self.ID() }), in
	}
	if !in {
		return t.join(now)
	}
	switch self.Role {
	case Claiming:
		if t.reachable(now) {
			return t.roster.with(Member{Host: t.self, Role: Standby}), true
		}
		alone := t.roster.without(func(Member) bool { return true })
		alone.Members = []Member{{Host: t.self, Role: Active}}
		return alone, now.Sub(t.joined) >= claimWait
	case Standby:
		if t.mayActivate(now) {
			return t.roster.with(Member{Host: t.self, Role: Active}), true
		}
		if now.Sub(t.joined) < claimWait {
			return Roster{}, false
		}
	case Active:
	}
	dead := t.dead(now)
	drop := func(m Member) bool {
		return slices.Contains(dead, m.Host.ID()) || (m.Role == Claiming && self.Role == Active)
	}
	return t.roster.without(drop), slices.ContainsFunc(t.roster.Members, drop)
}

// join returns the roster with which this host enters. The first host of all
// is active at once, because nobody ever dispatched without it.
func (t *Table) join(now time.Time) (Roster, bool) {
	switch {
	case t.roster.Epoch == 0:
		return t.roster.with(Member{Host: t.self, Role: Active}), true
	case t.reachable(now):
		return t.roster.with(Member{Host: t.self, Role: Standby}), true
	case now.Sub(t.adopted) >= claimAfter && !now.Before(t.claim):
		spread := time.Duration(weigh(t.self.Name, now.String()) % uint64(claimPause))
		t.claim = now.Add(claimPause + spread)
		return t.roster.with(Member{Host: t.self, Role: Claiming}), true
	}
	return Roster{}, false
}

// reachable reports whether this host and all active members hear each other.
// A host that joined without that would stop their dispatch. Earlier starts
// of this host are dead, as this one has their addresses.
func (t *Table) reachable(now time.Time) bool {
	for _, h := range t.active(nil) {
		if h.Name == t.self.Name {
			continue
		}
		r, ok := t.peers[h.ID()]
		if !ok || !r.known || now.Sub(r.heard) >= t.timing.SuspectAfter {
			return false
		}
	}
	return true
}

// mayActivate reports whether no host can dispatch any more without this
// host's echo: all active members have adopted a roster with this host, and
// those that were written out before have lacked echoes for over a term.
func (t *Table) mayActivate(now time.Time) bool {
	for _, h := range t.active(nil) {
		if r, ok := t.peers[h.ID()]; !ok || r.epoch < t.entered {
			return false
		}
	}
	return len(t.wait) == 0 && now.Sub(t.joined) >= t.timing.EvictAfter
}

// rankDelay separates the writes of hosts that suspect the same member, so
// that one write usually does it.
const (
	rankDelay = 50 * time.Millisecond
	rankMost  = 4
	// minorityDelay lets the larger side of a partition write first.
	minorityDelay = 400 * time.Millisecond
)

// dead returns the members that this host would write out now.
func (t *Table) dead(now time.Time) []ID {
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
		case t.silence(id, now) >= t.timing.SuspectAfter:
			silent = append(silent, id)
		case id.Name < t.self.Name:
			rank++
		}
	}
	delay := time.Duration(min(rank, rankMost)) * rankDelay
	minority := 2*len(silent) >= len(t.roster.Members) && len(t.roster.Members) > 2
	if minority || t.role != Active {
		delay += minorityDelay
	}
	return slices.DeleteFunc(silent, func(id ID) bool { return t.silence(id, now) < t.timing.SuspectAfter+delay })
}

// HandleRoster takes the store's roster: the answer to a read, a successful swap
// or the present value on a conflict.
func (t *Table) HandleRoster(call uint64, roster Roster, now time.Time) []Action {
	t.mu.Lock()
	defer t.mu.Unlock()
	if call == t.store.call {
		t.store = storeState{known: true, call: call, read: now}
	}
	newer := roster.Epoch > t.roster.Epoch
	if newer && call == t.store.call && t.role != Active && !t.leaving {
		t.store.next = now.Add(t.joinPause(now))
	}
	t.adopt(roster, now)
	if t.roster.Epoch == roster.Epoch {
		t.roster.Revision = roster.Revision
	}
	changed := t.settle(now)
	var actions []Action
	if changed {
		actions = append(actions, OwnershipChanged{})
	}
	if len(t.down) > 0 {
		// Dispatch stops until the store confirms the silent members as out.
		actions = append(actions, t.callStore(now)...)
	}
	if newer {
		// The others need the roster before they can stop or start.
		actions = append(actions, t.send(now, t.targets())...)
	}
	return actions
}

// joinSpread is the pause for each host of the zone that separates the writes of
// hosts without ownership. Each write makes those under way at the other hosts
// conflict: 73 hosts that started together caused nearly 300 writes a second.
const joinSpread = 40 * time.Millisecond

// joinPause returns a host's own part of the time over which the zone's hosts
// spread their writes.
func (t *Table) joinPause(now time.Time) time.Duration {
	full := time.Duration(len(t.peers)+1) * joinSpread
	return time.Duration(weigh(t.self.Name, now.String()) % uint64(full))
}

// HandleStoreFailure takes the failure of a call for the roster. A swap may have
// taken effect; the next answer tells.
func (t *Table) HandleStoreFailure(call uint64, now time.Time) []Action {
	t.mu.Lock()
	defer t.mu.Unlock()
	if call != t.store.call {
		return nil
	}
	backoff := min(retryFirst<<min(t.store.tries, 8), retryMost)
	// The hash spreads the retries of the hosts.
	spread := time.Duration(weigh(t.self.Name, now.String()) % uint64(backoff/2))
	t.store = storeState{
		known:  t.store.known,
		silent: true,
		next:   now.Add(backoff/2 + spread),
		tries:  t.store.tries + 1,
		call:   call,
	}
	t.suspect(now)
	if t.settle(now) {
		return []Action{OwnershipChanged{}}
	}
	return nil
}

// Leave ends this host's ownership for good. It dispatches nothing from now
// on and writes itself out of the roster.
func (t *Table) Leave(now time.Time) []Action {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = true
	t.settle(now)
	actions := append(t.callStore(now), OwnershipChanged{})
	return append(actions, t.send(now, t.targets())...)
}

// Left reports whether the roster no longer holds this host.
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
