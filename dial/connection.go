package dial

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

// bufferSize of a connection's reader, in bytes.
const bufferSize = 8 << 10

// connection is an open connection to a backend server.
type connection struct {
	conn   net.Conn
	raw    syscall.RawConn
	quiets quieter
	reader *bufio.Reader
	// peek and its results are fields, so that a check allocates nothing.
	peek  func(fd uintptr) bool
	quiet bool
	byte  [1]byte
	// expires is when an idle connection is no longer used, because the server
	// may be closing it; zero sets no limit.
	expires time.Time
	// idleSince is the end of the last exchange of a forwarded request; zero
	// on a connection that served none.
	idleSince time.Time
}

// quieter is a connection without a socket that tells by itself whether
// nothing has arrived on it and it is open.
type quieter interface{ IsIdle() bool }

func newConnection(conn net.Conn) *connection {
	c := &connection{conn: conn, reader: bufio.NewReaderSize(conn, bufferSize)}
	c.peek = func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), c.byte[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		c.quiet = err == syscall.EAGAIN
		return true
	}
	switch s := conn.(type) {
	case syscall.Conn:
		c.raw, _ = s.SyscallConn()
	case quieter:
		c.quiets = s
	}
	return c
}

// isExpired reports whether a forwarded request's connection was idle past the
// server's time or for longer than most. Others never expire.
func (c *connection) isExpired(now time.Time, most time.Duration) bool {
	return !c.idleSince.IsZero() && (!now.Before(c.expires) || now.Sub(c.idleSince) > most)
}

// stale reports whether the server closed an idle connection or sent something
// on it unasked. Nothing was written, so another connection can be used.
func (c *connection) stale() bool {
	if c.quiets != nil {
		return !c.quiets.IsIdle()
	}
	if c.raw == nil {
		return false
	}
	c.quiet = false
	return c.raw.Read(c.peek) != nil || !c.quiet
}
