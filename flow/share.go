package flow

import (
	"math"
	"time"

	"hyssophub/share"
)

const (
	// askInterval is the mean time between two asks of a host for permits of one
	// server.
	askInterval = 100 * time.Millisecond
	// askAhead is the time for which a host asks for permits in advance: until the
	// grant of its next ask.
	askAhead = 150 * time.Millisecond
	// permitTime is how long permits are valid at least, from the time of the ask, and
	// permitTimeMax at most: longer by the time between two permits, in which a host
	// with few requests finds a use for its permit. With the burst of an owner, a
	// server receives in 4 s the requests that it takes in 4.75 s, and two more.
	permitTime    = 500 * time.Millisecond
	permitTimeMax = 1500 * time.Millisecond
	// maxGrantAge is the age of an ask from which on its grant is ignored.
	maxGrantAge = 300 * time.Millisecond
	// missLimit is the number of asks without a grant after which the next host in
	// order is asked.
	missLimit = 3
	// retainAsk is how long an owner counts a host among those that ask.
	retainAsk = time.Second
	// burstTime is the time whose permits an owner saves up while no host asks.
	burstTime = 250 * time.Millisecond
	// maxAsks is the number of asks of which a batch, with the grants that answer it,
	// fits into a datagram of 1,400 bytes.
	maxAsks = 16
	// minRate is the rate, in requests a second, at which permits are granted for a
	// server with a lower limit. Without requests nobody would notice that the limit
	// has ended.
	minRate = 0.2
)

// Ask asks the owner of a server's limit for permits.
type Ask struct {
	Server Server
	// Limit is what the asking host knows of the limit.
	Limit Limit
	// ColdRate is the rate, in requests a second, that the server can take while it is
	// cold, for ColdTime from now; both are zero if it is not.
	ColdRate float64
	ColdTime time.Duration
	Want     int
}

// Limit is what a host knows of a server's limit.
type Limit struct {
	// Named is set if the server names a limit, Rate.
	Named bool
	Rate  float64
	// SaidAt is when the answer that it follows from arrived.
	SaidAt time.Time
}

// Grant answers an Ask.
type Grant struct {
	Server  Server
	Limit   Limit
	Permits int
	// Wait is the time until further permits for the asking host are expected.
	Wait time.Duration
	// Owner is the name of the host that owns the limit, if it is not the sender.
	Owner string
}

// Batch is a set of asks that is sent to one host.
type Batch struct {
	Address string
	Number  uint64
	Asks    []Ask
}

// askState is the state of this host's asks for permits of one server.
type askState struct {
	// next is the earliest time of the next ask.
	next time.Time
	// number and sentAt are those of the newest ask; number is zero once its grant
	// has arrived.
	number uint64
	sentAt time.Time
	// misses counts the asks without a grant since the last grant.
	misses int
	// owner is the host that was named as the owner instead of the first candidate.
	owner string
	// candidates are the results of Table.candidates at epoch.
	candidates []*share.Peer
	epoch      uint64
}

// Asks returns the asks to send now, and the time of the next call if no wake-up
// comes before; zero if there is none. This host answers its own asks itself.
func (t *Table) Asks(now time.Time) (batches []*Batch, next time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	byAddress := make(map[string]*Batch)
	for _, s := range t.servers {
		want := s.want(now)
		if _, isBounded := s.bound(now); !isBounded && now.Sub(s.limit.saidAt) > retainAsk || isBounded && want == 0 {
			continue
		}
		if now.Before(s.ask.next) {
			next = earliest(next, s.ask.next)
			continue
		}
		s.ask.next = now.Add(askInterval*3/4 + time.Duration(t.random.Int64N(int64(askInterval/2))))
		next = earliest(next, s.ask.next)
		owner := t.ownerFor(s)
		switch {
		case owner == nil:
		case owner.Name == t.self:
			s.acceptGrant(t.grant(s, t.self, want, now), now, now)
		default:
			b := byAddress[owner.Address]
			if b == nil || len(b.Asks) == maxAsks {
				t.asked++
				b = &Batch{Address: owner.Address, Number: t.asked}
				byAddress[owner.Address] = b
				batches = append(batches, b)
			}
			if s.ask.number != 0 {
				s.ask.misses++
			}
			s.ask.number, s.ask.sentAt = b.Number, now
			b.Asks = append(b.Asks, s.askFor(want, now))
		}
	}
	return batches, next
}

// want returns the number of permits to ask for.
func (s *state) want(now time.Time) int {
	expected := float64(s.wanted.Sum(now)) * askAhead.Seconds() / share.CountTime.Seconds()
	want := int(math.Ceil(expected))
	if now.Sub(s.waitingAt) < askAhead {
		want = max(want, 1)
	}
	return max(0, want-s.validPermits(now))
}

func (s *state) askFor(want int, now time.Time) Ask {
	a := Ask{Server: s.server, Limit: s.known(), Want: want}
	if left := s.cold.until.Sub(now); left > 0 {
		a.ColdRate, a.ColdTime = s.cold.rate, left
	}
	return a
}

func (s *state) known() Limit {
	return Limit{Named: s.limit.named, Rate: s.limit.rate, SaidAt: s.limit.saidAt}
}

// ownerFor returns the host to ask for permits of a server; nil if none is known.
func (t *Table) ownerFor(s *state) *share.Peer {
	candidates := t.candidates(s)
	if len(candidates) == 0 {
		return nil
	}
	if s.ask.misses >= missLimit {
		s.ask.owner = ""
		return candidates[s.ask.misses/missLimit%len(candidates)]
	}
	if m := t.members.Peers[s.ask.owner]; m != nil && m.Live {
		return m
	}
	return candidates[0]
}

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// Answer answers the asks of another host.
func (t *Table) Answer(host string, asks []Ask, now time.Time) ([]Grant, []Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var (
		grants  []Grant
		changes []Change
	)
	for _, a := range asks {
		s := t.state(a.Server)
		if s == nil {
			// A later run of the server is known, which named no limit to the asking
			// host.
			grants = append(grants, Grant{Server: a.Server, Limit: Limit{SaidAt: now}})
			continue
		}
		changes = append(changes, s.learnFrom(a.Limit, now)...)
		if a.ColdTime > 0 {
			s.cold = cold{rate: a.ColdRate, until: now.Add(a.ColdTime)}
		}
		grants = append(grants, t.grant(s, host, a.Want, now))
	}
	return grants, changes
}

// learnFrom applies what another host knows of the limit.
func (s *state) learnFrom(l Limit, now time.Time) []Change {
	saidAt := l.SaidAt
	if saidAt.After(now) {
		saidAt = now
	}
	return s.setLimit(l.Named, l.Rate, saidAt, now)
}

// Accept applies grants that answer the batch with the given number.
func (t *Table) Accept(number uint64, grants []Grant, now time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changes []Change
	for _, g := range grants {
		s := t.servers[g.Server.ID]
		if s == nil || s.server.StartMs != g.Server.StartMs || s.ask.number != number {
			continue
		}
		s.ask.number, s.ask.misses = 0, 0
		if now.Sub(s.ask.sentAt) > maxGrantAge {
			continue
		}
		changes = append(changes, s.learnFrom(g.Limit, now)...)
		s.acceptGrant(g, s.ask.sentAt, now)
		if g.Owner != "" && g.Owner != s.ask.owner {
			// The owner that was named is asked at once.
			s.ask.owner, s.ask.next = g.Owner, now
			t.wakeUp()
		}
	}
	return changes
}

// acceptGrant adds the permits of a grant whose ask was sent at the given time.
func (s *state) acceptGrant(g Grant, sent, now time.Time) {
	if g.Wait > 0 {
		s.nextPermit = now.Add(g.Wait)
	}
	rate, isBounded := s.bound(now)
	if g.Permits <= 0 || !isBounded {
		return
	}
	valid := permitTime + seconds(1/max(minRate, rate))
	s.permits = append(s.permits, permits{count: g.Permits, until: sent.Add(min(valid, permitTimeMax))})
}

// ledger is the account of the permits that a host granted for a server.
type ledger struct {
	// granted starts with nothing saved up when this host becomes the owner.
	granted share.Bucket
	// asking holds the newest ask of each host.
	asking map[string]hostAsk
}

type hostAsk struct {
	want int
	at   time.Time
}

// grant decides on an ask of a host for permits.
func (t *Table) grant(s *state, host string, want int, now time.Time) Grant {
	g := Grant{Server: s.server, Limit: s.known()}
	part := t.share(s, now)
	if part == 0 {
		s.ledger = ledger{}
		if c := t.candidates(s); len(c) > 0 && c[0].Name != t.self {
			g.Owner = c[0].Name
		}
		return g
	}
	bound, isBounded := s.bound(now)
	if !isBounded {
		return g
	}
	rate := part * max(minRate, bound)
	total := s.ledger.record(host, want, now)
	available := s.ledger.granted.Refill(rate, max(burstTime.Seconds()*rate, 1), now)
	if want > 0 && available >= 1 {
		wanted := math.Ceil(available * float64(want) / float64(total))
		n := min(float64(want), available, max(1, wanted))
		g.Permits = int(n)
		s.ledger.granted.Level -= n
	}
	g.Wait = min(maxWait, max(0, seconds(float64(total)/rate)))
	return g
}

// maxWait bounds the time until further permits that a grant names.
const maxWait = 10 * time.Second

// record records the newest ask of a host and returns the sum of what all hosts want.
func (l *ledger) record(host string, want int, now time.Time) int {
	if l.asking == nil {
		l.asking = make(map[string]hostAsk)
	}
	l.asking[host] = hostAsk{want: want, at: now}
	total := 0
	for name, a := range l.asking {
		if now.Sub(a.at) > retainAsk {
			delete(l.asking, name)
			continue
		}
		total += a.want
	}
	return total
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
