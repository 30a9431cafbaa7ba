package quota

import (
	"maps"
	"slices"
	"time"

	"hyssophub/share"
)

const (
	// stockTime is how long permits that were claimed in advance are valid. Those that are
	// not used are given back.
	stockTime = 100 * time.Millisecond
	// silentTime is how long a host that left a claim without an answer is asked last.
	silentTime = time.Second
	// emptyTime is how long an owner whose share is used up is not asked at most, so that
	// callers who repeat at once do not reach it.
	emptyTime = 50 * time.Millisecond
	// retainStock is how long an account without requests is remembered.
	retainStock = 2 * time.Second
	// unreachedRetryAfter and as much again at most is the time after which a client may
	// retry if no host that may grant a permit was reached.
	unreachedRetryAfter = 200 * time.Millisecond
	// minRetryAfter is the least time to come back that is named over a cap.
	minRetryAfter = 5 * time.Millisecond
	// retainClaim is how long a claim without an answer is kept, so that permits of a late
	// answer are given back.
	retainClaim = 2 * time.Second
)

// stock is what this host holds and wants of the permits for an account.
type stock struct {
	wanted share.RecentCount
	// permits are left over from a claim for several, from the host from, until a time.
	permits  int
	from     string
	until    time.Time
	wantedAt time.Time
	// empty holds the owners whose shares are used up.
	empty map[string]emptyShare
}

// emptyShare is what an owner said whose share is used up: it is not asked until a time,
// and wants callers back at another.
type emptyShare struct {
	until time.Time
	back  time.Time
}

func (s *stock) isIdle(now time.Time) bool {
	return now.Sub(s.wantedAt) > retainStock && s.permits == 0
}

// openClaim is a claim without an answer.
type openClaim struct {
	request *Request
	host    string
	sentAt  time.Time
}

// Request is a request of an account with a cap that waits for a permit. Its fields are
// guarded by the lock of the Table.
type Request struct {
	cap   Cap
	stock *stock
	// Decided receives the decision.
	Decided chan Decision
	decided bool
	// asked are the hosts that were asked, and waiting the claims without an answer.
	asked   map[string]bool
	waiting map[uint64]bool
	// nextAt is when the next host is asked, and endAt when the request is refused.
	nextAt   time.Time
	endAt    time.Time
	interval time.Duration
	// over is set once a host said that the account is over its cap, and wait is the
	// time to come back that it named.
	over bool
	wait time.Duration
}

// askShare is the part of the patience of a request after which another host is asked.
const askShare = 3

// Begin asks for a permit for a request, which is refused if there is none after the time
// patience. It returns claims to send; Step is to be called at the time that it returns,
// unless the request is decided before.
func (t *Table) Begin(c Cap, patience time.Duration, now time.Time) (*Request, []Message, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := &Request{
		cap: c, Decided: make(chan Decision, 1), asked: make(map[string]bool), waiting: make(map[uint64]bool),
		endAt: now.Add(patience), interval: patience / askShare,
	}
	if c.Rate <= 0 || !t.IsEnforced() {
		t.finish(r, Admitted{})
		return r, nil, r.endAt
	}
	s := t.stocks[c.Account]
	if s == nil {
		s = &stock{empty: make(map[string]emptyShare)}
		t.stocks[c.Account] = s
	}
	r.stock = s
	s.wanted.Add(now)
	s.wantedAt = now
	if s.permits > 0 && now.Before(s.until) {
		s.permits--
		t.finish(r, Admitted{From: s.from})
		return r, nil, r.endAt
	}
	messages := t.askNext(r, now)
	return r, messages, r.stepAt()
}

func (r *Request) stepAt() time.Time {
	if r.nextAt.IsZero() || r.endAt.Before(r.nextAt) {
		return r.endAt
	}
	return r.nextAt
}

// Step asks further hosts for a request that is not decided yet.
func (t *Table) Step(r *Request, now time.Time) ([]Message, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.decided {
		return nil, r.endAt
	}
	if !now.Before(r.endAt) {
		t.refuse(r)
		return nil, r.endAt
	}
	if !r.nextAt.IsZero() && !now.Before(r.nextAt) {
		for number := range r.waiting {
			if open := t.claims[number]; open != nil {
				t.silent[open.host] = now.Add(silentTime)
			}
		}
		return t.askNext(r, now), r.stepAt()
	}
	return nil, r.stepAt()
}

// askNext asks the next host for the request: the owner of this host's zone, then those of
// other zones. Owners that left a claim without an answer come last; those that said that
// their share is used up are not asked for emptyTime.
func (t *Table) askNext(r *Request, now time.Time) []Message {
	r.nextAt = time.Time{}
	next := t.nextToAsk(r, now)
	if next == nil {
		if len(r.waiting) == 0 {
			t.refuse(r)
		}
		return nil
	}
	messages := t.ask(r, next, now)
	if !r.decided && len(r.waiting) > 0 {
		r.nextAt = now.Add(r.interval)
	}
	return messages
}

// maxAsked is the number of hosts that are asked for one request.
const maxAsked = 4

func (t *Table) nextToAsk(r *Request, now time.Time) *share.Peer {
	if len(r.asked) >= maxAsked {
		return nil
	}
	var silent *share.Peer
	for _, p := range t.ranking(r.cap.Account).owners {
		if p == nil || r.asked[p.Name] {
			continue
		}
		if e, ok := r.stock.empty[p.Name]; ok && now.Before(e.until) {
			// Other callers were told the same time.
			wait := max(minRetryAfter, e.back.Sub(now))
			r.noteOver(wait + time.Duration(t.random.Int64N(int64(wait))))
			continue
		}
		if !now.Before(t.silent[p.Name]) {
			return p
		}
		if silent == nil {
			silent = p
		}
	}
	return silent
}

// noteOver notes that a share of the cap is used up, and when its owner wants the caller
// back.
func (r *Request) noteOver(wait time.Duration) {
	wait = max(minRetryAfter, wait)
	if !r.over || wait < r.wait {
		r.over, r.wait = true, wait
	}
}

// ask asks a host for permits. This host decides at once.
func (t *Table) ask(r *Request, p *share.Peer, now time.Time) []Message {
	r.asked[p.Name] = true
	claim := Claim{Cap: r.cap, Want: r.stock.want(now)}
	if self := t.members.Peers[t.members.Self]; self != nil && self.Zone == p.Zone {
		live, lost := t.members.Count(p.Zone)
		claim.Hosts = live + lost
	}
	if p.Name == t.members.Self {
		claim.Want = 1
		result := t.decide(claim, now)
		t.countGranted(result)
		return t.apply(r, p.Name, result, now)
	}
	t.claimed++
	claim.Number = t.claimed
	t.claims[claim.Number] = &openClaim{request: r, host: p.Name, sentAt: now}
	r.waiting[claim.Number] = true
	return []Message{{Host: p.Name, Address: p.Address, Claim: claim}}
}

// want returns the number of permits to claim: one, and those for the requests that are
// expected within stockTime.
func (s *stock) want(now time.Time) int {
	return 1 + int(float64(s.wanted.Sum(now))*stockTime.Seconds()/share.CountTime.Seconds())
}

// Accept applies replies of a host to claims. It returns the claims to send: permits that
// are given back, and claims to a host that was named as the owner.
func (t *Table) Accept(host string, replies []Reply, now time.Time) []Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.silent, host)
	var messages []Message
	for _, reply := range replies {
		open := t.claims[reply.Number]
		if open == nil || open.host != host {
			continue
		}
		delete(t.claims, reply.Number)
		r := open.request
		delete(r.waiting, reply.Number)
		if !r.decided {
			messages = append(messages, t.apply(r, host, reply.Result, now)...)
			continue
		}
		if g, ok := reply.Result.(Granted); ok {
			messages = append(messages, t.giveBack(r.cap, host, g.Permits)...)
		}
	}
	return messages
}

// apply applies the decision of a host to a request that is not decided.
func (t *Table) apply(r *Request, host string, result Result, now time.Time) []Message {
	switch result := result.(type) {
	case Granted:
		if result.Permits < 1 {
			break
		}
		t.finish(r, Admitted{From: host})
		if s := r.stock; result.Permits > 1 {
			messages := t.giveBack(r.cap, s.from, s.permits)
			s.permits, s.from, s.until = result.Permits-1, host, now.Add(stockTime)
			return messages
		}
		return nil
	case Over:
		r.noteOver(result.Wait)
		r.stock.empty[host] = emptyShare{until: now.Add(min(result.Wait, emptyTime)), back: now.Add(result.Wait)}
	case Elsewhere:
		if p := t.members.Peers[result.Owner]; p != nil && !r.asked[p.Name] && len(r.asked) < maxAsked {
			delete(t.silent, p.Name)
			return t.ask(r, p, now)
		}
	}
	if len(r.waiting) > 0 {
		return nil
	}
	return t.askNext(r, now)
}

// giveBack returns the claims that give permits back to the host that granted them.
func (t *Table) giveBack(c Cap, host string, permits int) []Message {
	p := t.members.Peers[host]
	switch {
	case permits <= 0 || p == nil:
		return nil
	case host == t.members.Self:
		t.takeBack(c, permits)
		return nil
	}
	return []Message{{Host: host, Address: p.Address, Claim: Claim{Cap: c, Back: permits}}}
}

// GiveBack gives the permit of a request back that provably was not run.
func (t *Table) GiveBack(c Cap, from string) []Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.giveBack(c, from, 1)
}

// Expire returns the claims that give back permits that were not used in time.
func (t *Table) Expire(now time.Time) []Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	var messages []Message
	for account, s := range t.stocks {
		if s.permits > 0 && !now.Before(s.until) {
			messages = append(messages, t.giveBack(Cap{Account: account}, s.from, s.permits)...)
			s.permits = 0
		}
	}
	return messages
}

// Cancel ends the wait of a request whose client has left.
func (t *Table) Cancel(r *Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !r.decided {
		t.refuse(r)
	}
}

func (t *Table) refuse(r *Request) {
	refused := Refused{Over: r.over, RetryAfter: r.wait, Asked: slices.Sorted(maps.Keys(r.asked))}
	if !r.over {
		refused.RetryAfter = unreachedRetryAfter + time.Duration(t.random.Int64N(int64(unreachedRetryAfter)))
	}
	t.finish(r, refused)
}

func (t *Table) finish(r *Request, d Decision) {
	r.decided = true
	r.Decided <- d
}
