package canary

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"hyssophub/fleet"
)

// Table holds the roll-outs of all services. In the lock order, its lock comes after that
// of package gossip and before that of package fleet.
type Table struct {
	host  string
	zone  string
	fleet *fleet.Table
	// incarnation tells two runs of this host apart.
	incarnation uint64
	// versions holds for each service with an order or a status which versions its
	// requests may go to. The map is replaced, never changed.
	versions atomic.Pointer[map[string]fleet.Versions]
	// active is the number of roll-outs that may send requests to a target version and
	// count outcomes. While it is zero, a request costs one atomic load.
	active atomic.Int64

	mu       sync.Mutex
	services map[string]*service
	members  []Member
	// epoch counts the changes of members.
	epoch uint64
	// hosts is the number of live hosts. hasJoined is set once this host has joined.
	hosts     int
	hasJoined bool
}

// service is what is known of the versions of a service.
type service struct {
	// rollout is that of the order in the store; nil if there is none.
	rollout *rollout
	// status is the newest one in the store. Its Revision is zero if there is none.
	status Status
	// denied holds versions that were rolled back.
	denied []string
	// isRestored is set from the return of the store from an older copy until its order is
	// known: an order that repeats the former one is that one.
	isRestored bool
}

// rollout is a roll-out in progress, or one whose verdict is in the store.
type rollout struct {
	order Order
	// since is when the order was written, as far as any host knows.
	since time.Time
	phase float64
	stage Stage
	// changedAt is when the stage became known.
	changedAt time.Time
	reason    string
	// isHalted is set once this host by itself has clear evidence against the target.
	isHalted bool
	// hosts is the greatest number of live hosts since the order.
	hosts int
	// sent and sentTarget count the sends of this host.
	sent, sentTarget int
	// open is the number of exchanges of this host with old servers in progress.
	open int
	// rows are the counts of this host.
	rows map[Key]*row
	// peers holds the counts of other hosts, sums their sums by what they count.
	peers map[source]*peer
	sums  map[Key]Tally
	// senders is the number of hosts that send to the service, as a deciding host said.
	senders int
	duty    duty
}

// row is a Tally of this host and what was last reported of it.
type row struct {
	Tally
	reported Tally
}

// source is a run of another host.
type source struct {
	host        string
	incarnation uint64
}

// peer is what another host reported.
type peer struct {
	rows  map[Key]Tally
	stage Stage
	open  int
	sent  uint32
}

// NewTable returns a table without roll-outs.
func NewTable(host, zone string, incarnation uint64, instances *fleet.Table) *Table {
	t := &Table{host: host, zone: zone, incarnation: incarnation, fleet: instances, services: make(map[string]*service), hosts: 1}
	t.versions.Store(&map[string]fleet.Versions{})
	return t
}

// Versions returns for each service with an order or a status which versions requests
// that are no trials may go to. The map must not be changed.
func (t *Table) Versions() map[string]fleet.Versions { return *t.versions.Load() }

// SetMembers sets the hosts that are known now, the local one included.
func (t *Table) SetMembers(members []Member) {
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	t.mu.Lock()
	defer t.mu.Unlock()
	if slices.Equal(members, t.members) {
		return
	}
	t.members = members
	t.epoch++
	t.hosts = 0
	for _, m := range members {
		t.hasJoined = t.hasJoined || (m.Name == t.host && m.Joined)
		if m.Live {
			t.hosts++
		}
	}
}

func (t *Table) service(name string) *service {
	s := t.services[name]
	if s == nil {
		s = &service{}
		t.services[name] = s
	}
	return s
}

// SetOrder applies an order from the store. An order that repeats the known one with a
// revision below that of its status comes from an older copy of the store: the roll-out
// goes on, and its status is written again.
func (t *Table) SetOrder(o Order, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.publish()
	s := t.service(o.Service)
	if r := s.rollout; r != nil {
		if r.order == o {
			return
		}
		isSame := r.order.Target == o.Target && r.order.Duration == o.Duration
		if isSame && (s.isRestored || s.status.Revision > o.Revision) {
			r.order = o
			s.isRestored, s.status.Revision, r.duty = false, 0, duty{self: -1}
			return
		}
	}
	s.isRestored = false
	if r := s.rollout; r != nil && rankOf(r.stage) < rankOf(Complete{}) {
		// The order that is replaced ends without a verdict for its target.
		s.deny(r.order.Target)
	}
	s.denied = slices.DeleteFunc(slices.Clone(s.denied), func(v string) bool { return v == o.Target })
	s.rollout = &rollout{
		order:     o,
		since:     now,
		phase:     phaseOf(t.host, o),
		stage:     Observing{},
		changedAt: now,
		rows:      make(map[Key]*row),
		peers:     make(map[source]*peer),
		sums:      make(map[Key]Tally),
		duty:      duty{self: -1},
	}
	s.follow(now)
}

// EnterEra is to be called when the store has come back from an older copy, before what it
// holds is applied: its revisions start again. Stages and verdicts stay, and statuses that
// the store has lost are written again.
func (t *Table) EnterEra() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.services {
		s.isRestored, s.status.Revision = true, 0
		if s.rollout != nil {
			s.rollout.duty = duty{self: -1}
		}
	}
	t.publish()
}

// Withdraw applies the deletion of an order.
func (t *Table) Withdraw(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
	if s == nil || s.rollout == nil {
		return
	}
	if _, isComplete := s.rollout.stage.(Complete); !isComplete {
		s.deny(s.rollout.order.Target)
	}
	s.rollout = nil
	t.publish()
}

// SetStatus applies a status from the store.
func (t *Table) SetStatus(status Status, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setStatus(status, now)
}

func (t *Table) setStatus(status Status, now time.Time) {
	s := t.service(status.Service)
	if status.Revision <= s.status.Revision {
		return
	}
	s.status = status
	if _, isRolledBack := status.Stage.(RolledBack); isRolledBack {
		s.deny(status.Target)
	}
	s.follow(now)
	t.publish()
}

// DropStatus applies the deletion of a status, which the system itself never deletes.
func (t *Table) DropStatus(name string, revision uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.services[name]; s != nil && s.status.Revision < revision {
		s.status.Revision = 0
		if s.rollout != nil {
			s.rollout.duty = duty{self: -1}
		}
	}
}

func (s *service) deny(version string) {
	if !slices.Contains(s.denied, version) {
		s.denied = append(slices.Clone(s.denied), version)
	}
}

// isOfOrder reports whether the status in the store is that of the order.
func (s *service) isOfOrder() bool {
	return s.rollout != nil && s.status.Target == s.rollout.order.Target && s.status.Revision > s.rollout.order.Revision
}

// isDecided reports whether the verdict on the order is in the store.
func (s *service) isDecided() bool { return s.isOfOrder() && rankOf(s.status.Stage) > 0 }

// follow adopts the verdict in the store, whatever this host held right.
func (s *service) follow(now time.Time) {
	if !s.isDecided() {
		return
	}
	r := s.rollout
	if rankOf(r.stage) != rankOf(s.status.Stage) {
		r.stage, r.changedAt = s.status.Stage, now
	}
	if _, isComplete := s.status.Stage.(Complete); isComplete {
		s.denied = slices.DeleteFunc(slices.Clone(s.denied), func(v string) bool { return v == r.order.Target })
	}
}

// enter changes the stage of a roll-out to a later one.
func (r *rollout) enter(stage Stage, reason string, now time.Time) bool {
	if rankOf(stage) <= rankOf(r.stage) {
		return false
	}
	r.stage, r.reason, r.changedAt = stage, reason, now
	return true
}

// publish replaces the snapshot of the versions. The caller holds mu.
func (t *Table) publish() {
	versions := make(map[string]fleet.Versions, len(t.services))
	active := int64(0)
	for name, s := range t.services {
		if v := s.versions(); v != nil {
			versions[name] = v
		}
		if s.rollout != nil && !s.isDecided() {
			active++
		}
	}
	if !maps.EqualFunc(versions, t.Versions(), equalVersions) {
		t.versions.Store(&versions)
	}
	t.active.Store(active)
}

func equalVersions(a, b fleet.Versions) bool {
	switch a := a.(type) {
	case fleet.OnlyVersion:
		other, ok := b.(fleet.OnlyVersion)
		return ok && a == other
	case fleet.OtherVersions:
		other, ok := b.(fleet.OtherVersions)
		return ok && slices.Equal(a.Denied, other.Denied)
	}
	return a == b
}

// versions returns which versions the requests of a service may go to, trials apart; nil
// if nothing is known of its versions.
func (s *service) versions() fleet.Versions {
	if r := s.rollout; r != nil {
		switch r.stage.(type) {
		case Complete:
			return fleet.OnlyVersion{Version: r.order.Target}
		case Moving:
			if !r.isHalted {
				return fleet.OnlyVersion{Version: r.order.Target}
			}
		}
		denied := append(slices.Clone(s.denied), r.order.Target)
		if s.status.Stage != nil && rankOf(s.status.Stage) < rankOf(Complete{}) && s.status.Target != r.order.Target {
			// The target of a former order that got no verdict.
			denied = append(denied, s.status.Target)
		}
		return fleet.OtherVersions{Denied: denied}
	}
	if _, isComplete := s.status.Stage.(Complete); isComplete && !slices.Contains(s.denied, s.status.Target) {
		return fleet.OnlyVersion{Version: s.status.Target}
	}
	if s.status.Stage != nil {
		return fleet.OtherVersions{Denied: append(slices.Clone(s.denied), s.status.Target)}
	}
	if len(s.denied) > 0 {
		return fleet.OtherVersions{Denied: s.denied}
	}
	return nil
}
