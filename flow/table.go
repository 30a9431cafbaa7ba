package flow

import (
	"math/rand/v2"
	"sync"
	"time"

	"hyssophub/share"
)

// Table holds the servers that bound the requests that they take, with this host's
// permits for them, and the permits that it grants to other hosts. In the lock
// order, its lock comes after that of package fleet and before that of package
// dial; no other lock is acquired while it is held.
type Table struct {
	self string
	wake chan struct{}

	mu sync.Mutex
	// random spreads the asks of the hosts over time.
	random  *rand.Rand
	servers map[string]*state
	members *share.Members
	// asked counts the sets of asks that were sent.
	asked uint64
	// newlyLeaving and newlyLimited are what servers said first to this host, to be told to
	// other hosts.
	newlyLeaving []Server
	newlyLimited []ServerLimit
}

// state is what is known of one server.
type state struct {
	server Server
	limit  limit
	cold   cold
	// pausedUntil is the time until which the server wants no request from this host.
	pausedUntil time.Time
	// leaving is set once this run of the server is known to shut down. Nothing undoes
	// it: an entry that still calls the server ready is older.
	leaving bool
	// gone is set while the server is not registered, and goneAt is when this was
	// noticed.
	gone   bool
	goneAt time.Time
	// permits are the requests that this host may still send to the server while it
	// names a limit, those that end first before the others.
	permits []permits
	// wanted counts this host's requests that were sent to the server or would have
	// been, had there been a permit.
	wanted share.RecentCount
	// waitingAt is when a request last found no permit, and nextPermit the time from
	// which one is expected.
	waitingAt  time.Time
	nextPermit time.Time
	ask        askState
	ledger     ledger
}

// permits are permits that end at the same time.
type permits struct {
	count int
	until time.Time
}

// limit is the rate limit of a server.
type limit struct {
	// named is set while the server names a limit; rate is in requests a second from
	// all hosts together.
	named bool
	rate  float64
	// namedAt is when the limit became known to this host. saidAt is when the newest
	// answer that it follows from arrived, at this host or at another.
	namedAt time.Time
	saidAt  time.Time
	// reported is the rate in the last LimitNamed.
	reported float64
}

// cold is the bound on the requests to a server that is cold until a time: the rate, in
// requests a second, that it can take from all hosts together.
type cold struct {
	rate  float64
	until time.Time
}

// coldShare is the share of a cold server's rate at which permits are granted. The
// margin is for requests that do not arrive evenly: a cold server fails when it gets
// more than it can take within a second.
const coldShare = 0.7

// bound returns the rate, in requests a second, at which all hosts together may send to
// the server, and whether there is such a bound.
func (s *state) bound(now time.Time) (float64, bool) {
	isCold := now.Before(s.cold.until)
	switch {
	case isCold && s.limit.named:
		return min(coldShare*s.cold.rate, s.limit.rate), true
	case isCold:
		return coldShare * s.cold.rate, true
	default:
		return s.limit.rate, s.limit.named
	}
}

// NewTable returns a table without servers. self is the name of this host, which
// starts now.
func NewTable(self string, now time.Time) *Table {
	return &Table{
		self:    self,
		wake:    make(chan struct{}, 1),
		random:  rand.New(rand.NewPCG(share.Hash(self), uint64(now.UnixNano()))),
		servers: make(map[string]*state),
		members: share.NewMembers(self, now),
	}
}

// state returns the entry of a server, adding it if necessary. It returns nil if a
// later run of the server is known.
func (t *Table) state(server Server) *state {
	s := t.servers[server.ID]
	switch {
	case s == nil || s.server.StartMs < server.StartMs:
		s = &state{server: server}
		t.servers[server.ID] = s
	case s.server.StartMs > server.StartMs:
		return nil
	}
	return s
}

// Forget records that a server is no longer registered. What it said is kept for
// retainGone, in case its registration comes back: it may have lapsed while the store
// was away.
func (t *Table) Forget(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.servers[id]; s != nil {
		s.gone = true
	}
}

// retainGone is how long what is known of a server is kept after its registration.
const retainGone = 10 * time.Minute

// expire removes the servers that have been gone for retainGone, and those of which
// nothing holds any more.
func (t *Table) expire(now time.Time) {
	for id, s := range t.servers {
		_, isBounded := s.bound(now)
		switch {
		case !isBounded && !s.leaving && !now.Before(s.pausedUntil) && now.Sub(s.limit.saidAt) > retainAsk:
			delete(t.servers, id)
		case !s.gone:
			s.goneAt = time.Time{}
		case s.goneAt.IsZero():
			s.goneAt = now
		case now.Sub(s.goneAt) > retainGone:
			delete(t.servers, id)
		}
	}
}

// IsEmpty reports whether no server is known to bound its requests.
func (t *Table) IsEmpty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.servers) == 0
}

// SetCold records that a server is cold until a time, in which all hosts together may
// send it requests at the given rate, in requests a second.
func (t *Table) SetCold(server Server, rate float64, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.state(server); s != nil {
		s.cold = cold{rate: rate, until: until}
	}
}

// EndCold records that a server is not cold.
func (t *Table) EndCold(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.servers[id]; s != nil {
		s.cold = cold{}
	}
}

func (t *Table) wakeUp() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// Wake receives a value when Asks is to be called.
func (t *Table) Wake() <-chan struct{} { return t.wake }

// Counts is the number of servers by what bounds the requests that they take.
type Counts struct {
	// Limited is the number of servers that name a rate limit, Paused that of servers
	// that want no request from this host at present, and Leaving that of servers that
	// are shutting down.
	Limited int
	Paused  int
	Leaving int
}

// Counts returns the number of servers by what bounds the requests that they take.
func (t *Table) Counts(now time.Time) Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	var c Counts
	for _, s := range t.servers {
		if s.limit.named {
			c.Limited++
		}
		if now.Before(s.pausedUntil) {
			c.Paused++
		}
		if s.leaving {
			c.Leaving++
		}
	}
	return c
}
