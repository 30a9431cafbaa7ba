package quota

import (
	"math/rand/v2"
	"sync"
	"time"

	"hyssophub/share"
)

// Table holds the permits that this host grants for the caps of client accounts, and its
// own claims. In the lock order, its lock comes after that of package flow and before that
// of package dial; no other lock is acquired while it is held.
type Table struct {
	bounds Bounds

	mu      sync.Mutex
	random  *rand.Rand
	members *share.Members
	// zones is the number of availability zones of the known hosts.
	zones int
	// seen are the parts of the hosts of its zone that this host saw lately, oldest first.
	seen []seenPart
	// told is the greatest number of hosts of the zone that another one knew lately, and
	// toldAt is when it said so.
	told   int
	toldAt time.Time
	// rankings holds the owners of the shares, by account; those of former members are
	// removed.
	rankings map[string]*ranking
	// ledgers holds the caps for which this host was asked, by account.
	ledgers map[string]*ledger
	// stocks holds what this host holds and wants of permits, by account.
	stocks map[string]*stock
	// claimed counts the claims that were sent; claims holds those without an answer.
	claimed uint64
	claims  map[uint64]*openClaim
	// silent holds until when a host that left a claim without an answer is asked last.
	silent map[string]time.Time
	counts Counts
}

// Counts counts the decisions of this host.
type Counts struct {
	// Granted counts the permits that this host granted, itself included, and GivenBack
	// those that came back unused.
	Granted   uint64
	GivenBack uint64
	// Owned is the number of caps that this host owns and was asked for.
	Owned int
}

// NewTable returns a table without claims. self is the name of this host, which starts
// now.
func NewTable(self string, bounds Bounds, now time.Time) *Table {
	t := &Table{
		bounds:   bounds,
		random:   rand.New(rand.NewPCG(share.Hash(self), uint64(now.UnixNano()))),
		members:  share.NewMembers(self, now),
		rankings: make(map[string]*ranking),
		ledgers:  make(map[string]*ledger),
		stocks:   make(map[string]*stock),
		claims:   make(map[uint64]*openClaim),
		silent:   make(map[string]time.Time),
	}
	t.members.Retain, t.members.Takeover, t.members.MayJoinEarly = retainLost, takeoverDelay, true
	// Claims of two runs of a host have different numbers.
	t.claimed = t.random.Uint64()
	return t
}

// IsEnforced reports whether caps are kept at all.
func (t *Table) IsEnforced() bool { return t.bounds.Window > 0 }

// HasJoined reports whether this host may own caps. The other hosts are to be told.
func (t *Table) HasJoined(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.members.HasJoined(now)
}

// SetMembers sets the hosts that are known now, the local one included.
func (t *Table) SetMembers(list []share.Member, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.members.Set(list, now)
	zones := make(map[string]bool)
	for _, p := range t.members.Peers {
		zones[p.Zone] = true
	}
	t.zones = len(zones)
	t.recordPart(now)
	for account, r := range t.rankings {
		if r.epoch != t.members.Epoch {
			delete(t.rankings, account)
		}
	}
	for account, l := range t.ledgers {
		if !l.goneAt.IsZero() && now.Sub(l.goneAt) > retainGone {
			delete(t.ledgers, account)
		}
	}
	for name, until := range t.silent {
		if !now.Before(until) {
			delete(t.silent, name)
		}
	}
	for number, c := range t.claims {
		if now.Sub(c.sentAt) > retainClaim {
			delete(t.claims, number)
		}
	}
	for account, s := range t.stocks {
		if s.isIdle(now) {
			delete(t.stocks, account)
		}
	}
}

// SetCaps sets the caps of the rules of a version. Ledgers of accounts that these no
// longer have are removed after retainGone: the accounts may come back at once.
func (t *Table) SetCaps(caps []Cap, version uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	byAccount := make(map[string]Cap, len(caps))
	for _, c := range caps {
		byAccount[c.Account] = c
	}
	for account, l := range t.ledgers {
		c, ok := byAccount[account]
		switch {
		case l.cap.Version >= version:
		case ok:
			l.cap, l.goneAt = c, time.Time{}
		case l.goneAt.IsZero():
			l.goneAt = now
		}
	}
}

// Answer answers the claims of another host. It is also called for permits that the host
// gives back.
func (t *Table) Answer(claims []Claim, now time.Time) []Reply {
	t.mu.Lock()
	defer t.mu.Unlock()
	var replies []Reply
	for _, c := range claims {
		if c.Back > 0 {
			t.takeBack(c.Cap, c.Back)
			continue
		}
		result := t.decide(c, now)
		t.countGranted(result)
		replies = append(replies, Reply{Number: c.Number, Result: result})
	}
	return replies
}

// takeBack adds permits that were not used to the ledger. A host that no longer owns the
// share has none.
func (t *Table) takeBack(c Cap, permits int) {
	l := t.ledgers[c.Account]
	if l == nil || l.since.IsZero() {
		return
	}
	t.counts.GivenBack += uint64(permits)
	l.granted.Level += float64(permits)
}

func (t *Table) countGranted(result Result) {
	if g, ok := result.(Granted); ok {
		t.counts.Granted += uint64(g.Permits)
	}
}

// Counts returns the counts of this host.
func (t *Table) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.counts
	for _, l := range t.ledgers {
		if !l.since.IsZero() {
			c.Owned++
		}
	}
	return c
}
