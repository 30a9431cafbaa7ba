package member

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// peerState is the state of one incarnation of another host of the zone, as
// derived from its heartbeats.
type peerState struct {
	host       Host
	lastSeq    uint64
	epoch      uint64
	receivedAt time.Time
	// echoSentAt is when this host sent the newest heartbeat that the peer
	// echoed.
	echoSentAt time.Time
	leaving    bool
	// selfAlive reports whether the peer recently received a heartbeat from
	// this host.
	selfAlive bool
}

// sentRounds is the number of heartbeat rounds whose send times are stored. It
// covers several lease durations.
const sentRounds = 64

// Table holds the hosts of all zones and the roster of its own zone. Lock
// order: config, then member, then once.
type Table struct {
	self   Host
	timing Timing

	mu         sync.RWMutex
	discovered map[string]Host
	peers      map[ID]*peerState
	zones      map[string]receivedReport
	config     ConfigStatus

	roster Roster
	store  storeState
	// adoptedAt is when the current roster was adopted or, if later, when this
	// host resumed after a pause.
	adoptedAt time.Time
	// joinedAt and joinEpoch are the time and the roster epoch of the last
	// change of the role of this host to another role than Active.
	joinedAt  time.Time
	joinEpoch uint64
	role      Role
	// nextClaim is the earliest time of the next claim.
	nextClaim time.Time
	leaving   bool

	seq                uint64
	sentAt             [sentRounds]time.Time
	lastTick           time.Time
	lastZoneRound      time.Time
	lastCrossZoneRound time.Time
	// crossZoneRounds counts the heartbeat rounds to other zones.
	crossZoneRounds uint64
	// lastReportRound is when this host last sent the other zones' reports
	// within its zone.
	lastReportRound time.Time
	// resumedAt is the end of the last pause of this host.
	resumedAt time.Time

	// excluded holds the members that are excluded from ownership by heartbeats
	// alone, without a roster write.
	excluded map[ID]bool
	// unfenced holds the hosts that may still dispatch under an earlier roster.
	unfenced map[ID]bool
	// ownerLists holds the owner lists since unfenced was last empty, newest
	// last. The owner of a group need not wait if no owner of the group in
	// these lists is unfenced.
	ownerLists [][]Host
	leaseEnd   time.Time
	// groups holds the placement groups by zone, and owner the owner of each
	// group. owner has the groups of this zone only while unfenced is empty.
	groups map[string][]string
	owner  map[string]Host
	grant  atomic.Pointer[grant]
}

// receivedReport is the newest report of another zone and when its watchers made
// it.
type receivedReport struct {
	report ZoneReport
	madeAt time.Time
}

// NewTable returns a table that holds only this host.
func NewTable(self Host, timing Timing) *Table {
	t := &Table{
		self:       self,
		timing:     timing,
		discovered: make(map[string]Host),
		peers:      make(map[ID]*peerState),
		zones:      make(map[string]receivedReport),
		excluded:   make(map[ID]bool),
		unfenced:   make(map[ID]bool),
		ownerLists: [][]Host{nil},
		owner:      make(map[string]Host),
	}
	t.grant.Store(&grant{})
	return t
}

// Self returns this host.
func (t *Table) Self() Host { return t.self }

// SetDiscoveredHosts replaces the list of hosts that the platform reports. The
// list determines the recipients of heartbeats, but does not show whether a
// host is alive.
func (t *Table) SetDiscoveredHosts(hosts []Host) {
	next := make(map[string]Host, len(hosts))
	for _, h := range hosts {
		next[h.Name] = h
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !maps.Equal(next, t.discovered) {
		t.discovered = next
		t.computeOwners()
	}
}

// LiveHosts returns the hosts of a zone that may own servers, sorted by name.
func (t *Table) LiveHosts(zone string) []Host {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return slices.Clone(t.liveHosts(zone))
}

func (t *Table) liveHosts(zone string) []Host {
	if zone == t.self.Zone {
		return t.owners()
	}
	var nonOwners []string
	if z := t.zones[zone]; t.lastTick.Sub(z.madeAt) < maxReportAge {
		nonOwners = z.report.NonOwners
	}
	return slices.DeleteFunc(t.discoveredIn(zone), func(h Host) bool { return slices.Contains(nonOwners, h.Name) })
}

// maxReportAge is the age after which the report of a zone is ignored. It
// exceeds reportInterval and the network delays between zones.
const maxReportAge = 6 * time.Second

// discoveredIn returns the hosts of a zone on the platform list, sorted by
// name.
func (t *Table) discoveredIn(zone string) []Host {
	var hosts []Host
	for _, name := range slices.Sorted(maps.Keys(t.discovered)) {
		if h := t.discovered[name]; h.Zone == zone {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// owners returns the hosts of this zone that may own servers: the active
// members that are not excluded.
func (t *Table) owners() []Host { return t.ownerLists[len(t.ownerLists)-1] }

// Host returns a host by name: this host, a peer, a roster member or a host on
// the platform list.
func (t *Table) Host(name string) (Host, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.findHost(name)
}

func (t *Table) findHost(name string) (Host, bool) {
	if name == t.self.Name {
		return t.self, true
	}
	if h, ok := t.newestPeer(name); ok && h.host.HeartbeatAddr != "" {
		return h.host, true
	}
	for _, m := range t.roster.Members {
		if m.Host.Name == name {
			return m.Host, true
		}
	}
	h, ok := t.discovered[name]
	return h, ok
}

// newestPeer returns the state of the latest incarnation of a host.
func (t *Table) newestPeer(name string) (*peerState, bool) {
	var best *peerState
	for id, p := range t.peers {
		if id.Name == name && (best == nil || id.Incarnation > best.host.Incarnation) {
			best = p
		}
	}
	return best, best != nil
}

// Owner returns the host that owns a placement group of a zone, and false if
// the zone has no live hosts.
func (t *Table) Owner(group, zone string) (Host, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if h, ok := t.owner[group]; ok {
		return h, true
	}
	return OwnerOf(group, t.liveHosts(zone))
}

// Watchers returns the two live hosts of a zone with the lowest names. They
// watch the store on behalf of the other hosts of the zone.
func (t *Table) Watchers(zone string) []Host {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.watchers(zone)
}

// watchersPerZone is two, so that the death of one watcher leaves no gap.
const watchersPerZone = 2

func (t *Table) watchers(zone string) []Host {
	live := t.liveHosts(zone)
	return live[:min(len(live), watchersPerZone)]
}

// IsWatcher reports whether this host watches the store. A host without a
// roster watches the store too.
func (t *Table) IsWatcher() bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.isWatcher()
}

func (t *Table) isWatcher() bool {
	watchers := t.watchers(t.self.Zone)
	return len(watchers) == 0 || slices.ContainsFunc(watchers, func(h Host) bool { return h.ID() == t.self.ID() })
}

// SetConfigStatus sets the configuration state that heartbeats carry.
func (t *Table) SetConfigStatus(s ConfigStatus) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.config = s
}

// StoreReport is the last known reachability of the store from a zone, and when
// the watchers of the zone reported it.
type StoreReport struct {
	Zone           string
	ReportedAt     time.Time
	StoreReachable bool
}

// StoreReports returns the newest reports of the other zones, sorted by zone.
func (t *Table) StoreReports() []StoreReport {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var list []StoreReport
	for name, z := range t.zones {
		list = append(list, StoreReport{Zone: name, ReportedAt: z.madeAt, StoreReachable: z.report.StoreReachable})
	}
	slices.SortFunc(list, func(a, b StoreReport) int { return cmp.Compare(a.Zone, b.Zone) })
	return list
}

// ReachablePeers returns the names of the other hosts of this zone that sent a
// heartbeat within Timing.EvictAfter, sorted.
func (t *Table) ReachablePeers(now time.Time) []string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var names []string
	for id, p := range t.peers {
		if id.Name != t.self.Name && now.Sub(p.receivedAt) < t.timing.EvictAfter {
			names = append(names, id.Name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}
