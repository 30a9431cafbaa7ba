package fakes

import (
	"net"
	"sync"
	"time"
)

// listener wraps accepted connections. It delays and counts them, and can stop
// the traffic on them without closing them.
type listener struct {
	net.Listener
	// maxConns is the connection limit; zero means none.
	maxConns int
	// connectTime delays the first read of each connection.
	connectTime time.Duration

	mu        sync.Mutex
	open      []*conn
	opened    int
	breaches  int
	readDelay time.Duration
}

func newListener(inner net.Listener, maxConns int, connectTime time.Duration) *listener {
	return &listener{Listener: inner, maxConns: maxConns, connectTime: connectTime}
}

// Accept closes connections above the limit and counts them.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(inner); c != nil {
			return c, nil
		}
		_ = inner.Close()
	}
}

func (l *listener) admit(inner net.Conn) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.maxConns > 0 && len(l.open) >= l.maxConns {
		l.breaches++
		return nil
	}
	c := &conn{Conn: inner, listener: l, closed: make(chan struct{}), silenced: make(chan struct{})}
	l.open = append(l.open, c)
	l.opened++
	return c
}

func (l *listener) counts() (open, opened, breaches int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open), l.opened, l.breaches
}

func (l *listener) silenceEvery(nth int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for i := 0; i < len(l.open); i += nth {
		l.open[i].silenceOnce.Do(func() { close(l.open[i].silenced) })
		n++
	}
	return n
}

func (l *listener) setReadDelay(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readDelay = delay
}

func (l *listener) closeAll() {
	l.mu.Lock()
	open := l.open
	l.open = nil
	l.mu.Unlock()
	for _, c := range open {
		_ = c.Conn.Close()
	}
}

func (l *listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, o := range l.open {
		if o == c {
			l.open = append(l.open[:i:i], l.open[i+1:]...)
			return
		}
	}
}

func (l *listener) currentReadDelay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.readDelay
}

// silentHold is the time that a silent connection stays open at the server
// after its caller closed it.
const silentHold = 250 * time.Millisecond

// conn is an accepted connection. A silent connection discards the data that
// arrives and the data that the server writes.
type conn struct {
	net.Conn
	listener    *listener
	connectOnce sync.Once
	silenceOnce sync.Once
	silenced    chan struct{}
	closeOnce   sync.Once
	closed      chan struct{}
}

// Read reads from the network. On a silent connection it returns no data: it
// blocks until the caller closes the connection, and up to silentHold longer.
func (c *conn) Read(b []byte) (int, error) {
	c.connectOnce.Do(func() { time.Sleep(c.listener.connectTime) })
	n, err := c.Conn.Read(b)
	if delay := c.listener.currentReadDelay(); delay > 0 && n > 0 {
		time.Sleep(delay)
	}
	if !c.silent() {
		return n, err
	}
	for err == nil {
		_, err = c.Conn.Read(b)
	}
	select {
	case <-c.closed:
	case <-time.After(silentHold):
	}
	return 0, err
}

// Write writes to the network. On a silent connection it discards the data.
func (c *conn) Write(b []byte) (int, error) {
	if c.silent() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection and removes it from its listener.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.listener.remove(c)
	})
	return c.Conn.Close()
}

func (c *conn) silent() bool {
	select {
	case <-c.silenced:
		return true
	default:
		return false
	}
}
