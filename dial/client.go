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

// maxAttempts bounds the connections that are tried for one request. Another
// connection is tried only if no byte of the request was written.
const maxAttempts = 3

// stateTimeout bounds a state request whose context has no earlier deadline.
const stateTimeout = time.Second

// Client performs exchanges with backend servers. It implements
// owner.Backend.
type Client struct {
	dialer Func

	mu sync.Mutex
	// pools holds the pool of each server, by address.
	pools  map[string]*Pool
	closed bool
	// probes counts the probes in progress of all pools.
	probes sync.WaitGroup
	limits *totals
}

// Func opens a connection, as net.Dialer.DialContext does.
type Func func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client that opens TCP connections when they are needed.
func NewClient() *Client {
	c := NewClientWithDialer(nil)
	dialer := net.Dialer{Timeout: dialTimeout, Control: c.limitReceive}
	c.dialer = dialer.DialContext
	return c
}

// NewClientWithDialer returns a client that opens its connections with dialer, for
// tests in virtual time.
func NewClientWithDialer(dialer Func) *Client {
	return &Client{dialer: dialer, pools: make(map[string]*Pool), limits: newTotals()}
}

// Do sends a sub-request and returns its outcome. Refused is returned only with
// proof that the request did not run: no byte of it was written, or the server's
// response says so.
func (c *Client) Do(ctx context.Context, server config.PlacedServer, sub shard.SubRequest) shard.Outcome {
	s := scratchPool.Get().(*scratch)
	defer s.release()
	s.requestBody.Reset()
	s.search.fill(&sub)
	if err := s.encoder.Encode(&s.search); err != nil {
		return shard.Refused{Reason: fault.ReasonInternal}
	}
	e := exchange{
		pool:              c.pool(server),
		scratch:           s,
		request:           postRequest,
		deadline:          earliest(ctx, sub.Deadline),
		waitUntilDeadline: sub.Write,
	}
	left := time.Until(e.deadline)
	if left <= 0 {
		return shard.Refused{Reason: fault.ReasonDeadline}
	}
	s.compose(http.MethodPost, pathSearch, server.Server.Address, left)
	var outcome shard.Outcome
	failure := e.run(ctx, func(r reply) bool {
		var reusable bool
		outcome, reusable = decodeSearch(r, sub.ID)
		return reusable
	})
	if failure != nil {
		return failure
	}
	return outcome
}

// State requests the state of a server.
func (c *Client) State(ctx context.Context, server config.PlacedServer) (shard.StateReport, error) {
	s := scratchPool.Get().(*scratch)
	defer s.release()
	s.requestBody.Reset()
	e := exchange{pool: c.pool(server), scratch: s, request: getRequest, deadline: earliest(ctx, time.Now().Add(stateTimeout)), waitUntilDeadline: true}
	s.compose(http.MethodGet, pathState, server.Server.Address, time.Until(e.deadline))
	var (
		report shard.StateReport
		err    error
	)
	failure := e.run(ctx, func(r reply) bool {
		report, err = decodeReport(r, server.Server.Name)
		return err == nil
	})
	switch f := failure.(type) {
	case shard.Refused:
		return shard.StateReport{}, fault.New(fault.NotRun{}, f.Reason, "get state of server %s", server.Server.Name)
	case shard.Failed:
		return shard.StateReport{}, fault.New(f.Verdict, f.Reason, "get state of server %s", server.Server.Name)
	}
	return report, err
}

func decodeReport(r reply, server string) (shard.StateReport, error) {
	if r.status != http.StatusOK {
		return shard.StateReport{}, fault.New(fault.NotRun{}, fault.ReasonInternal, "state request to server %s: status %d", server, r.status)
	}
	var state wireState
	if err := json.Unmarshal(r.body, &state); err != nil {
		return shard.StateReport{}, fault.New(fault.NotRun{}, fault.ReasonTruncated, "decode state of server %s: %w", server, err)
	}
	return decodeState(state), nil
}

// Retain closes the connections to all but the given servers, and sets the
// connection limits of the given ones. A connection in use is closed when its
// exchange ends.
func (c *Client) Retain(placed []config.PlacedServer) {
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

// retain closes and removes the pools for which keep returns false.
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

// Close closes all idle connections and waits for the probes in progress. A
// connection in use is closed when its exchange ends.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	for _, p := range c.pools {
		p.Close()
	}
	c.mu.Unlock()
	c.probes.Wait()
}

func (c *Client) pool(server config.PlacedServer) *Pool {
	return c.poolAt(server.Server.Address, server.Service.Connections)
}

// poolAt returns the pool of the server at an address. It creates the pool with
// the given connection limit.
func (c *Client) poolAt(address string, limit int) *Pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pools[address]
	if !ok {
		p = newPool(address, limit, c.dialer, &c.probes, c.limits)
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
	// waitUntilDeadline makes the exchange wait for the response until the
	// deadline even on a silent connection, because a write must not be abandoned
	// before its outcome is known.
	waitUntilDeadline bool
}

// run performs the exchange. decode converts the reply and reports whether the
// connection may be used again. The returned outcome is nil on success.
func (e *exchange) run(ctx context.Context, decode func(reply) bool) shard.Outcome {
	for range maxAttempts {
		conn, err := e.open(ctx)
		if err != nil {
			return shard.Refused{Reason: dialReason(err)}
		}
		start := time.Now()
		r, verdict, err := e.runOn(ctx, conn, start)
		if err == nil {
			e.pool.recordAnswer(time.Since(start), time.Now())
			if decode(r) && r.reusable {
				e.pool.put(conn)
			} else {
				e.pool.drop(conn)
			}
			return nil
		}
		reason := e.closeFailed(ctx, conn, err)
		if _, unsent := verdict.(fault.NotRun); !unsent {
			return shard.Failed{Verdict: verdict, Reason: reason}
		}
	}
	return shard.Refused{Reason: fault.ReasonConnection}
}

// open returns a connection, within the deadline of the exchange.
func (e *exchange) open(ctx context.Context) (*connection, error) {
	ctx, cancel := context.WithDeadline(ctx, e.deadline)
	defer cancel()
	return e.pool.get(ctx)
}

// runOn performs the exchange over one connection. On an error, the verdict says
// whether the request may have run.
func (e *exchange) runOn(ctx context.Context, conn *connection, start time.Time) (reply, fault.Verdict, error) {
	// On cancellation the connection is closed, which signals the server to stop.
	stop := context.AfterFunc(ctx, func() { _ = conn.conn.Close() })
	defer stop()
	if err := conn.conn.SetDeadline(e.deadline); err != nil {
		return reply{}, fault.NotRun{}, err
	}
	if verdict, err := e.scratch.send(conn); err != nil {
		return reply{}, verdict, err
	}
	if err := e.awaitFirstByte(ctx, conn, start); err != nil {
		return reply{}, fault.MayHaveRun{}, err
	}
	if err := conn.conn.SetReadDeadline(e.deadline); err != nil {
		return reply{}, fault.MayHaveRun{}, err
	}
	r, err := e.scratch.receive(conn, e.request)
	if err != nil {
		return r, partialVerdict(r), err
	}
	if !stop() {
		// The context ended, so the connection is closed or about to be closed.
		r.reusable = false
	}
	return r, fault.Ran{}, nil
}

// partialVerdict returns the verdict that the status of an incomplete reply
// proves.
func partialVerdict(r reply) fault.Verdict {
	if r.status == http.StatusOK {
		return fault.Ran{}
	}
	return fault.MayHaveRun{}
}

// awaitFirstByte waits for the first byte of the response. If the byte does not
// arrive within the probe delay, the server is probed to distinguish a silent
// connection from a slow server.
func (e *exchange) awaitFirstByte(ctx context.Context, conn *connection, start time.Time) error {
	delay := e.pool.probeDelay()
	until := start.Add(delay)
	if !until.Before(e.deadline) {
		return awaitResponse(conn, e.deadline)
	}
	err := awaitResponse(conn, until)
	if !isTimeout(err) {
		return err
	}
	switch e.pool.startProbe().wait(ctx).(type) {
	case Silent:
		if e.waitUntilDeadline {
			break
		}
		// A server that answered no request on any connection since the start may
		// answer state requests fast and all others slowly, so this exchange waits
		// longer before its connection is taken to be silent.
		limit := time.Now().Add(lateAnswerTime)
		if !e.pool.answeredSince(start) {
			limit = start.Add(2 * delay)
		}
		if !limit.Before(e.deadline) {
			break
		}
		if err := awaitResponse(conn, limit); !isTimeout(err) {
			return err
		}
		return errSilent
	case Down:
		return syscall.ECONNREFUSED
	case Slow:
	}
	return awaitResponse(conn, e.deadline)
}

// closeFailed closes the connection of a failed exchange and returns the reason of
// the failure.
func (e *exchange) closeFailed(ctx context.Context, conn *connection, err error) fault.Reason {
	silentUntil := e.deadline.Add(silentGrace)
	switch {
	case errors.Is(err, errSilent):
		e.pool.dropSilent(conn, silentUntil)
		return fault.ReasonSilentConnection
	case errors.Is(err, syscall.ECONNREFUSED):
		e.pool.drop(conn)
		return fault.ReasonDown
	case ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded):
		e.pool.drop(conn)
		return fault.ReasonStopping
	case ctx.Err() != nil || isTimeout(err):
		e.pool.dropSilent(conn, silentUntil)
		e.pool.startProbe()
		return fault.ReasonDeadline
	case IsOversized(err) || errors.Is(err, errNoLength) || IsTruncated(err):
		e.pool.drop(conn)
		return fault.ReasonTruncated
	default:
		e.pool.drop(conn)
		return fault.ReasonConnection
	}
}

// decodeSearch converts a server's response to a sub-request, and reports whether
// the connection may be used again. The body must hold the request's id: an answer
// to another request proves nothing about this request.
func decodeSearch(r reply, id uint64) (shard.Outcome, bool) {
	switch r.status {
	case http.StatusOK:
	case http.StatusServiceUnavailable:
		if r.header.Get(headerDraining) != "" {
			return shard.Refused{Reason: fault.ReasonDraining}, true
		}
		return shard.Refused{Reason: fault.ReasonShed, RetryAfter: retryAfter(r.header)}, true
	case http.StatusConflict:
		return shard.Refused{Reason: fault.ReasonVersionMissing}, true
	case http.StatusGatewayTimeout:
		return shard.Failed{Verdict: fault.MayHaveRun{}, Reason: fault.ReasonDeadline}, true
	default:
		return shard.Failed{Verdict: fault.MayHaveRun{}, Reason: fault.ReasonInternal}, true
	}
	var answer wireAnswer
	if err := json.Unmarshal(r.body, &answer); err != nil {
		return shard.Failed{Verdict: fault.Ran{}, Reason: fault.ReasonTruncated}, false
	}
	if answer.ID != id {
		return shard.Failed{Verdict: fault.MayHaveRun{}, Reason: fault.ReasonTruncated}, false
	}
	answered := decodeAnswer(answer)
	answered.Draining = r.header.Get(headerDraining) != ""
	return answered, true
}

// retryAfter returns the time after which the server requests a retry, or zero if
// the header is missing or out of range.
func retryAfter(header http.Header) time.Duration {
	ms, err := strconv.ParseInt(header.Get(headerRetryAfter), 10, 64)
	if err != nil || ms < 0 || ms > maxRetryAfter.Milliseconds() {
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
