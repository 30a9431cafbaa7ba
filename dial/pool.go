// Package dial is the adapter to backend servers: HTTP/1.1 over connections
// that the package opens, counts and closes itself, so that a server's
// connection limit holds and every failure has a proven verdict.
package dial

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"
)

// bufferSize of a connection's reader and writer, in bytes.
const bufferSize = 8 << 10

// connection is an open connection to a backend server.
type connection struct {
	conn   net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	used   time.Time
}

// Pool holds the connections to one backend server. Its lock comes after that
// of owner and before that of work.
type Pool struct {
	address string
	dialer  net.Dialer

	mu     sync.Mutex
	idle   []*connection
	open   int
	closed bool
}

func newPool(address string) *Pool { return &Pool{address: address} }

// take returns an idle connection or opens one.
func (p *Pool) take(ctx context.Context) (*connection, error) {
	p.mu.Lock()
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		return c, nil
	}
	p.open++
	p.mu.Unlock()
	conn, err := p.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	return &connection{
		conn:   conn,
		reader: bufio.NewReaderSize(conn, bufferSize),
		writer: bufio.NewWriterSize(conn, bufferSize),
	}, nil
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
	c.used = time.Now()
	p.idle = append(p.idle, c)
}

// drop closes a connection whose state is in doubt.
func (p *Pool) drop(c *connection) {
	_ = c.conn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// Open returns the number of open connections.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
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
