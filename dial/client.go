package dial

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	json "github.com/goccy/go-json"

	"hyssophub/config"
	"hyssophub/fault"
	"hyssophub/shard"
)

// attempts bounds the connections that are tried for one request. A further
// one is used only while not a byte was written.
const attempts = 3

// stateTime bounds a state request whose context has no deadline.
const stateTime = time.Second

// Client performs exchanges with backend servers. It implements
// owner.Backend.
type Client struct {
	dialer Func

	mu     sync.Mutex
	pools  map[string]*Pool
	closed bool
	probes sync.WaitGroup
}

// Func opens a connection, as net.Dialer.DialContext does.
type Func func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client without connections.
func NewClient() *Client {
	dialer := net.Dialer{Timeout: dialTimeout}
	return NewClientWithDialer(dialer.DialContext)
}

// NewClientWithDialer returns a client that opens its connections with a function,
// for tests in virtual time.
func NewClientWithDialer(dialer Func) *Client {
	return &Client{dialer: dialer, pools: make(map[string]*Pool)}
}

// Do sends a sub-request and returns its outcome. Refused is returned only
// with proof that the request did not run: not a byte was written, or the
// server said so.
func (c *Client) Do(ctx context.Context, server config.Placed, sub shard.Sub) shard.Outcome {
	s := scratches.Get().(*scratch)
	defer s.free()
	s.body.Reset()
	s.search.fill(&sub)
	if err := s.encoder.Encode(&s.search); err != nil {
		return shard.Refused{Reason: fault.ReasonInternal}
	}
	e := exchange{
		pool:     c.pool(server),
		scratch:  s,
		request:  postRequest,
		deadline: earliest(ctx, sub.Deadline),
		patient:  sub.Write,
	}
	left := time.Until(e.deadline)
	if left <= 0 {
		return shard.Refused{Reason: fault.ReasonDeadline}
	}
	s.compose(http.MethodPost, pathSearch, server.Server.Address, left)
	var outcome shard.Outcome
	failure := e.run(ctx, func(r reply) bool {
		var sound bool
		outcome, sound = decodeSearch(r, sub.ID)
		return sound
	})
	if failure != nil {
		return failure
	}
	return outcome
}

// State asks a server for its report.
func (c *Client) State(ctx context.Context, server config.Placed) (shard.Report, error) {
	s := scratches.Get().(*scratch)
	defer s.free()
	s.body.Reset()
	e := exchange{pool: c.pool(server), scratch: s, request: getRequest, deadline: earliest(ctx, time.Now().Add(stateTime)), patient: true}
	s.compose(http.MethodGet, pathState, server.Server.Address, time.Until(e.deadline))
	var (
		report shard.Report
		err    error
	)
	failure := e.run(ctx, func(r reply) bool {
		report, err = decodeReport(r, server.Server.Name)
		return err == nil
	})
	switch f := failure.(type) {
	case shard.Refused:
		return shard.Report{}, fault.New(fault.NotRun{}, f.Reason, "no state of server %s", server.Server.Name)
	case shard.Failed:
		return shard.Report{}, fault.New(f.Verdict, f.Reason, "no state of server %s", server.Server.Name)
	}
	return report, err
}

func decodeReport(r reply, server string) (shard.Report, error) {
	if r.status != http.StatusOK {
		return shard.Report{}, fault.New(fault.NotRun{}, fault.ReasonInternal, "server %s answers %d", server, r.status)
	}
	var w wireState
	if err := json.Unmarshal(r.body, &w); err != nil {
		return shard.Report{}, fault.New(fault.NotRun{}, fault.ReasonTruncated, "server %s: %w", server, err)
	}
	return decodeState(w), nil
}

// Retain closes the connections to all but the given servers. Exchanges in
// progress end as usual.
func (c *Client) Retain(placed []config.Placed) {
	services := make(map[string]*config.Service, len(placed))
	for _, p := range placed {
		services[p.Server.Address] = p.Service
	}
	c.retain(func(address string, p *Pool) bool {
		service, ok := services[address]
		if ok {
			p.SetLimit(service.Connections)
		}
		return ok
	})
}

// retain closes and forgets the pools that are not to be kept.
func (c *Client) retain(keep func(address string, p *Pool) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, p := range c.pools {
		if !keep(address, p) {
			p.Close()
			delete(c.pools, address)
		}
	}
}

// Close closes all connections and waits for probes. Connections of exchanges
// in progress close when these end.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	for _, p := range c.pools {
		p.Close()
	}
	c.mu.Unlock()
	c.probes.Wait()
}

func (c *Client) pool(server config.Placed) *Pool {
	return c.poolOf(server.Server.Address, server.Service.Connections)
}

func (c *Client) poolOf(address string, limit int) *Pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pools[address]
	if !ok {
		p = newPool(address, limit, c.dialer, &c.probes)
		p.closed = c.closed
		c.pools[address] = p
	}
	return p
}

// exchange is one request and its response.
type exchange struct {
	pool     *Pool
	scratch  *scratch
	request  *http.Request
	deadline time.Time
	// patient exchanges wait until the deadline even on a connection that
	// seems silent, because the outcome of a write must not be given up.
	patient bool
}

// run performs the exchange. take converts the reply and reports whether the
// connection may be used again. The returned outcome is nil on success.
func (e *exchange) run(ctx context.Context, take func(reply) bool) shard.Outcome {
	for range attempts {
		conn, err := e.pool.take(ctx)
		if err != nil {
			return shard.Refused{Reason: dialReason(err)}
		}
		start := time.Now()
		r, verdict, err := e.over(ctx, conn, start)
		if err == nil {
			e.pool.note(time.Since(start), time.Now())
			if take(r) && r.reusable {
				e.pool.put(conn)
			} else {
				e.pool.drop(conn)
			}
			return nil
		}
		reason := e.discard(ctx, conn, err)
		if _, unsent := verdict.(fault.NotRun); !unsent {
			return shard.Failed{Verdict: verdict, Reason: reason}
		}
	}
	return shard.Refused{Reason: fault.ReasonConnection}
}

// over performs the exchange over one connection.
func (e *exchange) over(ctx context.Context, conn *connection, start time.Time) (reply, fault.Verdict, error) {
	// Closing the connection on cancellation tells the server to stop.
	stop := context.AfterFunc(ctx, func() { _ = conn.conn.Close() })
	defer stop()
	if err := conn.conn.SetDeadline(e.deadline); err != nil {
		return reply{}, fault.NotRun{}, err
	}
	if verdict, err := e.scratch.send(conn); err != nil {
		return reply{}, verdict, err
	}
	if err := e.first(ctx, conn, start); err != nil {
		return reply{}, fault.MayHaveRun{}, err
	}
	if err := conn.conn.SetReadDeadline(e.deadline); err != nil {
		return reply{}, fault.MayHaveRun{}, err
	}
	r, err := e.scratch.receive(conn, e.request)
	if err != nil {
		return r, verdictOf(r), err
	}
	if !stop() {
		// The connection is closed or about to be.
		r.reusable = false
	}
	return r, fault.Ran{}, nil
}

// verdictOf returns what the head of an incomplete reply proves.
func verdictOf(r reply) fault.Verdict {
	if r.status == http.StatusOK {
		return fault.Ran{}
	}
	return fault.MayHaveRun{}
}

// first waits for the first byte of the response. When it takes long, the
// server is probed to tell a silent connection from a slow server.
func (e *exchange) first(ctx context.Context, conn *connection, start time.Time) error {
	wait := e.pool.patient()
	until := start.Add(wait)
	if !until.Before(e.deadline) {
		return await(conn, e.deadline)
	}
	err := await(conn, until)
	if !isTimeout(err) {
		return err
	}
	switch e.pool.inspect().wait(ctx).(type) {
	case Silent:
		if e.patient {
			break
		}
		// Without an answer on any other connection since then, the server
		// could answer its state fast and its requests slowly.
		limit := time.Now().Add(lateAnswer)
		if !e.pool.answeredSince(start) {
			limit = start.Add(2 * wait)
		}
		if !limit.Before(e.deadline) {
			break
		}
		if err := await(conn, limit); !isTimeout(err) {
			return err
		}
		return errSilent
	case Down:
		return syscall.ECONNREFUSED
	case Slow:
	}
	return await(conn, e.deadline)
}

// discard closes the connection of a failed exchange and returns the reason.
func (e *exchange) discard(ctx context.Context, conn *connection, err error) fault.Reason {
	bound := e.deadline.Add(silentGrace)
	switch {
	case errors.Is(err, errSilent):
		e.pool.lose(conn, bound)
		return fault.ReasonSilent
	case errors.Is(err, syscall.ECONNREFUSED):
		e.pool.drop(conn)
		return fault.ReasonDown
	case ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded):
		e.pool.drop(conn)
		return fault.ReasonStopping
	case ctx.Err() != nil || isTimeout(err):
		e.pool.lose(conn, bound)
		e.pool.inspect()
		return fault.ReasonDeadline
	case errors.Is(err, errTooLarge) || errors.Is(err, errNoLength) || isShort(err):
		e.pool.drop(conn)
		return fault.ReasonTruncated
	default:
		e.pool.drop(conn)
		return fault.ReasonConnection
	}
}

// decodeSearch converts a server's response to a sub-request, and reports
// whether the connection may be used again. The request id in the body guards
// against an answer to another request, which proves nothing about this one.
func decodeSearch(r reply, id uint64) (shard.Outcome, bool) {
	switch r.status {
	case http.StatusOK:
	case http.StatusServiceUnavailable:
		if r.header.Get(headerDraining) != "" {
			return shard.Refused{Reason: fault.ReasonDraining}, true
		}
		return shard.Refused{Reason: fault.ReasonShed, RetryAfter: after(r.header)}, true
	case http.StatusConflict:
		return shard.Refused{Reason: fault.ReasonVersion}, true
	case http.StatusGatewayTimeout:
		return shard.Failed{Verdict: fault.MayHaveRun{}, Reason: fault.ReasonDeadline}, true
	default:
		return shard.Failed{Verdict: fault.MayHaveRun{}, Reason: fault.ReasonInternal}, true
	}
	var w wireAnswer
	if err := json.Unmarshal(r.body, &w); err != nil {
		return shard.Failed{Verdict: fault.Ran{}, Reason: fault.ReasonTruncated}, false
	}
	if w.ID != id {
		return shard.Failed{Verdict: fault.MayHaveRun{}, Reason: fault.ReasonTruncated}, false
	}
	answered := decodeAnswer(w)
	answered.Draining = r.header.Get(headerDraining) != ""
	return answered, true
}

func after(header http.Header) time.Duration {
	ms, err := strconv.ParseInt(header.Get(headerAfter), 10, 64)
	if err != nil || ms < 0 || ms > maxAfter.Milliseconds() {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

func dialReason(err error) fault.Reason {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return fault.ReasonDown
	}
	return fault.ReasonConnection
}
