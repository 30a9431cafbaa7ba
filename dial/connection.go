package dial

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

// bufferSize is the size of a connection's read buffer, in bytes.
const bufferSize = 8 << 10

// connection is an open connection to a backend server.
type connection struct {
	conn net.Conn
	// raw and idleCheck are the means to check that the connection is idle: raw
	// for a socket, idleCheck for a connection without one.
	raw       syscall.RawConn
	idleCheck idleChecker
	reader    *bufio.Reader
	// source is what reader reads: conn within the bounds of a response.
	source *source
	// bodies bounds the bodies in progress on all connections of the client.
	bodies *total
	// memory is that of the request in progress.
	memory Memory
	// peek, its result isIdle and its buffer are fields, so that a check
	// allocates nothing.
	peek   func(fd uintptr) bool
	isIdle bool
	buffer [1]byte
	// expires is the time after which an idle connection of forwarded requests
	// is no longer used, because the server may be closing it.
	expires time.Time
	// idleSince is the end of the last exchange of a forwarded request, or zero
	// if the connection served none of these.
	idleSince time.Time
}

// idleChecker is a connection without a socket, such as one in memory. IsIdle
// reports whether the connection is open and holds no unread bytes.
type idleChecker interface{ IsIdle() bool }

func newConnection(conn net.Conn, limits *totals) *connection {
	c := &connection{conn: conn, source: &source{conn: conn, heads: charge{total: &limits.heads}}, bodies: &limits.bodies}
	c.reader = bufio.NewReaderSize(c.source, bufferSize)
	c.peek = func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), c.buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		c.isIdle = err == syscall.EAGAIN
		return true
	}
	switch s := conn.(type) {
	case syscall.Conn:
		c.raw, _ = s.SyscallConn()
	case idleChecker:
		c.idleCheck = s
	}
	return c
}

// beginHead expects the head of a response, of which the reader may have buffered bytes
// after a response that is skipped.
func (c *connection) beginHead() error {
	c.source.beginHead()
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	return c.source.checker.Feed(buffered)
}

// isExpired reports whether a connection of forwarded requests has been idle past
// its expiry or for longer than maxIdle. Other connections never expire.
func (c *connection) isExpired(now time.Time, maxIdle time.Duration) bool {
	return !c.idleSince.IsZero() && (!now.Before(c.expires) || now.Sub(c.idleSince) > maxIdle)
}

// isStale reports whether the server closed an idle connection or sent bytes on
// it without a request. No request was written yet, so the caller can use another
// connection.
func (c *connection) isStale() bool {
	if c.idleCheck != nil {
		return !c.idleCheck.IsIdle()
	}
	if c.raw == nil {
		return false
	}
	c.isIdle = false
	return c.raw.Read(c.peek) != nil || !c.isIdle
}
