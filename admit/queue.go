package admit

import (
	"cmp"
	"slices"
)

// queue holds the requests that wait, by client account. It serves accounts by start-time
// fair queueing (Goyal, Vin and Cheng, 1996): each account has a start tag, which advances by
// one with each of its requests, and the account with the least tag is next. An account that
// sends ten times its usual delays its own requests only; one without requests has no claim
// later on to what it left. Within an account the order is by priority, then by the time
// that is left.
type queue struct {
	flows map[string]*flow
	// virtual is the start tag of the request that was last served.
	virtual float64
	size    int
	number  uint64
}

// flow is the requests of an account, in order.
type flow struct {
	start float64
	list  []*Ticket
}

// compare orders the requests of an account.
func compare(a, b *Ticket) int {
	return cmp.Or(
		cmp.Compare(a.request.Priority, b.request.Priority),
		a.request.Deadline.Compare(b.request.Deadline),
		cmp.Compare(a.number, b.number),
	)
}

func (q *queue) push(r Request) *Ticket {
	q.number++
	ticket := &Ticket{request: r, Ready: make(chan struct{}), number: q.number}
	f := q.flows[r.Account]
	if f == nil {
		f = &flow{}
		q.flows[r.Account] = f
	}
	if len(f.list) == 0 {
		f.start = max(f.start, q.virtual)
	}
	at, _ := slices.BinarySearchFunc(f.list, ticket, compare)
	f.list = slices.Insert(f.list, at, ticket)
	q.size++
	return ticket
}

// next returns the account that is served next. Of accounts with the same tag it is the
// one with the most urgent request.
func (q *queue) next() *flow {
	var best *flow
	for _, f := range q.flows {
		if len(f.list) == 0 {
			continue
		}
		if best == nil || f.start < best.start || f.start == best.start && compare(f.list[0], best.list[0]) < 0 {
			best = f
		}
	}
	return best
}

func (q *queue) pop() *Ticket {
	f := q.next()
	ticket := f.list[0]
	f.list = slices.Delete(f.list, 0, 1)
	q.virtual = f.start
	f.start++
	q.size--
	q.forget()
	return ticket
}

func (q *queue) remove(ticket *Ticket) {
	f := q.flows[ticket.request.Account]
	if f == nil {
		return
	}
	if at := slices.Index(f.list, ticket); at >= 0 {
		f.list = slices.Delete(f.list, at, at+1)
		q.size--
	}
	q.forget()
}

// forget removes the accounts without requests whose tag has been reached. Once the queue
// is empty, nothing is owed to anybody.
func (q *queue) forget() {
	if q.size == 0 {
		clear(q.flows)
		q.virtual = 0
		return
	}
	for name, f := range q.flows {
		if len(f.list) == 0 && f.start <= q.virtual {
			delete(q.flows, name)
		}
	}
}

// ahead returns how many requests are served before one that arrives now: those of its own
// account that are more urgent, and as many of each other account as have lower tags.
func (q *queue) ahead(r Request) int {
	own, start := 0, q.virtual
	if f := q.flows[r.Account]; f != nil {
		start = max(start, f.start)
		own, _ = slices.BinarySearchFunc(f.list, &Ticket{request: r, number: q.number + 1}, compare)
	}
	tag, count := start+float64(own), own
	for name, f := range q.flows {
		if name != r.Account {
			count += min(len(f.list), max(0, int(tag-f.start)+1))
		}
	}
	return count
}
