package daemon

import (
	"sync/atomic"

	"hyssophub/intake"
)

// turn is the turn of a connection in intake.Turns. A connection has one from the arrival
// of bytes of a head or a body until it reads again, writes, or the message has ended. The
// zero value takes no turns.
type turn struct {
	turns *intake.Turns
	// spent is the cost of all turns so far. Only the reader uses it.
	spent int64
	// held is set while the connection has a turn. It gets none once closed is set.
	held   atomic.Bool
	closed atomic.Bool
}

// take waits for a turn for bytes that have arrived.
func (t *turn) take(address string, bytes int) {
	if t.turns == nil || t.closed.Load() {
		return
	}
	cost := intake.Cost(bytes)
	if w, ok := t.turns.Take(address, t.spent, cost).(intake.Waiting); ok {
		<-w.Ready
	}
	t.spent += cost
	t.held.Store(true)
	if t.closed.Load() {
		t.end()
	}
}

func (t *turn) end() {
	if t.held.Swap(false) {
		t.turns.End()
	}
}

func (t *turn) close() {
	t.closed.Store(true)
	t.end()
}
