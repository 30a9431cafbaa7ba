package gossip

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Times after which hosts that are not heard count as gone.
const (
	// nearTime applies to hosts of the own availability zone, which send
	// directly, and covers the loss of two heartbeats.
	nearTime = 1300 * time.Millisecond
	// farTime applies to hosts of other availability zones, which are heard
	// through others.
	farTime = 4 * time.Second
	// memoryTime is how long a host counts among those that share the limits of
	// the fleet after it was last heard, because it may still be serving.
	memoryTime = 10 * time.Second
	// contactTime is the age up to which a host's contact with the store shows
	// that it follows the store: the longest wait of a watch and a heartbeat.
	contactTime = 4 * time.Second
	// suspectTime is how long a host is not asked after a call to it failed; it
	// doubles with each further one, suspectDoublings times at most.
	suspectTime      = time.Second
	suspectDoublings = 2
)

const (
	// watchersPerZone is the number of hosts of an availability zone that
	// follow the store for the others.
	watchersPerZone = 1
	// enoughWatchers is the number of other hosts that must follow the store
	// before a host relies on them: one may fail unnoticed.
	enoughWatchers = 2
	// nearSample and farSample are the numbers of hosts on the other side that a
	// heartbeat within the zone and out of it names, and restSample that of hosts
	// on its own side. At about 60 bytes each a heartbeat stays within one
	// datagram; two thirds of a zone of 17 hosts at each heartbeat keep the
	// others' view of it fresh.
	nearSample = 6
	farSample  = 12
	restSample = 2
)

// Table holds the hosts heard. Its lock comes after that of relay and before
// that of fleet; no other lock is taken under it.
type Table struct {
	mu    sync.Mutex
	self  Record
	hosts map[string]*Record
	// ways holds by availability zone what exchanges show of the way to it.
	ways map[string]*reach
}

// NewTable returns a table that knows only its own host.
func NewTable(self Host, now time.Time) *Table {
	return &Table{self: Record{Host: self, LastSeen: now}, hosts: make(map[string]*Record), ways: make(map[string]*reach)}
}

// UpdateSelf records what the own host says of itself.
func (t *Table) UpdateSelf(change func(*Record)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(&t.self)
}

// Receive takes in a heartbeat.
func (t *Table) Receive(p Heartbeat, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	self := p.Sender
	self.LastSeen, self.direct = now, now
	t.merge(self)
	for _, e := range p.Others {
		t.merge(e)
	}
}

func (t *Table) merge(e Record) {
	if e.Name == t.self.Name {
		return
	}
	known, ok := t.hosts[e.Name]
	switch {
	case !ok:
		t.hosts[e.Name] = &e
		return
	case e.Incarnation < known.Incarnation && (e.direct.IsZero() || e.LastSeen.Sub(known.LastSeen) < nearTime):
		// A host that starts after its clock was set back has a lower incarnation
		// than before. It is believed once the former start is silent.
		return
	case e.Incarnation == known.Incarnation && !e.LastSeen.After(known.LastSeen):
		return
	}
	if e.Incarnation == known.Incarnation {
		e.suspectUntil, e.failures = known.suspectUntil, known.failures
	}
	if e.direct.IsZero() && e.Incarnation == known.Incarnation {
		e.direct = known.direct
	}
	// A host that is heard through others may be named with an older contact.
	if known.StoreContact.After(e.StoreContact) && e.Incarnation == known.Incarnation {
		e.StoreContact = known.StoreContact
	}
	*known = e
}

// isLive reports whether a host is taken to be serving.
func (t *Table) isLive(e *Record, now time.Time) bool {
	limit := farTime
	if e.Zone == t.self.Zone {
		limit = nearTime
	}
	return !e.Leaving && now.Sub(e.LastSeen) < limit
}

// Expire forgets hosts that were not heard for long and returns the number of
// hosts, the own one included, that may be serving.
func (t *Table) Expire(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, e := range t.hosts {
		if now.Sub(e.LastSeen) > memoryTime {
			delete(t.hosts, name)
		}
	}
	return len(t.hosts) + 1
}

// Counts returns the number of live hosts, the own one included, and how many
// of them are in the own availability zone.
func (t *Table) Counts(now time.Time) (all, near int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	all, near = 1, 1
	for _, e := range t.hosts {
		if !t.isLive(e, now) {
			continue
		}
		all++
		if e.Zone == t.self.Zone {
			near++
		}
	}
	return all, near
}

// ShouldWatch decides whether the own host follows the store itself: it is
// among the first of its availability zone, or too few others do.
func (t *Table) ShouldWatch(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	before, watchers := 0, 0
	for _, e := range t.hosts {
		if !t.isLive(e, now) {
			continue
		}
		isWatcher := e.Watching && now.Sub(e.StoreContact) < contactTime
		if isWatcher {
			watchers++
		}
		if e.Zone == t.self.Zone && e.Name < t.self.Name && isWatcher {
			before++
		}
	}
	return before < watchersPerZone || watchers < enoughWatchers
}

// NewestHost returns a live host that has applied the newest change, if that is
// newer than the own host's. Hosts of the own availability zone come first.
func (t *Table) NewestHost(now time.Time) (Host, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var best *Record
	for _, e := range t.hosts {
		if !t.isAskable(e, now) || e.Revision <= t.self.Revision {
			continue
		}
		if best == nil || e.Revision > best.Revision || (e.Revision == best.Revision && t.near(e) && !t.near(best)) {
			best = e
		}
	}
	if best == nil {
		return Host{}, false
	}
	return best.Host, true
}

// Progress returns the highest revision up to which a host with the same newest
// change as the own one knows that there is no other.
func (t *Table) Progress(revision uint64) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	position := revision
	for _, e := range t.hosts {
		if e.Revision == revision && e.Progress > position {
			position = e.Progress
		}
	}
	return position
}

func (t *Table) near(e *Record) bool { return e.Zone == t.self.Zone }

func (t *Table) isAskable(e *Record, now time.Time) bool {
	return t.isLive(e, now) && !now.Before(e.suspectUntil)
}

// AvailableHosts returns the live hosts of an availability zone that can be asked,
// without the own one, by name.
func (t *Table) AvailableHosts(zone string, now time.Time) []Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Host
	for _, e := range t.hosts {
		if e.Zone == zone && t.isAskable(e, now) {
			list = append(list, e.Host)
		}
	}
	slices.SortFunc(list, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// Suspect records that a call to a host failed.
func (t *Table) Suspect(name string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.hosts[name]; ok {
		e.suspect(now)
	}
}

// ClearSuspect records that a host answered a call.
func (t *Table) ClearSuspect(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.hosts[name]; ok {
		e.suspectUntil, e.failures = time.Time{}, 0
	}
}

func (e *Record) suspect(now time.Time) {
	// Calls that were under way together count once.
	if now.Before(e.suspectUntil) {
		return
	}
	e.suspectUntil = now.Add(suspectTime << min(e.failures, suspectDoublings))
	e.failures++
}

// Datagram is a heartbeat with the UDP addresses that it goes to.
type Datagram struct {
	Heartbeat Heartbeat
	To        []string
}

// NextHeartbeats returns the heartbeats to send: one to all hosts of the own availability
// zone, which names mostly hosts of others, and one to a few hosts elsewhere,
// which names mostly hosts of the own zone. The rest of each lets hosts that know
// only a seed find their neighbours.
func (t *Table) NextHeartbeats(now time.Time, far int) (near, away Datagram) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var own, others []*Record
	for _, e := range t.hosts {
		if t.near(e) {
			own = append(own, e)
		} else {
			others = append(others, e)
		}
	}
	shuffle(own)
	shuffle(others)
	near = Datagram{Heartbeat: t.pulse(now, sample{others, nearSample}, sample{own, restSample})}
	for _, e := range own {
		near.To = append(near.To, e.HeartbeatAddress)
	}
	away = Datagram{Heartbeat: t.pulse(now, sample{own, farSample}, sample{others, restSample})}
	for _, e := range others[:min(far, len(others))] {
		away.To = append(away.To, e.HeartbeatAddress)
	}
	return near, away
}

// sample is a list of hosts of which size are named.
type sample struct {
	hosts []*Record
	size  int
}

// pulse returns a heartbeat that names some of the live hosts of lists.
func (t *Table) pulse(now time.Time, samples ...sample) Heartbeat {
	p := Heartbeat{Sender: t.self}
	p.Sender.LastSeen = now
	for _, s := range samples {
		left := s.size
		for _, e := range s.hosts {
			if left > 0 && t.isLive(e, now) {
				p.Others = append(p.Others, *e)
				left--
			}
		}
	}
	return p
}

func shuffle(list []*Record) {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

// Addresses returns the addresses of live hosts, those of the own availability
// zone first.
func (t *Table) Addresses(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var near, far []string
	for _, e := range t.hosts {
		switch {
		case !t.isAskable(e, now):
		case t.near(e):
			near = append(near, e.Address)
		default:
			far = append(far, e.Address)
		}
	}
	return append(near, far...)
}

// SuspectAddress records that a call to the host at an address failed.
func (t *Table) SuspectAddress(address string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.hosts {
		if e.Address == address {
			e.suspect(now)
		}
	}
}

// IsWatching reports whether the own host follows the store.
func (t *Table) IsWatching() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self.Watching
}

// Self returns what the own host says of itself.
func (t *Table) Self() Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self.Host
}
