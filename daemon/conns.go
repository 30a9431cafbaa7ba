package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// connTable holds the open connections of an HTTP server. While its lock is held, only
// those of a connection's bounds and of package intake are acquired.
type connTable struct {
	mu    sync.Mutex
	conns map[*trackedConn]http.ConnState
	// endAt is the time at which connections without a request end; zero before
	// endIdle.
	endAt time.Time
	// empty is closed and replaced whenever the last connection ends.
	empty chan struct{}
}

func (t *connTable) init() {
	t.conns = make(map[*trackedConn]http.ConnState)
	t.empty = make(chan struct{})
}

// recordState is used as http.Server.ConnState.
func (t *connTable) recordState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*trackedConn)
	if !ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	c.taken.record(state)
	switch state {
	case http.StateNew, http.StateIdle:
		t.conns[c] = state
		c.begun.Store(false)
		// The time limit of the last answer does not hold for the next one.
		_ = c.SetWriteDeadline(time.Time{})
		if !t.endAt.IsZero() {
			c.end(t.endAt)
		}
	case http.StateActive:
		t.conns[c] = state
		if c.ending.Load() {
			// The deadline would end the request.
			c.resume()
		}
	case http.StateClosed, http.StateHijacked:
		delete(t.conns, c)
		if len(t.conns) == 0 {
			close(t.empty)
			t.empty = make(chan struct{})
		}
	}
}

// endIdle ends the idle connections now, and at the given time the new ones on which
// no request has arrived by then.
func (t *connTable) endIdle(newUntil time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endAt = newUntil
	for c, state := range t.conns {
		switch state {
		case http.StateIdle:
			c.end(time.Now())
		case http.StateNew:
			c.end(newUntil)
		}
	}
}

// queuedBytes returns what the kernel holds for the connections: bytes that have arrived and
// are not read, and bytes that the peers have not acknowledged.
func (t *connTable) queuedBytes() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var sum int64
	for c := range t.conns {
		sum += c.queuedBytes()
	}
	return sum
}

// wait waits until all connections have ended, or for the end of ctx, whose error it
// returns.
func (t *connTable) wait(ctx context.Context) error {
	t.mu.Lock()
	empty, count := t.empty, len(t.conns)
	t.mu.Unlock()
	if count == 0 {
		return nil
	}
	select {
	case <-empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
