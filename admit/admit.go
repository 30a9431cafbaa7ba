// Package admit decides which requests a host serves now, which wait and which are refused
// at once. It owns the host's limit of requests in progress, which it learns from the
// host's own lag, and the queue in front of it, which client accounts share fairly. Own
// requests of clients and collections for other hosts share the limit. Sending the
// requests is left to package relay.
package admit

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// leastRetryAfter is the least time after which a refused caller may come back.
	leastRetryAfter = 100 * time.Millisecond
	// retrySpread spreads the times of callers that are refused together over so much
	// more than the expected wait. They would else come back together.
	retrySpread = 0.5
	// leftShare is the part of what a caller has left within which it is asked back, so
	// that its second attempt has time to be served.
	leftShare = 0.5
	// rateWeight is the weight of a new interval between departures in their average.
	rateWeight = 0.1
	// maxQueued bounds the requests that wait.
	maxQueued = 4096
)

// Request is what admission needs to know of a request.
type Request struct {
	// Account is the name of the client account; empty if it has none.
	Account string
	// Priority is the rank of the request; 0 is the most urgent.
	Priority int
	// StartBy is when the request must begin to meet its objective, and Deadline is when
	// its caller stops waiting.
	StartBy  time.Time
	Deadline time.Time
}

// Decision is what happens to a request that arrives. The interface is sealed.
type Decision interface{ decision() }

type (
	// Admitted means that the request is in progress. Leave ends it.
	Admitted struct{}
	// Waiting means that the request waits for Ticket.
	Waiting struct{ Ticket *Ticket }
	// Refused means that the request is not run, since it could not begin in time. A
	// second attempt after RetryAfter is expected to.
	Refused struct{ RetryAfter time.Duration }
)

func (Admitted) decision() {}
func (Waiting) decision()  {}
func (Refused) decision()  {}

// Ticket is the place of a request in the queue.
type Ticket struct {
	request Request
	// Ready is closed once the request is admitted.
	Ready chan struct{}
	// number orders requests that are equal otherwise.
	number uint64
	// admitted is set with Ready.
	admitted bool
}

// Counts are figures of a Table for metrics.
type Counts struct {
	Limit, InProgress, Queued int
	// Refused and Expired count the requests that were refused on arrival, and after
	// they waited in vain.
	Refused, Expired uint64
}

// Table holds the requests in progress and those that wait. Its lock is acquired before
// that of package relay; no other lock is acquired while it is held.
type Table struct {
	mu         sync.Mutex
	limit      Limit
	queue      queue
	inProgress int
	// gap is the average time between departures while requests wait, and departed the
	// last one.
	gap      time.Duration
	departed time.Time
	refused  uint64
	expired  uint64
	// random returns numbers in [0, 1) that spread the returning callers.
	random func() float64
}

// NewTable returns a table without requests.
func NewTable() *Table {
	return &Table{queue: queue{flows: make(map[string]*flow)}, random: rand.Float64}
}

// Enter decides on a request that arrives.
func (t *Table) Enter(r Request, now time.Time) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inProgress < t.limit.Value() && t.queue.size == 0 {
		t.inProgress++
		return Admitted{}
	}
	wait := t.expectedWait(r)
	if now.Add(wait).After(r.StartBy) || t.queue.size >= maxQueued {
		t.refused++
		return Refused{RetryAfter: t.retryAfter(wait, r.Deadline.Sub(now))}
	}
	return Waiting{Ticket: t.queue.push(r)}
}

// expectedWait returns how long a request is expected to wait, from what is before it in
// the queue and the rate at which requests depart.
func (t *Table) expectedWait(r Request) time.Duration {
	return time.Duration(t.queue.ahead(r)+1) * t.gap
}

// retryAfter returns when a refused caller is to come back.
func (t *Table) retryAfter(wait, left time.Duration) time.Duration {
	after := max(leastRetryAfter, time.Duration((1+retrySpread*t.random())*float64(wait)))
	return max(0, min(after, time.Duration(leftShare*float64(left))))
}

// Leave ends a request that was admitted, and admits the next ones.
func (t *Table) Leave(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inProgress--
	if t.queue.size > 0 && !t.departed.IsZero() {
		gap := now.Sub(t.departed)
		t.gap += time.Duration(rateWeight * float64(gap-t.gap))
	}
	t.departed = now
	t.admit()
}

// admit admits requests that wait while there is room. The lock must be held.
func (t *Table) admit() {
	for t.inProgress < t.limit.Value() && t.queue.size > 0 {
		next := t.queue.pop()
		next.admitted = true
		t.inProgress++
		close(next.Ready)
	}
	if t.queue.size == 0 {
		t.departed = time.Time{}
	}
}

// Abandon ends the wait of a request whose caller left, or that can no longer begin in
// time, and returns the refusal. It returns Admitted if the request was admitted in
// the meantime.
func (t *Table) Abandon(ticket *Ticket, now time.Time) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	if ticket.admitted {
		return Admitted{}
	}
	t.queue.remove(ticket)
	t.expired++
	r := ticket.request
	return Refused{RetryAfter: t.retryAfter(t.expectedWait(r), r.Deadline.Sub(now))}
}

// ObserveLag applies a lag of the host: the delay of one of its timers.
func (t *Table) ObserveLag(lag time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limit.Observe(lag, t.inProgress, now)
	t.admit()
}

// Counts returns the figures of the table.
func (t *Table) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Counts{Limit: t.limit.Value(), InProgress: t.inProgress, Queued: t.queue.size, Refused: t.refused, Expired: t.expired}
}
