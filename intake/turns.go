package intake

import (
	"container/heap"
	"sync"
)

// Turns shares processor time between the addresses that send to a host. The reader of a
// connection takes a turn for the bytes that have arrived, and parses them. Readers beyond
// the limit wait in the order of start-time fair queueing (Goyal, Vin and Cheng, 1996): each
// address has a tag that advances by the cost of its turns, and the least tag is next. A
// crowd therefore delays itself and not an address that has sent little. No other lock is
// acquired while its lock is held.
type Turns struct {
	mu      sync.Mutex
	limit   int
	taken   int
	waiting turnQueue
	// tags are the tags of the addresses that are ahead of virtual, the start tag of the
	// turn that was last granted.
	tags    map[string]int64
	virtual int64
	order   uint64
	// sweepAt is the number of tags at which those are removed that virtual has reached.
	sweepAt int
}

// turnCost is the cost of a turn besides its bytes, in bytes: a reader that is woken for one
// byte takes about as long as for so many.
const turnCost = 1 << 10

// leastSweep is the least number of tags at which some are removed.
const leastSweep = 64

// NewTurns returns a table that grants so many turns at a time.
func NewTurns(limit int) *Turns {
	return &Turns{limit: max(1, limit), tags: make(map[string]int64)}
}

// turn is a reader that waits.
type turn struct {
	start int64
	order uint64
	ready chan struct{}
}

// Take asks for a turn for bytes from an address. The decision is Granted or Waiting. End
// ends the turn.
func (t *Turns) Take(address string, bytes int) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	start := max(t.virtual, t.tags[address])
	t.tags[address] = start + turnCost + int64(bytes)
	if t.taken < t.limit {
		t.taken++
		t.virtual = max(t.virtual, start)
		return Granted{}
	}
	t.order++
	w := &turn{start: start, order: t.order, ready: make(chan struct{})}
	heap.Push(&t.waiting, w)
	return Waiting{Ready: w.ready}
}

// End ends a turn and grants the next one.
func (t *Turns) End() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.waiting) == 0 {
		t.taken--
	} else {
		next := heap.Pop(&t.waiting).(*turn)
		t.virtual = max(t.virtual, next.start)
		close(next.ready)
	}
	t.sweep()
}

// sweep removes the tags that virtual has reached. Without a reader nothing is owed to
// anybody.
func (t *Turns) sweep() {
	if t.taken == 0 {
		clear(t.tags)
		t.virtual = 0
		return
	}
	if len(t.tags) < t.sweepAt {
		return
	}
	for address, tag := range t.tags {
		if tag <= t.virtual {
			delete(t.tags, address)
		}
	}
	t.sweepAt = leastSweep + 2*len(t.tags)
}

// turnQueue implements heap.Interface.
type turnQueue []*turn

// Len implements heap.Interface.
func (q turnQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q turnQueue) Less(i, j int) bool {
	if q[i].start != q[j].start {
		return q[i].start < q[j].start
	}
	return q[i].order < q[j].order
}

// Swap implements heap.Interface.
func (q turnQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *turnQueue) Push(x any) { *q = append(*q, x.(*turn)) }

// Pop implements heap.Interface.
func (q *turnQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return last
}
