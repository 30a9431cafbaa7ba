// Package share holds the rules by which hosts divide a rate among them without an
// agreement: which host owns the rate, which part of it the owner may grant while hosts
// are lost, and the account of what was granted. Packages flow (rates of backend servers)
// and quota (rates of client accounts) build on it. It has no lock of its own; its values
// are guarded by that of the table that holds them.
package share

import (
	"cmp"
	"slices"
	"time"
)

const (
	// TakeoverDelay is how long a host waits after the loss of the former owner of a
	// rate before it grants permits itself. It exceeds the time in which the hosts
	// of a zone notice a lost or new host, 1.3 s, and the validity of permits.
	TakeoverDelay = 2 * time.Second
	// JoinDelay is how long a host that starts owns no rates, since it does not know
	// all other hosts yet. The others then learn that it owns rates
	// from now on.
	JoinDelay = 5 * time.Second
	// EarlyJoinDelay takes the place of JoinDelay if most hosts have not joined: they were
	// started together, and no owner is left to wait for.
	EarlyJoinDelay = 2 * time.Second
	// AnnounceDelay is how long a host that has joined grants no permits.
	AnnounceDelay = time.Second
)

// Member is an entry host as this host knows it.
type Member struct {
	Name string
	Zone string
	// Incarnation tells two runs of a host apart.
	Incarnation uint64
	// Address is the UDP address for datagrams about permits.
	Address string
	// Live is set if the host is considered to be serving; Leaving if it said that
	// it stops. A host that is not live may still be serving unnoticed.
	Live    bool
	Leaving bool
	// Joined is set if the host said that it may own rates, see HasJoined.
	Joined bool
	// Searching is set for the local host until it has found out whether there are others.
	Searching bool
}

// Peer is a Member with what follows from its history.
type Peer struct {
	Member
	// LostAt is when the host was last live before it was lost or restarted.
	LostAt time.Time
}

// Members are the hosts that a host knows, itself included.
type Members struct {
	Self    string
	Started time.Time
	// Retain is how long a lost host is remembered after it is no longer listed. Zero
	// forgets it at once.
	Retain time.Duration
	// Takeover is how long this host waits after the loss of a former owner before it owns
	// the rate itself: TakeoverDelay, or less where a short overlap does no harm.
	Takeover time.Duration
	Peers    map[string]*Peer
	// Epoch counts the changes.
	Epoch uint64
	// MayJoinEarly allows EarlyJoinDelay; early is set once it applies.
	MayJoinEarly bool
	early        bool
	// foundAt is when this host had last found out which others there are.
	foundAt time.Time
}

// NewMembers returns an empty set of members. self is the name of this host, which
// started at the given time.
func NewMembers(self string, started time.Time) *Members {
	return &Members{Self: self, Started: started, Takeover: TakeoverDelay, Peers: make(map[string]*Peer)}
}

// HasJoined reports whether this host may own rates. The other hosts are to be told.
func (m *Members) HasJoined(now time.Time) bool {
	self := m.Peers[m.Self]
	return (self == nil || !self.Searching) && now.Sub(m.joinedAt()) >= 0
}

func (m *Members) joinedAt() time.Time {
	delay := JoinDelay
	if m.early {
		delay = EarlyJoinDelay
	}
	joined := m.Started.Add(delay)
	// A host that finds the others late has to learn from them which rates are owned.
	if learned := m.foundAt.Add(AnnounceDelay); learned.After(joined) {
		return learned
	}
	return joined
}

// Set sets the hosts that are known now, the local one included.
func (m *Members) Set(list []Member, now time.Time) {
	listed := make(map[string]bool, len(list))
	for _, member := range list {
		listed[member.Name] = true
		p := m.Peers[member.Name]
		if p == nil {
			p = &Peer{Member: member}
			m.Peers[member.Name] = p
			m.Epoch++
		}
		if member.Name == m.Self && p.Searching && !member.Searching {
			m.foundAt = now
		}
		if p.Live && (!member.Live || p.Incarnation != member.Incarnation) {
			p.LostAt = now
		}
		if p.Member != member {
			p.Member = member
			m.Epoch++
		}
	}
	m.joinEarly(now)
	for name, p := range m.Peers {
		if listed[name] {
			continue
		}
		if p.Live {
			p.Live, p.LostAt = false, now
			m.Epoch++
		}
		if p.Leaving || now.Sub(p.LostAt) >= m.Retain {
			m.Epoch++
			delete(m.Peers, name)
		}
	}
}

// joinEarly decides whether this host joins after EarlyJoinDelay. A host that knows no other
// one may be cut off, and waits.
func (m *Members) joinEarly(now time.Time) {
	if age := now.Sub(m.Started); !m.MayJoinEarly || m.early || age < EarlyJoinDelay || age >= JoinDelay {
		return
	}
	live, joined := 0, 0
	for name, p := range m.Peers {
		if p.Live && name != m.Self {
			live++
			if p.Joined {
				joined++
			}
		}
	}
	if live > 0 && 2*joined < live {
		m.early = true
		m.Epoch++
	}
}

// Key names a rate that one host owns. Hosts of Zone come before the others, if it is
// not empty.
type Key struct {
	ID   string
	Zone string
}

// rank is the order in which hosts own a rate: first the hosts of its zone, if it has one,
// then those of the other zones, zone by zone, since the hosts of one zone notice changes
// among them first; within a zone by rendezvous hashing.
type rank struct {
	sameZone bool
	zone     uint64
	host     uint64
}

// ranker ranks hosts for a key. It keeps the state of the hash after the key, since a rate is
// ranked over hundreds of hosts.
type ranker struct {
	key   Key
	state uint64
}

func newRanker(key Key) ranker { return ranker{key: key, state: fold(fnvOffset, key.ID)} }

func (r ranker) rank(p *Peer) rank {
	return rank{sameZone: p.Zone == r.key.Zone, zone: mix(fold(r.state, p.Zone)), host: mix(fold(r.state, p.Name))}
}

func (r rank) compare(other rank) int {
	if r.sameZone != other.sameZone {
		if r.sameZone {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(r.zone, other.zone), cmp.Compare(r.host, other.host))
}

// Hash returns a hash of names.
func Hash(parts ...string) uint64 {
	h := uint64(fnvOffset)
	for _, p := range parts {
		h = fold(h, p)
	}
	return mix(h)
}

// Parameters of the 64-bit FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// fold continues an FNV-1a hash with a name and its end.
func fold(h uint64, name string) uint64 {
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * fnvPrime
	}
	return h * fnvPrime
}

// mix spreads the bits of a hash (the finalizer of MurmurHash3): names that differ in
// their last character only have similar FNV hashes.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// Candidates returns the live hosts in the order in which they own a rate; hosts that
// have not joined come last.
func (m *Members) Candidates(key Key) []*Peer {
	type ranked struct {
		*Peer
		rank
	}
	var live []ranked
	ranks := newRanker(key)
	for _, p := range m.Peers {
		if p.Live {
			live = append(live, ranked{p, ranks.rank(p)})
		}
	}
	slices.SortFunc(live, func(a, b ranked) int {
		if a.Joined != b.Joined {
			if a.Joined {
				return -1
			}
			return 1
		}
		return b.compare(a.rank)
	})
	list := make([]*Peer, len(live))
	for i := range live {
		list[i] = live[i].Peer
	}
	return list
}

// Owners returns the first of the candidates of each zone, in the order of the zones.
func (m *Members) Owners(key Key) []*Peer {
	type ranked struct {
		*Peer
		rank
	}
	var owners []ranked
	ranks := newRanker(key)
	for _, p := range m.Peers {
		if !p.Live {
			continue
		}
		r := ranked{p, ranks.rank(p)}
		i := slices.IndexFunc(owners, func(o ranked) bool { return o.Zone == p.Zone })
		switch {
		case i < 0:
			owners = append(owners, r)
		case p.Joined != owners[i].Joined && p.Joined, p.Joined == owners[i].Joined && r.compare(owners[i].rank) > 0:
			owners[i] = r
		}
	}
	slices.SortFunc(owners, func(a, b ranked) int { return b.compare(a.rank) })
	list := make([]*Peer, len(owners))
	for i := range owners {
		list[i] = owners[i].Peer
	}
	return list
}

// OwnedFrom returns the time from which this host owns a rate and may grant permits for
// it, which may be to come. It is false while another host owns the rate. The result holds
// while Epoch is the same. A host that has not found out whether there are others owns none,
// since one of them may own it.
func (m *Members) OwnedFrom(key Key) (time.Time, bool) {
	self := m.Peers[m.Self]
	if self == nil || !self.Live || self.Searching {
		return time.Time{}, false
	}
	from := m.joinedAt().Add(AnnounceDelay)
	ranks := newRanker(key)
	own := ranks.rank(self)
	for _, p := range m.Peers {
		free := p.LostAt.Add(m.Takeover)
		isOwner := p.Live && p.Joined
		switch {
		case !isOwner && !free.After(from), ranks.rank(p).compare(own) <= 0:
		case isOwner:
			return time.Time{}, false
		default:
			from = free
		}
	}
	return from, true
}

// Count returns the number of live hosts, and of those that were lost and may be serving
// where this host does not see them; of one zone, or of all if zone is empty.
func (m *Members) Count(zone string) (live, lost int) {
	for _, p := range m.Peers {
		switch {
		case zone != "" && p.Zone != zone:
		case p.Live:
			live++
		case !p.Leaving:
			lost++
		}
	}
	return live, lost
}
