package flow

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// Table holds the servers that bound the requests that they take, with this host's
// permits for them, and the permits that it grants to other hosts. In the lock
// order, its lock comes after that of package fleet and before that of package
// dial; no other lock is acquired while it is held.
type Table struct {
	self    string
	started time.Time
	wake    chan struct{}

	mu sync.Mutex
	// random spreads the asks of the hosts over time.
	random  *rand.Rand
	servers map[string]*state
	members map[string]*member
	// epoch counts the changes of members.
	epoch uint64
	// asked counts the sets of asks that were sent.
	asked uint64
	// leavingNews and limitNews are what servers said first to this host, to be told to
	// other hosts.
	leavingNews []Server
	limitNews   []ServerLimit
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
	wanted recentCount
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
// requests a second, that it stands from all hosts together.
type cold struct {
	rate  float64
	until time.Time
}

// coldShare is the share of a cold server's rate at which permits are granted. The
// margin is for requests that do not arrive evenly: a cold server fails when it gets
// more than it stands within a second.
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
		started: now,
		wake:    make(chan struct{}, 1),
		random:  rand.New(rand.NewPCG(hash(self), uint64(now.UnixNano()))),
		servers: make(map[string]*state),
		members: make(map[string]*member),
	}
}

// Learn applies what a server said in an answer that arrived now, to a request that
// was sent at the given time, and returns what changed.
func (t *Table) Learn(server Server, notice Notice, sent, now time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	if notice.isEmpty() && t.servers[server.ID] == nil {
		return nil
	}
	s := t.state(server)
	if s == nil {
		return nil
	}
	changes := t.learnLimit(s, notice, sent, now)
	if notice.Pause > 0 {
		changes = append(changes, t.pause(s, notice.Pause, now)...)
	}
	if notice.Leaving && !s.leaving {
		s.leaving = true
		changes = append(changes, LeavingNamed{Server: s.server})
		t.leavingNews = append(t.leavingNews, s.server)
		t.wakeUp()
	}
	return changes
}

// learnLimit applies the rate limit in a notice.
func (t *Table) learnLimit(s *state, notice Notice, sent, now time.Time) []Change {
	if !notice.Limited && (!s.limit.named || !sent.After(s.limit.namedAt)) {
		// Answers overtake each other. Only a request that was sent after the limit
		// became known shows that the limit has ended.
		return nil
	}
	wasNamed := s.limit.named
	changes := s.setLimit(notice.Limited, notice.Rate, now, now)
	if s.limit.named && !wasNamed {
		t.limitNews = append(t.limitNews, ServerLimit{Server: s.server, Limit: s.known()})
	}
	if len(changes) > 0 {
		// The owner of the limit is told at once.
		s.ask.next = now
		t.wakeUp()
	}
	return changes
}

const (
	// maxPause bounds the pauses that servers name. A longer one is more likely a
	// mistake than a server that will be of use again.
	maxPause = 10 * time.Minute
	// The end of a pause is put off by up to pauseSpread of its length, at most
	// maxPauseSpread, so that the hosts do not return together.
	pauseSpread    = 0.25
	maxPauseSpread = time.Second
)

// pause applies a pause that a server named in a refusal.
func (t *Table) pause(s *state, named time.Duration, now time.Time) []Change {
	length := min(named, maxPause)
	spread := min(time.Duration(pauseSpread*float64(length)), maxPauseSpread)
	until := now.Add(length + time.Duration(t.random.Float64()*float64(spread)))
	if !until.After(s.pausedUntil) {
		return nil
	}
	wasPaused := now.Before(s.pausedUntil)
	s.pausedUntil = until
	if wasPaused {
		return nil
	}
	return []Change{PauseNamed{Server: s.server, Named: named, Until: until}}
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

// setLimit applies a limit, or its end, that follows from an answer at saidAt.
func (s *state) setLimit(named bool, rate float64, saidAt, now time.Time) []Change {
	if saidAt.Before(s.limit.saidAt) {
		return nil
	}
	wasNamed := s.limit.named
	s.limit.saidAt, s.limit.named, s.limit.rate = saidAt, named, rate
	switch {
	case !named && !wasNamed:
		return nil
	case !named:
		return []Change{LimitEnded{Server: s.server}}
	case !wasNamed:
		s.limit.namedAt = now
	case math.Abs(rate-s.limit.reported) <= reportedChange*s.limit.reported:
		return nil
	}
	s.limit.reported = rate
	return []Change{LimitNamed{Server: s.server, Rate: rate}}
}

// reportedChange is the relative change of a rate up to which it is not reported, so
// that a limit that varies with the load does not fill the log.
const reportedChange = 0.1

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

// Admission says whether a request may be sent to a server now. The interface is
// sealed.
type Admission interface{ admission() }

type (
	// Open servers take requests without a permit.
	Open struct{}
	// Permitted servers take a request for a permit that this host has.
	Permitted struct{}
	// Closed servers take no request from this host before Until. Paused is set if the
	// server asked for a pause, Cold if a permit is missing because it is cold; otherwise
	// one is missing because it names a rate limit.
	Closed struct {
		Until  time.Time
		Paused bool
		Cold   bool
	}
	// Ended servers are shutting down and take no request any more.
	Ended struct{}
)

func (Open) admission()      {}
func (Permitted) admission() {}
func (Closed) admission()    {}
func (Ended) admission()     {}

// Check reports whether a request may be sent to a server now. It uses no permit.
func (t *Table) Check(server Server, now time.Time) Admission {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[server.ID]
	if s == nil || s.server.StartMs != server.StartMs {
		return Open{}
	}
	s.gone = false
	_, isBounded := s.bound(now)
	switch {
	case s.leaving:
		return Ended{}
	case now.Before(s.pausedUntil):
		return Closed{Until: s.pausedUntil, Paused: true}
	case !isBounded:
		return Open{}
	case s.validPermits(now) > 0:
		return Permitted{}
	case s.nextPermit.After(now):
		return Closed{Until: s.nextPermit, Cold: now.Before(s.cold.until)}
	default:
		return Closed{Until: now.Add(unknownWait), Cold: now.Before(s.cold.until)}
	}
}

// unknownWait is the time until a permit that is named while none is known.
const unknownWait = 20 * time.Millisecond

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

// boundedState returns the entry of a server if there is a bound on its requests.
func (t *Table) boundedState(server Server, now time.Time) *state {
	s := t.servers[server.ID]
	if s == nil || s.server.StartMs != server.StartMs {
		return nil
	}
	if _, ok := s.bound(now); !ok {
		return nil
	}
	return s
}

// Send counts a request that is sent to a server now, and uses a permit for it if there
// is a bound on the server's requests.
func (t *Table) Send(server Server, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.boundedState(server, now)
	if s == nil {
		return
	}
	s.wanted.add(now)
	if s.validPermits(now) > 0 {
		s.permits[0].count--
	}
	t.wakeUp()
}

// Want records that a request would have been sent to a server, had there been a
// permit. again is set if the same request wanted one before.
func (t *Table) Want(server Server, again bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.boundedState(server, now)
	if s == nil {
		return
	}
	s.waitingAt = now
	if !again {
		s.wanted.add(now)
	}
	t.wakeUp()
}

// validPermits removes the permits that have ended or were used, and counts the
// others.
func (s *state) validPermits(now time.Time) int {
	for len(s.permits) > 0 && (s.permits[0].count == 0 || !now.Before(s.permits[0].until)) {
		s.permits = s.permits[1:]
	}
	count := 0
	for _, p := range s.permits {
		count += p.count
	}
	return count
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
