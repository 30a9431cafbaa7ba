// Package dial is the adapter to backend servers: HTTP/1.1 over connections
// that the package opens, counts and closes itself, so that a server's
// connection limit holds and every failure has a proven verdict.
package dial

import (
	"context"
	"errors"
	"sync"
	"time"
)

const (
	// headroomShare is the divisor of the connection limit that stays free for
	// probes and for silent connections that were replaced; headroomMin is the
	// least number.
	headroomShare = 10
	headroomMin   = 2
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
	// silentGrace is added to the deadline of a request on a silent connection
	// to give the bound until which the server may still count it.
	silentGrace = 250 * time.Millisecond
)

// errLimit means that the server's connection limit leaves no connection.
var errLimit = errors.New("dial: connection limit reached")

// Pool holds the connections to one backend server. Its lock comes after that
// of owner and before that of work.
type Pool struct {
	address string
	dialer  Func
	// probes counts the probes in progress of all pools of a Client.
	probes *sync.WaitGroup

	mu   sync.Mutex
	idle []*connection
	open int
	// lost holds the bounds of the silent connections that were replaced.
	lost   []time.Time
	limit  int
	closed bool
	// probe is the inspection in progress, or nil.
	probe *inspection
	// answered is the time of the last answer; slowest follows the longest
	// recent exchange.
	answered time.Time
	slowest  time.Duration
}

func newPool(address string, limit int, dialer Func, probes *sync.WaitGroup) *Pool {
	return &Pool{address: address, dialer: dialer, probes: probes, limit: limit}
}

// take returns an idle connection that the server has not closed, or opens one.
func (p *Pool) take(ctx context.Context) (*connection, error) {
	if c := p.takeIdle(idleTime); c != nil {
		return c, nil
	}
	return p.dial(ctx, false)
}

// takeIdle returns an idle connection that the server has not closed, or nil.
// Forwarded requests use none that was idle for longer than most.
func (p *Pool) takeIdle(most time.Duration) *connection {
	for {
		c := p.pop()
		if c == nil || (!c.isExpired(time.Now(), most) && !c.stale()) {
			return c
		}
		p.drop(c)
	}
}

func (p *Pool) pop() *connection {
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

// dial opens a connection within the limit. Only probes may use the headroom.
func (p *Pool) dial(ctx context.Context, probe bool) (*connection, error) {
	if !p.reserve(probe, time.Now()) {
		return nil, errLimit
	}
	conn, err := p.dialer(ctx, "tcp", p.address)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	return newConnection(conn), nil
}

// reserve counts a connection about to be opened.
func (p *Pool) reserve(probe bool, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.limit > 0 {
		limit := p.limit
		if !probe {
			limit = max(1, limit-max(headroomMin, limit/headroomShare))
		}
		if p.open+p.countLost(now) >= limit {
			return false
		}
	}
	p.open++
	return true
}

// countLost counts the replaced connections that the server may still hold.
func (p *Pool) countLost(now time.Time) int {
	kept := p.lost[:0]
	for _, bound := range p.lost {
		if now.Before(bound) {
			kept = append(kept, bound)
		}
	}
	p.lost = kept
	return len(kept)
}

// put returns a connection whose last exchange ended cleanly.
func (p *Pool) put(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		p.open--
		_ = c.conn.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// drop closes a connection whose state is in doubt.
func (p *Pool) drop(c *connection) {
	_ = c.conn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// lose closes a connection that went silent. It counts against the limit until
// the bound, because the server may not notice the close.
func (p *Pool) lose(c *connection, bound time.Time) {
	_ = c.conn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.lost = append(p.lost, bound)
}

// note records an answer and how long it took.
func (p *Pool) note(took time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answered = now
	p.slowest = max(took, p.slowest-p.slowest/slowestDecay)
}

// OpenCount returns the number of connections that count against the limit.
func (p *Pool) OpenCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open + p.countLost(time.Now())
}

// SetLimit sets the server's connection limit.
func (p *Pool) SetLimit(connections int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = connections
}

// Close closes the idle connections; the others close when they are returned.
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
