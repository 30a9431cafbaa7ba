package fakes

import (
	"net"
	"sync/atomic"
	"time"
)

// pipeBuffer holds what the client has not read yet, in bytes. A server that
// writes more waits, as with a full window of TCP.
const readAheadSize = 64 << 10

// memoryConn is the client's end of a connection in memory. What arrives is
// read ahead, so that an idle connection shows whether the server closed it.
type memoryClientConn struct {
	net.Conn
	// ahead is the reading end of what arrived.
	received net.Conn
	// unread counts the bytes that arrived and were not read.
	unread atomic.Int64
	// ended is true once the server has closed the connection.
	serverClosed atomic.Bool
}

func newMemoryClientConn(inner net.Conn) *memoryClientConn {
	received, arriving := net.Pipe()
	c := &memoryClientConn{Conn: inner, received: received}
	go c.readAhead(arriving)
	return c
}

// pump ends when either end of the connection is closed.
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

// Quiet reports whether nothing has arrived and the connection is open.
func (c *memoryClientConn) Quiet() bool { return c.unread.Load() == 0 && !c.serverClosed.Load() }

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

// memoryEnd is the server's end of a connection in memory. The client's end
// shows a close at once, as over loopback.
type memoryServerConn struct {
	net.Conn
	client *memoryClientConn
}

// Close implements net.Conn.
func (e *memoryServerConn) Close() error {
	e.client.serverClosed.Store(true)
	return e.Conn.Close()
}
