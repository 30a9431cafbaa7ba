package fakes

import (
	"net"
	"sync/atomic"
	"time"
)

// readAheadSize is the size of the buffer for data that the client has not read,
// in bytes. A server that writes more blocks, as with a full TCP window.
const readAheadSize = 64 << 10

// memoryClientConn is the client's end of a connection in memory. It reads ahead
// of the client, so that IsIdle detects data or a close on an idle connection.
type memoryClientConn struct {
	net.Conn
	// received is the end of an internal pipe from which the client reads the
	// data that arrived.
	received net.Conn
	// unread is the number of bytes that arrived and that the client has not
	// read.
	unread atomic.Int64
	// serverClosed is set when the server closes the connection.
	serverClosed atomic.Bool
}

func newMemoryClientConn(inner net.Conn) *memoryClientConn {
	received, arriving := net.Pipe()
	c := &memoryClientConn{Conn: inner, received: received}
	go c.readAhead(arriving)
	return c
}

// readAhead copies arriving data to the internal pipe. It returns when either
// end of the connection is closed.
func (c *memoryClientConn) readAhead(arriving net.Conn) {
	defer func() { _ = arriving.Close() }()
	buffer := make([]byte, readAheadSize)
	for {
		n, err := c.Conn.Read(buffer)
		if err != nil {
			return
		}
		c.unread.Add(int64(n))
		if _, err := arriving.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// IsIdle reports whether the connection is open and has no unread data.
func (c *memoryClientConn) IsIdle() bool { return c.unread.Load() == 0 && !c.serverClosed.Load() }

// Read implements net.Conn.
func (c *memoryClientConn) Read(b []byte) (int, error) {
	n, err := c.received.Read(b)
	c.unread.Add(-int64(n))
	return n, err
}

// Close implements net.Conn.
func (c *memoryClientConn) Close() error {
	_ = c.received.Close()
	return c.Conn.Close()
}

// SetDeadline implements net.Conn.
func (c *memoryClientConn) SetDeadline(t time.Time) error {
	if err := c.received.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *memoryClientConn) SetReadDeadline(t time.Time) error { return c.received.SetReadDeadline(t) }

// memoryServerConn is the server's end of a connection in memory. Its Close is
// visible at the client's end at once, as over loopback.
type memoryServerConn struct {
	net.Conn
	client *memoryClientConn
}

// Close implements net.Conn.
func (e *memoryServerConn) Close() error {
	e.client.serverClosed.Store(true)
	return e.Conn.Close()
}
