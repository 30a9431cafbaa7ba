package gossip

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"hyssophub/store"
)

// Timeouts and backoff of the failure detector.
const (
	// sameZoneTimeout is the age of the newest heartbeat at which a host of the own
	// availability zone is no longer live, if every host sends to every other one. It
	// covers the loss of two heartbeats. Above fanOut hosts, spreadTimeout is added
	// for each round in which heartbeats spread through the zone.
	sameZoneTimeout = 1300 * time.Millisecond
	spreadTimeout   = 1200 * time.Millisecond
	// otherZoneTimeout and otherSpreadTimeout are the same for hosts of other
	// availability zones, whose heartbeats mostly arrive through other hosts.
	otherZoneTimeout   = 4 * time.Second
	otherSpreadTimeout = 2 * time.Second
	// retentionTime is how long after its newest heartbeat a host still counts among
	// those that share the limits of the backend servers, because it may still be
	// serving. otherSpreadTimeout is added as above.
	retentionTime = 10 * time.Second
	// storeContactTimeout is the age of the store's last answer at which a host no
	// longer counts as a watcher: the longest wait of a watch and one heartbeat.
	storeContactTimeout = 4 * time.Second
	// suspectBackoff is how long a host is not called after a call to it failed. It
	// doubles with each further failure, maxSuspectDoublings times at most.
	suspectBackoff      = time.Second
	maxSuspectDoublings = 2
)

const (
	// watchersPerZone is the number of hosts of an availability zone that watch the
	// store for the others.
	watchersPerZone = 1
	// minOtherWatchers is the number of other hosts that must watch the store before
	// a host relies on them, so that one of them may fail unnoticed.
	minOtherWatchers = 2
)

// Table holds the hosts known from heartbeats and the reachability of the
// availability zones. In the lock order, its lock comes after that of package relay
// and before that of package fleet; no other lock is acquired while it is held.
type Table struct {
	mu   sync.Mutex
	self Record
	// started is when the local host started.
	started time.Time
	hosts   map[string]*Record
	// eraSince is when the local host followed the store into its present era.
	eraSince time.Time
	// contacts are the answers of the store to any host, oldest first.
	contacts  []time.Time
	discovery discovery
	// zones holds the reachability by availability zone.
	zones map[string]*reachability
	// fullWeight is the weight of the local host at its best speed.
	fullWeight int
	speed      speed
	// spreadRounds is the number of rounds, beyond the first, in which heartbeats
	// spread through the own zone.
	spreadRounds int
}

// NewTable returns a table that contains only the local host.
func NewTable(self Host, now time.Time) *Table {
	return &Table{self: Record{Host: self, LastSeen: now}, started: now, fullWeight: self.Weight, hosts: make(map[string]*Record), zones: make(map[string]*reachability)}
}

// UpdateSelf calls change, under the lock, on the record of the local host.
func (t *Table) UpdateSelf(change func(*Record)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.self.Position
	change(&t.self)
	t.recordContact(t.self.StoreContact)
	if t.self.Position.Era != before.Era && before != (store.Position{}) {
		t.eraSince = time.Now()
	}
}

// Receive merges a heartbeat that arrived now. It returns the reply to send to a
// starting host whose heartbeat arrives here for the first time, and a Datagram
// without addresses otherwise.
func (t *Table) Receive(hb Heartbeat, now time.Time) Datagram {
	t.mu.Lock()
	defer t.mu.Unlock()
	sender := hb.Sender
	if sender.Name == t.self.Name {
		return Datagram{}
	}
	t.discovery.hasMet = true
	known, ok := t.hosts[sender.Name]
	isFirst := !ok || known.lastDirect.IsZero() || known.Incarnation != sender.Incarnation
	sender.LastSeen, sender.lastDirect = now, now
	t.merge(sender)
	for _, r := range hb.Others {
		t.merge(r)
	}
	if !isFirst || !sender.Joining || sender.HeartbeatAddress == "" {
		return Datagram{}
	}
	return t.welcome(t.hosts[sender.Name], now)
}

// merge replaces the known record of a host if the given one is newer.
func (t *Table) merge(r Record) {
	if r.Name == t.self.Name {
		return
	}
	if zone := t.zoneReachability(r.Zone); r.LastSeen.After(zone.lastHeartbeat) {
		zone.lastHeartbeat = r.LastSeen
	}
	t.recordContact(r.StoreContact)
	known, ok := t.hosts[r.Name]
	switch {
	case !ok:
		t.hosts[r.Name] = &r
		return
	case r.Incarnation < known.Incarnation && (r.lastDirect.IsZero() || r.LastSeen.Sub(known.LastSeen) < sameZoneTimeout):
		// A host that restarts after its clock was set back has a lower incarnation
		// than before. It is accepted only from its own heartbeat, once no heartbeat of
		// the former run was sent for sameZoneTimeout.
		return
	case r.Incarnation == known.Incarnation && !r.LastSeen.After(known.LastSeen):
		return
	}
	if r.Incarnation == known.Incarnation {
		r.suspectUntil, r.failures = known.suspectUntil, known.failures
	}
	if r.lastDirect.IsZero() && r.Incarnation == known.Incarnation {
		r.lastDirect = known.lastDirect
	}
	// A heartbeat from a third host may carry an older StoreContact.
	if known.StoreContact.After(r.StoreContact) && r.Incarnation == known.Incarnation {
		r.StoreContact = known.StoreContact
	}
	*known = r
}

// isLive reports whether a host is considered to be serving.
func (t *Table) isLive(r *Record, now time.Time) bool {
	timeout := otherZoneTimeout + time.Duration(t.spreadRounds)*otherSpreadTimeout
	if r.Zone == t.self.Zone {
		timeout = sameZoneTimeout + time.Duration(t.spreadRounds)*spreadTimeout
	}
	return !r.Leaving && now.Sub(r.LastSeen) < timeout
}

// updateZone sets the size of the own zone and, by it, spreadRounds.
func (t *Table) updateZone() {
	neighbours := 0
	for _, r := range t.hosts {
		if t.isSameZone(r) {
			neighbours++
		}
	}
	t.self.ZoneSize = neighbours + 1
	t.spreadRounds = 0
	for reached := fanOut; reached < neighbours; reached *= fanOut {
		t.spreadRounds++
	}
}

// Expire removes the hosts whose newest heartbeat is older than retentionTime and
// returns the number of hosts that may be serving, the local one included. Of other
// zones it counts as many hosts as any host there knows.
func (t *Table) Expire(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, sizes := make(map[string]int), make(map[string]int)
	var removed []string
	for name, r := range t.hosts {
		if now.Sub(r.LastSeen) > retentionTime+time.Duration(t.spreadRounds)*otherSpreadTimeout {
			delete(t.hosts, name)
			removed = append(removed, r.Zone)
			continue
		}
		known[r.Zone]++
		sizes[r.Zone] = max(sizes[r.Zone], r.ZoneSize)
	}
	for _, zone := range removed {
		t.discovery.zoneLost = t.discovery.zoneLost || (zone != t.self.Zone && known[zone] == 0)
	}
	t.updateZone()
	total := t.self.ZoneSize
	for zone, count := range known {
		if zone != t.self.Zone {
			total += max(count, sizes[zone])
		}
	}
	return total
}

// Counts returns the number of live hosts and how many of them are in the own
// availability zone, the local host included.
func (t *Table) Counts(now time.Time) (total, sameZone int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	total, sameZone = 1, 1
	for _, r := range t.hosts {
		if !t.isLive(r, now) {
			continue
		}
		total++
		if r.Zone == t.self.Zone {
			sameZone++
		}
	}
	return total, sameZone
}

// ShouldWatch reports whether the local host must watch the store itself: fewer
// than watchersPerZone watchers precede it by name in its availability zone, or
// fewer than minOtherWatchers other hosts watch. Hosts that stay in an earlier era of the
// store do not count.
func (t *Table) ShouldWatch(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.shouldWatch(now)
}

// shouldWatch is ShouldWatch; the lock must be held.
func (t *Table) shouldWatch(now time.Time) bool {
	watchersBefore, watchers := 0, 0
	// The others watch the store in its new era once their watches have ended.
	followsEra := now.Sub(t.eraSince) < storeContactTimeout
	for _, r := range t.hosts {
		if !t.isLive(r, now) {
			continue
		}
		isWatcher := r.Watching && now.Sub(r.StoreContact) < storeContactTimeout && (r.Position.Era >= t.self.Position.Era || followsEra)
		if isWatcher {
			watchers++
		}
		if r.Zone == t.self.Zone && r.Name < t.self.Name && isWatcher {
			watchersBefore++
		}
	}
	return watchersBefore < watchersPerZone || watchers < minOtherWatchers
}

// NewestHost returns the available host that has applied the newest change, if that
// change is newer than the local host's. Hosts of the own availability zone are
// preferred.
func (t *Table) NewestHost(now time.Time) (Host, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var best *Record
	for _, r := range t.hosts {
		if !t.isAvailable(r, now) || !r.Position.IsAfter(t.self.Position) {
			continue
		}
		if best == nil || r.Position.IsAfter(best.Position) || (r.Position == best.Position && t.isSameZone(r) && !t.isSameZone(best)) {
			best = r
		}
	}
	if best == nil {
		return Host{}, false
	}
	return best.Host, true
}

// Idle returns the greatest number of revisions after a position that are known to bring no
// further change to any host whose newest change is at the position.
func (t *Table) Idle(position store.Position) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	idle := uint64(0)
	for _, r := range t.hosts {
		if r.Position == position {
			idle = max(idle, r.Idle)
		}
	}
	return idle
}

// CheckedAt returns the last time at which the store held nothing newer than a
// position, as far as known: the last answer of the store to a host of the same era whose
// newest change is not newer. Zero means that none is known.
func (t *Table) CheckedAt(position store.Position) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	isChecked := func(r *Record) bool { return r.Position.Era == position.Era && !r.Position.IsAfter(position) }
	var checked time.Time
	if isChecked(&t.self) {
		checked = t.self.StoreContact
	}
	for _, r := range t.hosts {
		if isChecked(r) && r.StoreContact.After(checked) {
			checked = r.StoreContact
		}
	}
	return checked
}

func (t *Table) isSameZone(r *Record) bool { return r.Zone == t.self.Zone }

// isAvailable reports whether a host is live and not suspect.
func (t *Table) isAvailable(r *Record, now time.Time) bool {
	return t.isLive(r, now) && !now.Before(r.suspectUntil)
}

// AvailableHosts returns the live hosts of an availability zone that are not
// suspect, without the local one, sorted by name.
func (t *Table) AvailableHosts(zone string, now time.Time) []Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Host
	for _, r := range t.hosts {
		if r.Zone == zone && t.isAvailable(r, now) {
			list = append(list, r.Host)
		}
	}
	slices.SortFunc(list, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// Suspect records that a call to a host failed.
func (t *Table) Suspect(name string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.hosts[name]; ok {
		r.suspect(now)
	}
}

// ClearSuspect records that a host answered a call, so that it is no longer
// suspect.
func (t *Table) ClearSuspect(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.hosts[name]; ok {
		r.suspectUntil, r.failures = time.Time{}, 0
	}
}

// suspect starts the next backoff period of the host.
func (r *Record) suspect(now time.Time) {
	// Concurrent calls that fail together count once.
	if now.Before(r.suspectUntil) {
		return
	}
	r.suspectUntil = now.Add(suspectBackoff << min(r.failures, maxSuspectDoublings))
	r.failures++
}

// Addresses returns the addresses of live hosts that are not suspect, those of the
// own availability zone first.
func (t *Table) Addresses(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var sameZone, otherZones []string
	for _, r := range t.hosts {
		switch {
		case !t.isAvailable(r, now):
		case t.isSameZone(r):
			sameZone = append(sameZone, r.Address)
		default:
			otherZones = append(otherZones, r.Address)
		}
	}
	return append(sameZone, otherZones...)
}

// SuspectAddress records that a call to the host at an address failed.
func (t *Table) SuspectAddress(address string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.hosts {
		if r.Address == address {
			r.suspect(now)
		}
	}
}

// IsWatching reports whether the local host watches the store.
func (t *Table) IsWatching() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self.Watching
}

// Self returns what the local host announces about itself.
func (t *Table) Self() Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self.Host
}
