// Package dial is the adapter to backend servers: HTTP/1.1 over connections that
// the package opens, counts and closes itself, so that a server's connection
// limit holds and every failure has a proven verdict. It owns the connection
// pools and the probes that distinguish a slow server from a silent connection. The
// choice of the server and retries of failed requests are left to the callers.
package dial

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// The headroom is the part of the connection limit that is reserved for
	// probes and for replacing silent connections: the limit divided by
	// headroomDivisor, but at least minHeadroom connections.
	headroomDivisor = 10
	minHeadroom     = 2
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
	// silentGrace is added to the deadline of a request on a silent connection.
	// Until then the server may still count the closed connection as open.
	silentGrace = 250 * time.Millisecond
)

// errLimit means that no further connection fits in the server's connection limit.
var errLimit = errors.New("dial: connection limit reached")

// Pool holds the connections to one backend server. Lock order: the lock of
// owner, the lock of Pool, the lock of work.
type Pool struct {
	address string
	dialer  Func
	// probes counts the probes in progress of all pools of a Client, and limits
	// bounds the memory of their responses.
	probes *sync.WaitGroup
	limits *totals

	// namesRequests is set once a response of the server has named its request.
	namesRequests atomic.Bool

	mu   sync.Mutex
	idle []*connection
	// open is the number of open connections, idle or in use.
	open int
	// silentUntil holds, for each silent connection that was closed, the time
	// until which the server may still count it as open.
	silentUntil []time.Time
	// limit is the server's connection limit; zero sets no limit.
	limit  int
	closed bool
	// runningProbe is the probe in progress, or nil.
	runningProbe *probe
	// lastAnswer is the time of the last answer; slowest is a decaying maximum
	// of the duration of exchanges.
	lastAnswer time.Time
	slowest    time.Duration
}

func newPool(address string, limit int, dialer Func, probes *sync.WaitGroup, limits *totals) *Pool {
	return &Pool{address: address, dialer: dialer, probes: probes, limits: limits, limit: limit}
}

// get returns an idle connection that the server has not closed, or opens one.
func (p *Pool) get(ctx context.Context) (*connection, error) {
	if c := p.getIdle(idleTimeout); c != nil {
		return c, nil
	}
	return p.dial(ctx, false)
}

// getIdle returns an idle connection that the server has not closed, or nil. A
// connection of forwarded requests is closed if it has been idle for longer than
// maxIdle.
func (p *Pool) getIdle(maxIdle time.Duration) *connection {
	for {
		c := p.popIdle()
		if c == nil || (!c.isExpired(time.Now(), maxIdle) && !c.isStale()) {
			return c
		}
		p.drop(c)
	}
}

// popIdle removes and returns the connection that became idle last, or nil.
func (p *Pool) popIdle() *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle[n-1] = nil
	p.idle = p.idle[:n-1]
	return c
}

// dial opens a connection within the limit, and within the headroom only if
// useHeadroom is set.
func (p *Pool) dial(ctx context.Context, useHeadroom bool) (*connection, error) {
	if !p.reserve(useHeadroom, time.Now()) {
		return nil, errLimit
	}
	conn, err := p.dialer(ctx, "tcp", p.address)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	return newConnection(conn, p.limits), nil
}

// reserve counts a connection that is about to be opened. It returns false if
// the limit is reached.
func (p *Pool) reserve(useHeadroom bool, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.limit > 0 {
		limit := p.limit
		if !useHeadroom {
			limit = max(1, limit-max(minHeadroom, limit/headroomDivisor))
		}
		if p.open+p.countSilent(now) >= limit {
			return false
		}
	}
	p.open++
	return true
}

// countSilent returns the number of closed silent connections that the server
// may still count as open. The lock must be held.
func (p *Pool) countSilent(now time.Time) int {
	remaining := p.silentUntil[:0]
	for _, until := range p.silentUntil {
		if now.Before(until) {
			remaining = append(remaining, until)
		}
	}
	p.silentUntil = remaining
	return len(remaining)
}

// put adds a connection whose last exchange ended cleanly to the idle ones.
func (p *Pool) put(c *connection) {
	c.source.end()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		p.open--
		_ = c.conn.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// drop closes a connection that cannot be used again.
func (p *Pool) drop(c *connection) {
	c.source.end()
	_ = c.conn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// dropSilent closes a silent connection. The connection counts against the limit
// until the given time, because the server may not detect the close.
func (p *Pool) dropSilent(c *connection, until time.Time) {
	c.source.end()
	_ = c.conn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.silentUntil = append(p.silentUntil, until)
}

// recordAnswer records an answer and how long the exchange took.
func (p *Pool) recordAnswer(took time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastAnswer = now
	p.slowest = max(took, p.slowest-p.slowest/slowestDecay)
}

// OpenCount returns the number of connections that count against the limit:
// open ones and closed silent ones that the server may still count.
func (p *Pool) OpenCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open + p.countSilent(time.Now())
}

// SetLimit sets the server's connection limit. Zero sets no limit.
func (p *Pool) SetLimit(connections int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = connections
}

// Close closes the idle connections. Connections in use are closed when their
// exchanges end.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		_ = c.conn.Close()
		p.open--
	}
	p.idle = nil
}
