package intake

import (
	"container/heap"
	"sync"
)

// Turns shares processor time between the addresses that send to a host, and between the
// connections of each. The reader of a connection takes a turn for the bytes that have
// arrived, and parses them. Readers beyond the limit wait in the order of start-time fair
// queueing (Goyal, Vin and Cheng, 1996): each address has a tag that advances by the cost of
// its turns, and the least tag is next. Of the connections of an address it is the one that
// has had least. A crowd therefore delays itself and not an address, or behind one address a
// connection, that has sent little. No other lock is acquired while its lock is held.
type Turns struct {
	mu    sync.Mutex
	limit int
	taken int
	// flows holds the addresses with turns that wait, and those whose tag is ahead of
	// virtual, the tag of the turn that was last granted. backlog holds the former.
	flows   map[string]*flow
	backlog flowQueue
	virtual int64
	// arrivals counts the turns that had to wait.
	arrivals uint64
	// sweepAt is the number of flows at which those are removed that virtual has reached.
	sweepAt int
}

const (
	// turnCost is the cost of a turn besides its bytes, in bytes: a reader that is woken
	// for one byte takes about as long as for so many.
	turnCost = 1 << 10
	// leastSweep is the least number of flows at which some are removed.
	leastSweep = 64
)

// NewTurns returns a table that grants so many turns at a time.
func NewTurns(limit int) *Turns {
	return &Turns{limit: max(1, limit), flows: make(map[string]*flow)}
}

// flow is the turns of an address.
type flow struct {
	tag     int64
	waiting turnQueue
}

// turn is a reader that waits.
type turn struct {
	// spent is the cost of the turns that its connection has had.
	spent int64
	cost  int64
	order uint64
	ready chan struct{}
}

// Cost returns the cost of a turn for bytes that have arrived.
func Cost(bytes int) int64 { return turnCost + int64(bytes) }

// Take asks for a turn of a cost, for a connection from an address whose turns have cost
// spent so far. The decision is Granted or Waiting. End ends the turn.
func (t *Turns) Take(address string, spent, cost int64) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.flows[address]
	if f == nil {
		f = &flow{}
		t.flows[address] = f
	}
	if len(f.waiting) == 0 {
		f.tag = max(f.tag, t.virtual)
	}
	if t.taken < t.limit {
		t.taken++
		t.advance(f, cost)
		return Granted{}
	}
	t.arrivals++
	w := &turn{spent: spent, cost: cost, order: t.arrivals, ready: make(chan struct{})}
	heap.Push(&f.waiting, w)
	if len(f.waiting) == 1 {
		heap.Push(&t.backlog, f)
	}
	return Waiting{Ready: w.ready}
}

// advance grants a turn of an address.
func (t *Turns) advance(f *flow, cost int64) {
	t.virtual = f.tag
	f.tag += cost
}

// TurnCounts are figures for the metrics.
type TurnCounts struct {
	// Waiting is the number of turns that wait, and Delayed counts all that had to.
	Waiting int
	Delayed uint64
}

// Counts returns figures for the metrics.
func (t *Turns) Counts() TurnCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := TurnCounts{Delayed: t.arrivals}
	for _, f := range t.backlog {
		counts.Waiting += len(f.waiting)
	}
	return counts
}

// End ends a turn and grants the next one.
func (t *Turns) End() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.backlog) == 0 {
		t.taken--
	} else {
		t.grant()
	}
	t.sweep()
}

// grant grants the next turn that waits.
func (t *Turns) grant() {
	f := t.backlog[0]
	w := heap.Pop(&f.waiting).(*turn)
	t.advance(f, w.cost)
	if len(f.waiting) == 0 {
		heap.Pop(&t.backlog)
	} else {
		heap.Fix(&t.backlog, 0)
	}
	close(w.ready)
}

// sweep removes the flows that wait for nothing and that virtual has reached. Without a
// reader nothing is owed to anybody.
func (t *Turns) sweep() {
	if t.taken == 0 {
		clear(t.flows)
		t.virtual = 0
		return
	}
	if len(t.flows) < t.sweepAt {
		return
	}
	for address, f := range t.flows {
		if len(f.waiting) == 0 && f.tag <= t.virtual {
			delete(t.flows, address)
		}
	}
	t.sweepAt = leastSweep + 2*len(t.flows)
}

// flowQueue orders addresses by their tags.
type flowQueue []*flow

// Len implements heap.Interface.
func (q flowQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q flowQueue) Less(i, j int) bool {
	if q[i].tag != q[j].tag {
		return q[i].tag < q[j].tag
	}
	return q[i].waiting[0].order < q[j].waiting[0].order
}

// Swap implements heap.Interface.
func (q flowQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *flowQueue) Push(x any) { *q = append(*q, x.(*flow)) }

// Pop implements heap.Interface.
func (q *flowQueue) Pop() any { return popLast((*[]*flow)(q)) }

// turnQueue orders the turns of an address by what their connections have had.
type turnQueue []*turn

// Len implements heap.Interface.
func (q turnQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q turnQueue) Less(i, j int) bool {
	if q[i].spent != q[j].spent {
		return q[i].spent < q[j].spent
	}
	return q[i].order < q[j].order
}

// Swap implements heap.Interface.
func (q turnQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *turnQueue) Push(x any) { *q = append(*q, x.(*turn)) }

// Pop implements heap.Interface.
func (q *turnQueue) Pop() any { return popLast((*[]*turn)(q)) }

func popLast[T any](list *[]*T) *T {
	last := len(*list) - 1
	x := (*list)[last]
	(*list)[last] = nil
	*list = (*list)[:last]
	return x
}
