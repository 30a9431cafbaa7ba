package flow

import (
	"slices"
	"strings"
	"time"

	"hyssophub/share"
)

// Announcement tells other hosts which servers said that they leave, and which named a
// rate limit. Relay asks the receiver to pass it on in its zone.
type Announcement struct {
	Addresses []string
	Relay     bool
	Leaving   []Server
	Limited   []ServerLimit
}

// ServerLimit is what is known of the rate limit of a server.
type ServerLimit struct {
	Server Server
	Limit  Limit
}

// Announcements returns what to tell other hosts now: all live hosts of the own zone,
// and one of each other zone, which passes it on there, since bytes between zones are
// expensive. Datagrams may be lost; a host that is not told learns it from the server's
// next answer. Without them each host would send one more request to a server to learn of
// its limit, which hundreds of hosts do at a limit of one request a second.
func (t *Table) Announcements() []Announcement {
	t.mu.Lock()
	defer t.mu.Unlock()
	self := t.members.Peers[t.self]
	if len(t.newlyLeaving)+len(t.newlyLimited) == 0 || self == nil {
		return nil
	}
	own := Announcement{
		Leaving: t.newlyLeaving[:min(len(t.newlyLeaving), maxAsks/2)],
		Limited: t.newlyLimited[:min(len(t.newlyLimited), maxAsks/2)],
	}
	t.newlyLeaving = slices.Clone(t.newlyLeaving[len(own.Leaving):])
	t.newlyLimited = slices.Clone(t.newlyLimited[len(own.Limited):])
	if len(t.newlyLeaving)+len(t.newlyLimited) > 0 {
		t.wakeUp()
	}
	var others []*share.Peer
	for _, m := range t.members.Peers {
		switch {
		case !m.Live || m.Name == t.self:
		case m.Zone == self.Zone:
			own.Addresses = append(own.Addresses, m.Address)
		default:
			others = append(others, m)
		}
	}
	relayed := own
	relayed.Relay, relayed.Addresses = true, t.oneOfEachZone(others)
	return []Announcement{own, relayed}
}

// oneOfEachZone returns the address of a random host of each zone.
func (t *Table) oneOfEachZone(members []*share.Peer) []string {
	slices.SortFunc(members, func(a, b *share.Peer) int { return strings.Compare(a.Name, b.Name) })
	t.random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	var addresses, zones []string
	for _, m := range members {
		if !slices.Contains(zones, m.Zone) {
			zones, addresses = append(zones, m.Zone), append(addresses, m.Address)
		}
	}
	return addresses
}

// Tell applies an announcement of another host. If Relay is set, this host tells the
// other hosts of its zone.
func (t *Table) Tell(from string, announced Announcement, now time.Time) ([]Announcement, []Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changes []Change
	for _, l := range announced.Limited {
		if s := t.state(l.Server); s != nil {
			changes = append(changes, s.learnFrom(l.Limit, now)...)
		}
	}
	for _, server := range announced.Leaving {
		s := t.state(server)
		if s == nil || s.leaving {
			continue
		}
		s.leaving = true
		changes = append(changes, LeavingNamed{Server: server, From: from})
	}
	self := t.members.Peers[t.self]
	if !announced.Relay || self == nil {
		return nil, changes
	}
	n := Announcement{Leaving: announced.Leaving, Limited: announced.Limited}
	for _, m := range t.members.Peers {
		if m.Live && m.Zone == self.Zone && m.Name != t.self {
			n.Addresses = append(n.Addresses, m.Address)
		}
	}
	return []Announcement{n}, changes
}
