package dial

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"syscall"
	"time"

	"hyssophub/config"
	"hyssophub/fault"
	"hyssophub/shard"
)

// maxBody bounds the answer of a backend server, in bytes.
const maxBody = 4 << 20

// Client performs exchanges with backend servers. It implements
// owner.Backend.
type Client struct {
	mu     sync.Mutex
	pools  map[string]*Pool
	closed bool
}

// NewClient returns a client without connections.
func NewClient() *Client { return &Client{pools: make(map[string]*Pool)} }

// Do sends a sub-request and returns its outcome.
func (c *Client) Do(ctx context.Context, server config.Placed, sub shard.Sub) shard.Outcome {
	body, err := json.Marshal(encodeSearch(&sub))
	if err != nil {
		return shard.Refused{Reason: fault.ReasonInternal}
	}
	request := &http.Request{
		Method:        http.MethodPost,
		URL:           &url.URL{Scheme: "http", Host: server.Server.Address, Path: pathSearch},
		Host:          server.Server.Address,
		Header:        http.Header{headerLeft: {strconv.FormatInt(time.Until(sub.Deadline).Milliseconds(), 10)}},
		Body:          io.NopCloser(bytes.NewReader(body)),
		ContentLength: int64(len(body)),
	}
	response, failure := c.exchange(ctx, server, request)
	if failure != nil {
		return failure
	}
	return decodeSearch(response, sub.ID)
}

// State asks a server for its report.
func (c *Client) State(ctx context.Context, server config.Placed) (shard.Report, error) {
	request := &http.Request{
		Method: http.MethodGet,
		URL:    &url.URL{Scheme: "http", Host: server.Server.Address, Path: pathState},
		Host:   server.Server.Address,
		Header: http.Header{},
	}
	response, failure := c.exchange(ctx, server, request)
	if failure != nil {
		return shard.Report{}, fault.New(fault.NotRun{}, fault.ReasonConnection, "no state of server %s", server.Server.Name)
	}
	if response.status != http.StatusOK {
		return shard.Report{}, fault.New(fault.NotRun{}, fault.ReasonInternal, "server %s answers %d", server.Server.Name, response.status)
	}
	var w wireState
	if err := json.Unmarshal(response.body, &w); err != nil {
		return shard.Report{}, fault.New(fault.NotRun{}, fault.ReasonTruncated, "server %s: %w", server.Server.Name, err)
	}
	return decodeState(w), nil
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, p := range c.pools {
		p.Close()
	}
}

func (c *Client) pool(address string) *Pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pools[address]
	if !ok {
		p = newPool(address)
		p.closed = c.closed
		c.pools[address] = p
	}
	return p
}

// reply is a complete response of a backend server.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// exchange performs one request on one connection. The returned outcome is nil
// on success.
func (c *Client) exchange(ctx context.Context, server config.Placed, request *http.Request) (reply, shard.Outcome) {
	pool := c.pool(server.Server.Address)
	conn, err := pool.take(ctx)
	if err != nil {
		return reply{}, shard.Refused{Reason: dialReason(err)}
	}
	// Closing the connection on cancellation tells the server to stop.
	stop := context.AfterFunc(ctx, func() { _ = conn.conn.Close() })
	r, verdict, err := roundTrip(conn, request)
	if !stop() {
		pool.drop(conn)
		return reply{}, shard.Failed{Verdict: verdict, Reason: fault.ReasonDeadline}
	}
	if err != nil {
		pool.drop(conn)
		if _, ok := verdict.(fault.NotRun); ok {
			return reply{}, shard.Refused{Reason: fault.ReasonConnection}
		}
		return reply{}, shard.Failed{Verdict: verdict, Reason: fault.ReasonConnection}
	}
	pool.put(conn)
	return r, nil
}

// roundTrip writes the request and reads the whole response. The verdict is
// MayHaveRun once a byte may have left this process.
func roundTrip(c *connection, request *http.Request) (reply, fault.Verdict, error) {
	if err := request.Write(c.writer); err != nil {
		return reply{}, fault.MayHaveRun{}, err
	}
	if err := c.writer.Flush(); err != nil {
		return reply{}, fault.MayHaveRun{}, err
	}
	response, err := http.ReadResponse(c.reader, request)
	if err != nil {
		return reply{}, fault.MayHaveRun{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBody+1))
	if err != nil {
		return reply{}, fault.MayHaveRun{}, err
	}
	if len(body) > maxBody || response.Close {
		return reply{}, fault.MayHaveRun{}, errors.New("dial: answer too large or connection closed by the server")
	}
	return reply{status: response.StatusCode, header: response.Header, body: body}, fault.Ran{}, nil
}

// decodeSearch converts a server's response to a sub-request. The request id
// in the body guards against an answer to another request.
func decodeSearch(r reply, id uint64) shard.Outcome {
	switch r.status {
	case http.StatusOK:
	case http.StatusServiceUnavailable:
		if r.header.Get(headerDraining) != "" {
			return shard.Refused{Reason: fault.ReasonDraining}
		}
		return shard.Refused{Reason: fault.ReasonShed, RetryAfter: after(r.header)}
	case http.StatusConflict:
		return shard.Refused{Reason: fault.ReasonVersion}
	default:
		return shard.Failed{Verdict: fault.MayHaveRun{}, Reason: fault.ReasonInternal}
	}
	var w wireAnswer
	if err := json.Unmarshal(r.body, &w); err != nil || w.ID != id {
		return shard.Failed{Verdict: fault.Ran{}, Reason: fault.ReasonTruncated}
	}
	return decodeAnswer(w)
}

func after(header http.Header) time.Duration {
	ms, err := strconv.ParseInt(header.Get(headerAfter), 10, 64)
	if err != nil {
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
