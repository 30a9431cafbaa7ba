package daemon

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"hyssophub/intake"
)

const (
	// drainPause is the time without a new connection after which the queue of
	// accepted connections counts as empty. Handshakes in progress end within a round
	// trip.
	drainPause = 50 * time.Millisecond
	// drainLimit bounds the time for which a closing acceptor accepts connections.
	drainLimit = 500 * time.Millisecond
)

// acceptor is a TCP listener that hands out the connections in the kernel's queue
// before it closes. Closing the socket at once would reset them.
type acceptor struct {
	*net.TCPListener
	draining atomic.Bool
	// drainUntil is set before draining.
	drainUntil time.Time
	// connLimiter and table bound the connections and heads, and turns orders the reading;
	// nil sets no bound.
	connLimiter *intake.ConnLimiter
	table       *intake.Table
	turns       *intake.Turns
}

// Accept implements net.Listener.
func (a *acceptor) Accept() (net.Conn, error) {
	for {
		if a.draining.Load() {
			_ = a.SetDeadline(earlier(time.Now().Add(drainPause), a.drainUntil))
		}
		conn, err := a.AcceptTCP()
		if err != nil {
			if a.draining.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
				err = net.ErrClosed
			}
			return nil, err
		}
		c := &trackedConn{TCPConn: conn}
		if a.enter(c) {
			return c, nil
		}
		_ = conn.Close()
	}
}

// drain makes Accept fail as soon as the kernel's queue is empty.
func (a *acceptor) drain() {
	if a.draining.Load() {
		return
	}
	a.drainUntil = time.Now().Add(drainLimit)
	a.draining.Store(true)
	_ = a.SetDeadline(earlier(time.Now().Add(drainPause), a.drainUntil))
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// trackedConn is an accepted connection that can be ended while it is idle without
// losing a request whose first bytes have arrived.
type trackedConn struct {
	*net.TCPConn
	// ending is set if a read deadline was set to end the connection.
	ending atomic.Bool
	// begun is set from the first byte of a request until the connection is idle.
	begun atomic.Bool
	// taken is what the connection holds of the bounds of its listener.
	taken taken
}

// Read implements net.Conn. The deadline that ends an idle connection has no effect
// once bytes of a request have arrived.
func (c *trackedConn) Read(p []byte) (int, error) {
	c.taken.turn.end()
	p, err := c.beforeRead(p)
	if err != nil {
		return 0, err
	}
	for {
		n, err := c.TCPConn.Read(p)
		if n > 0 {
			c.begun.Store(true)
		}
		c.afterRead(n)
		ended := n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.ending.Load()
		if !ended || (!c.begun.Load() && !c.hasBytes()) {
			return n, err
		}
		c.resume()
	}
}

// Write implements net.Conn. It may wait for the peer, so it keeps no turn.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.taken.turn.end()
	if c.taken.conn != nil {
		c.taken.conn.BeginWrite(time.Now())
		defer c.taken.conn.EndWrite()
	}
	return c.TCPConn.Write(p)
}

// hasBytes reports whether the kernel holds unread bytes of the connection.
func (c *trackedConn) hasBytes() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	has := false
	_ = raw.Control(func(fd uintptr) {
		var buffer [1]byte
		n, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		has = err == nil && n > 0
	})
	return has
}

// queuedBytes returns the bytes in the kernel's queues of the connection; zero if it is
// closed.
func (c *trackedConn) queuedBytes() int64 {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	var sum int64
	_ = raw.Control(func(fd uintptr) {
		for _, request := range []uint{unix.SIOCINQ, unix.SIOCOUTQ} {
			if n, err := unix.IoctlGetInt(int(fd), request); err == nil {
				sum += int64(n)
			}
		}
	})
	return sum
}

// end makes reads fail from a time on.
func (c *trackedConn) end(at time.Time) {
	c.ending.Store(true)
	_ = c.SetReadDeadline(at)
}

// resume undoes end.
func (c *trackedConn) resume() {
	c.ending.Store(false)
	_ = c.SetReadDeadline(time.Time{})
}
