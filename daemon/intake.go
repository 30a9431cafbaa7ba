package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"hyssophub/intake"
	"hyssophub/limits"
)

// freeHead is the part of a head, in bytes, that is not counted: it fits into the buffer of
// its connection. Each further byte counts headWeight times, because short fields take many
// times their bytes once they are parsed.
const (
	freeHead   = 4 << 10
	headWeight = 16
)

// errNoRoom ends the reading of a head for which there is no memory.
var errNoRoom = errors.New("no memory for the head of a request")

// taken is what a connection holds of the bounds of its listener. The zero value holds
// nothing and counts nothing.
type taken struct {
	table       *intake.Table
	connLimiter *intake.ConnLimiter
	conn        *intake.Conn
	// address is the IP address of the peer.
	address string
	turn    turn
	// inBody is set while the next bytes belong to a body.
	inBody atomic.Bool

	mu sync.Mutex
	// inHead is set while the next bytes belong to a head.
	inHead   bool
	headRead int
	head     *intake.Entry
}

// withTrackedConn adds the connection to the contexts of its requests. It is used as
// http.Server.ConnContext.
func withTrackedConn(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := conn.(*trackedConn); ok && c.taken.connLimiter != nil {
		return limits.WithConn(ctx, c)
	}
	return ctx
}

// BeginBody implements limits.Conn.
func (c *trackedConn) BeginBody(message *intake.Entry) {
	c.taken.inBody.Store(true)
	c.taken.connLimiter.Attach(c.taken.conn, message)
}

// BeginAnswer implements limits.Conn.
func (c *trackedConn) BeginAnswer(message *intake.Entry) {
	c.taken.connLimiter.Attach(c.taken.conn, message)
}

// EndMessage implements limits.Conn.
func (c *trackedConn) EndMessage() {
	c.taken.inBody.Store(false)
	c.taken.turn.end()
	c.taken.connLimiter.Attach(c.taken.conn, nil)
}

// DiscardBody implements limits.Conn.
func (c *trackedConn) DiscardBody() { c.taken.inBody.Store(true) }

// enter enters an accepted connection in the bounds of the listener. It returns false if the
// connection must be closed.
func (a *acceptor) enter(c *trackedConn) bool {
	if a.connLimiter == nil {
		return true
	}
	c.taken.table, c.taken.connLimiter, c.taken.inHead = a.table, a.connLimiter, true
	c.taken.turn.turns, c.taken.address = a.turns, addressOf(c)
	conn, decision := a.connLimiter.Open(c.taken.address, c, time.Now())
	granted, ok := decision.(intake.Granted)
	c.taken.conn = conn
	for _, holder := range granted.Evicted {
		holder.Evict()
	}
	return ok
}

func addressOf(c *trackedConn) string {
	host, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		return c.RemoteAddr().String()
	}
	return host
}

// Evict implements intake.Holder. It closes the connection. One on which a message is in
// progress is reset, which also frees what the kernel has not sent; the last answer on an
// idle one still reaches the client.
func (c *trackedConn) Evict() {
	if c.begun.Load() {
		_ = c.SetLinger(0)
	}
	c.taken.turn.close()
	_ = c.TCPConn.Close()
}

// beforeRead reserves memory for the next bytes of a head. It returns their bound.
func (c *trackedConn) beforeRead(p []byte) ([]byte, error) {
	t := &c.taken
	if t.connLimiter == nil {
		return p, nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.inHead || len(p) == 0 {
		return p, nil
	}
	if t.headRead < freeHead {
		return p[:min(len(p), freeHead-t.headRead)], nil
	}
	now := time.Now()
	if t.head == nil {
		t.head = t.table.Begin(intake.Head{}, t.address, c, now)
	}
	p = p[:min(len(p), freeHead)]
	switch d := t.table.Reserve(t.head, headWeight*int64(len(p)), now).(type) {
	case intake.Granted:
		for _, holder := range d.Evicted {
			holder.Evict()
		}
		return p, nil
	default:
		return nil, errNoRoom
	}
}

// afterRead records the bytes that have arrived, and waits for a turn to parse them.
func (c *trackedConn) afterRead(n int) {
	t := &c.taken
	if t.connLimiter == nil || n <= 0 {
		return
	}
	t.connLimiter.Receive(t.conn, n)
	if t.recordHead(n) || t.inBody.Load() {
		t.turn.take(t.address, n)
	}
}

// recordHead records bytes of a head. It reports whether the bytes belong to one.
func (t *taken) recordHead(n int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.inHead {
		return false
	}
	t.headRead += n
	if t.head != nil {
		t.table.Progress(t.head, int64(n), time.Now())
	}
	return true
}

// record follows the states of a connection.
func (t *taken) record(state http.ConnState) {
	if t.connLimiter == nil {
		return
	}
	t.turn.end()
	t.inBody.Store(false)
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case http.StateNew:
	case http.StateActive:
		t.inHead = false
		t.connLimiter.Occupy(t.conn)
		if t.head != nil {
			t.table.Hold(t.head)
		}
	case http.StateIdle:
		t.inHead, t.headRead = true, 0
		t.connLimiter.Free(t.conn, time.Now())
		t.endHead()
	case http.StateClosed, http.StateHijacked:
		t.endHead()
	}
}

func (t *taken) endHead() {
	if t.head != nil {
		t.table.End(t.head)
		t.head = nil
	}
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	err := c.TCPConn.Close()
	c.taken.turn.close()
	if c.taken.connLimiter != nil && c.taken.conn != nil {
		c.taken.connLimiter.Close(c.taken.conn)
	}
	return err
}
