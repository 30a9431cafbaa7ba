package flow

import (
	"slices"
	"strings"
	"time"
)

// News tells other hosts which servers said that they leave, and which named a rate
// limit. Relay asks the receiver to pass the news on in its zone.
type News struct {
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

// News returns what to tell other hosts now: all live hosts of the own zone, and one of
// each other zone, which passes it on there, since bytes between zones are expensive.
// Its datagrams may be lost; a host that is not told learns it from the server's next
// answer. Without them each host would send one more request to a server to learn of
// its limit, which hundreds of hosts do at a limit of one request a second.
func (t *Table) News() []News {
	t.mu.Lock()
	defer t.mu.Unlock()
	self := t.members[t.self]
	if len(t.leavingNews)+len(t.limitNews) == 0 || self == nil {
		return nil
	}
	own := News{
		Leaving: t.leavingNews[:min(len(t.leavingNews), maxAsks/2)],
		Limited: t.limitNews[:min(len(t.limitNews), maxAsks/2)],
	}
	t.leavingNews = slices.Clone(t.leavingNews[len(own.Leaving):])
	t.limitNews = slices.Clone(t.limitNews[len(own.Limited):])
	if len(t.leavingNews)+len(t.limitNews) > 0 {
		t.wakeUp()
	}
	var others []*member
	for _, m := range t.members {
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
	return []News{own, relayed}
}

// oneOfEachZone returns the address of a random host of each zone.
func (t *Table) oneOfEachZone(members []*member) []string {
	slices.SortFunc(members, func(a, b *member) int { return strings.Compare(a.Name, b.Name) })
	t.random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	var addresses, zones []string
	for _, m := range members {
		if !slices.Contains(zones, m.Zone) {
			zones, addresses = append(zones, m.Zone), append(addresses, m.Address)
		}
	}
	return addresses
}

// Tell applies news from another host. If Relay is set, this host tells the other
// hosts of its zone.
func (t *Table) Tell(from string, news News, now time.Time) ([]News, []Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changes []Change
	for _, l := range news.Limited {
		if s := t.state(l.Server); s != nil {
			changes = append(changes, s.learnFrom(l.Limit, now)...)
		}
	}
	for _, server := range news.Leaving {
		s := t.state(server)
		if s == nil || s.leaving {
			continue
		}
		s.leaving = true
		changes = append(changes, LeavingNamed{Server: server, From: from})
	}
	self := t.members[t.self]
	if !news.Relay || self == nil {
		return nil, changes
	}
	n := News{Leaving: news.Leaving, Limited: news.Limited}
	for _, m := range t.members {
		if m.Live && m.Zone == self.Zone && m.Name != t.self {
			n.Addresses = append(n.Addresses, m.Address)
		}
	}
	return []News{n}, changes
}
