package fakes

import (
	"net"
	"sync/atomic"
	"time"
)

// pipeBuffer holds what the client has not read yet, in bytes. A server that
// writes more waits, as with a full window of TCP.
const pipeBuffer = 64 << 10

// memoryConn is the client's end of a connection in memory. What arrives is
// read ahead, so that an idle connection shows whether the server closed it.
type memoryConn struct {
	net.Conn
	// ahead is the reading end of what arrived.
	ahead net.Conn
	// unread counts the bytes that arrived and were not read.
	unread atomic.Int64
	// ended is true once the server has closed the connection.
	ended atomic.Bool
}

func newMemoryConn(inner net.Conn) *memoryConn {
	ahead, arriving := net.Pipe()
	c := &memoryConn{Conn: inner, ahead: ahead}
	go c.pump(arriving)
	return c
}

// pump ends when either end of the connection is closed.
func (c *memoryConn) pump(arriving net.Conn) {
	defer func() { _ = arriving.Close() }()
	buffer := make([]byte, pipeBuffer)
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

// IsIdle reports whether nothing has arrived and the connection is open.
func (c *memoryConn) IsIdle() bool { return c.unread.Load() == 0 && !c.ended.Load() }

// Read implements net.Conn.
func (c *memoryConn) Read(b []byte) (int, error) {
	n, err := c.ahead.Read(b)
	c.unread.Add(-int64(n))
	return n, err
}

// Close implements net.Conn.
func (c *memoryConn) Close() error {
	_ = c.ahead.Close()
	return c.Conn.Close()
}

// SetDeadline implements net.Conn.
func (c *memoryConn) SetDeadline(t time.Time) error {
	if err := c.ahead.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *memoryConn) SetReadDeadline(t time.Time) error { return c.ahead.SetReadDeadline(t) }

// memoryEnd is the server's end of a connection in memory. The client's end
// shows a close at once, as over loopback.
type memoryEnd struct {
	net.Conn
	client *memoryConn
}

// Close implements net.Conn.
func (e *memoryEnd) Close() error {
	e.client.ended.Store(true)
	return e.Conn.Close()
}
