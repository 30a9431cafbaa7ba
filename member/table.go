package member

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// record is what a host knows of one start of another host of its zone.
type record struct {
	host  Host
	seq   uint64
	epoch uint64
	heard time.Time
	// echoed is when the newest echoed heartbeat was sent.
	echoed  time.Time
	leaving bool
	// known says that the host hears this host.
	known bool
}

// sentRing is the number of heartbeat rounds whose send times are kept; it
// covers several terms.
const sentRing = 64

// Table holds the hosts of all zones and the roster of its own. Its lock comes
// after that of config and before that of once.
type Table struct {
	self   Host
	timing Timing

	mu     sync.RWMutex
	hints  map[string]Host
	peers  map[ID]*record
	zones  map[string]zoneReport
	status ConfigStatus

	roster Roster
	store  storeState
	// adopted is when the roster was adopted.
	adopted time.Time
	// joined is when and entered with which epoch the roster first held this
	// host in its present or a higher role.
	joined  time.Time
	entered uint64
	role    Role
	// claim is when the next claim is due at the earliest.
	claim   time.Time
	leaving bool

	seq      uint64
	sent     [sentRing]time.Time
	lastTick time.Time
	lastSend time.Time
	lastWide time.Time
	// rounds counts the heartbeats to other zones.
	rounds uint64
	// lastReport is when the zone last got the other zones' reports.
	lastReport time.Time
	// resumed is the end of the host's last pause.
	resumed time.Time

	// down are silent members that only heartbeats have put out.
	down map[ID]bool
	// wait are the hosts that may still act on an earlier roster.
	wait map[ID]bool
	// eras are the owner lists since wait was last empty, newest last. A
	// group needs no waiting if none of its owners in them is in wait.
	eras  [][]Host
	until time.Time
	// groups are the placement groups by zone and owner their owners; for the
	// own zone only while wait is empty.
	groups map[string][]string
	owner  map[string]Host
	grant  atomic.Pointer[grant]
}

type zoneReport struct {
	report ZoneReport
	at     time.Time
}

// NewTable returns a table that holds only the host itself.
func NewTable(self Host, timing Timing) *Table {
	t := &Table{
		self:   self,
		timing: timing,
		hints:  make(map[string]Host),
		peers:  make(map[ID]*record),
		zones:  make(map[string]zoneReport),
		down:   make(map[ID]bool),
		wait:   make(map[ID]bool),
		eras:   [][]Host{nil},
		owner:  make(map[string]Host),
	}
	t.grant.Store(&grant{})
	return t
}

// Self returns the host itself.
func (t *Table) Self() Host { return t.self }

// SetDiscoveredHosts replaces the platform's list of hosts. The list says whom to send
// heartbeats to and is no proof of life or death.
func (t *Table) SetDiscoveredHosts(hosts []Host) {
	next := make(map[string]Host, len(hosts))
	for _, h := range hosts {
		next[h.Name] = h
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !maps.Equal(next, t.hints) {
		t.hints = next
		t.index()
	}
}

// LiveHosts returns the hosts of a zone that may own servers, sorted by name.
func (t *Table) LiveHosts(zone string) []Host {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return slices.Clone(t.live(zone))
}

func (t *Table) live(zone string) []Host {
	if zone == t.self.Zone {
		return t.owners()
	}
	var absent []string
	if z := t.zones[zone]; t.lastTick.Sub(z.at) < staleReport {
		absent = z.report.NonOwners
	}
	return slices.DeleteFunc(t.listed(zone), func(h Host) bool { return slices.Contains(absent, h.Name) })
}

// staleReport is the age after which a zone's report counts no more. It
// exceeds reportPause and the delays between zones.
const staleReport = 6 * time.Second

// listed returns the hosts of a zone on the platform's list, sorted by name.
func (t *Table) listed(zone string) []Host {
	var hosts []Host
	for _, name := range slices.Sorted(maps.Keys(t.hints)) {
		if h := t.hints[name]; h.Zone == zone {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// owners returns the newest list of owners in the own zone.
func (t *Table) owners() []Host { return t.eras[len(t.eras)-1] }

// Host returns a known host by name.
func (t *Table) Host(name string) (Host, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.find(name)
}

func (t *Table) find(name string) (Host, bool) {
	if name == t.self.Name {
		return t.self, true
	}
	if h, ok := t.newest(name); ok && h.host.HeartbeatAddr != "" {
		return h.host, true
	}
	for _, m := range t.roster.Members {
		if m.Host.Name == name {
			return m.Host, true
		}
	}
	h, ok := t.hints[name]
	return h, ok
}

// newest returns the record of a host's latest start.
func (t *Table) newest(name string) (*record, bool) {
	var best *record
	for id, r := range t.peers {
		if id.Name == name && (best == nil || id.Incarnation > best.host.Incarnation) {
			best = r
		}
	}
	return best, best != nil
}

// Owner returns the host that owns a placement group of a zone.
func (t *Table) Owner(group, zone string) (Host, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if h, ok := t.owner[group]; ok {
		return h, true
	}
	return OwnerOf(group, t.live(zone))
}

// Watchers returns the two live hosts of a zone with the lowest names. They
// watch the store for the others. A host that has no roster yet watches too.
func (t *Table) Watchers(zone string) []Host {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.watchers(zone)
}

// watchersPerZone is two, so that the death of one leaves no gap.
const watchersPerZone = 2

func (t *Table) watchers(zone string) []Host {
	live := t.live(zone)
	return live[:min(len(live), watchersPerZone)]
}

// IsWatcher reports whether this host watches the store.
func (t *Table) IsWatcher() bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.watches()
}

func (t *Table) watches() bool {
	watchers := t.watchers(t.self.Zone)
	return len(watchers) == 0 || slices.ContainsFunc(watchers, func(h Host) bool { return h.ID() == t.self.ID() })
}

// SetConfigStatus sets what the heartbeats say of the configuration.
func (t *Table) SetConfigStatus(s ConfigStatus) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.status = s
}

// StoreReport is a report of a zone and when it was made.
type StoreReport struct {
	Zone           string
	ReportedAt     time.Time
	StoreReachable bool
}

// StoreReports returns the newest reports of the other zones, sorted by name.
func (t *Table) StoreReports() []StoreReport {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var list []StoreReport
	for name, z := range t.zones {
		list = append(list, StoreReport{Zone: name, ReportedAt: z.at, StoreReachable: z.report.StoreReachable})
	}
	slices.SortFunc(list, func(a, b StoreReport) int { return cmp.Compare(a.Zone, b.Zone) })
	return list
}

// ReachablePeers returns the names of the own zone's other hosts that were heard of
// within the eviction time, sorted.
func (t *Table) ReachablePeers(now time.Time) []string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var names []string
	for id, r := range t.peers {
		if id.Name != t.self.Name && now.Sub(r.heard) < t.timing.EvictAfter {
			names = append(names, id.Name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}
