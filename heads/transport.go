package heads

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// Transport is an http.Transport that fails requests whose responses have a malformed head.
// Their connections are closed.
type Transport struct{ *http.Transport }

// NewTransport returns a Transport. It changes the dialer of base.
func NewTransport(base *http.Transport) Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &checkedConn{Conn: conn}, nil
	}
	return Transport{base}
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*checkedConn); ok {
			c.begin()
		}
	}}
	return t.Transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
}

// checkedConn checks the head of the response to each request.
type checkedConn struct {
	net.Conn
	mu      sync.Mutex
	checker Checker
}

func (c *checkedConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checker.Begin()
}

// Read implements net.Conn.
func (c *checkedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		if malformed := c.checker.Feed(p[:n]); malformed != nil {
			_ = c.Close()
			return 0, malformed
		}
	}
	return n, err
}
