package dial

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"hyssophub/fault"
)

// ForwardRequest is a request that is passed on byte by byte.
type ForwardRequest struct {
	// Address is the server's IP number and port.
	Address string
	// ConnLimit is the number of connections that this host may hold to the
	// server; zero sets no limit.
	ConnLimit int
	Method    string
	// Payload is the whole request.
	Payload  []byte
	Deadline time.Time
	// Fresh refuses connections that have been idle for longer than freshIdle.
	Fresh bool
}

// Reply is a server's complete response.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// Reused is true if the connection had served another request before.
	Reused bool
}

const (
	// freshIdle is the idle time up to which no server closes a connection.
	freshIdle = 300 * time.Millisecond
	// idleTime is how long an idle connection is kept if the server names no
	// time of its own.
	idleTime = 20 * time.Second
	// idleMargin is left of the idle time that a server names.
	idleMargin = time.Second
	// inlineWrite is the largest request that is written before the response
	// is read. Larger ones may block while the server answers early.
	inlineWrite = 2 << 10
	// connectTime bounds the opening of a connection for a request. A host
	// without power never answers.
	connectTime = 250 * time.Millisecond
)

// ErrStale means that a reused connection ended before any byte of the
// response. It shows nothing of the server, which may have dropped the idle
// connection, and does not prove that the request did not run.
var ErrStale = errors.New("dial: reused connection ended")

// Forward performs an exchange. The verdict is NotRun only if not a byte of
// the request was written.
func (c *Client) Forward(ctx context.Context, f ForwardRequest) (Reply, fault.Verdict, error) {
	p := c.poolOf(f.Address, f.ConnLimit)
	p.SetLimit(f.ConnLimit)
	conn, err := p.takeFor(ctx, f.Fresh)
	if err != nil {
		return Reply{}, fault.NotRun{}, err
	}
	return p.forward(ctx, conn, f)
}

// takeFor returns a connection for a forwarded request.
func (p *Pool) takeFor(ctx context.Context, fresh bool) (*connection, error) {
	most := idleTime
	if fresh {
		most = freshIdle
	}
	if c := p.takeIdle(most); c != nil {
		return c, nil
	}
	ctx, cancel := context.WithTimeout(ctx, connectTime)
	defer cancel()
	// Forwarded requests are not probed for, so they may use the headroom.
	return p.dial(ctx, true)
}

func (p *Pool) forward(ctx context.Context, conn *connection, f ForwardRequest) (Reply, fault.Verdict, error) {
	reused := !conn.idleSince.IsZero()
	// Closing the connection on cancellation tells the server to stop.
	stop := context.AfterFunc(ctx, func() { _ = conn.conn.Close() })
	defer stop()
	if err := conn.conn.SetDeadline(f.Deadline); err != nil {
		p.drop(conn)
		return Reply{}, fault.NotRun{}, err
	}
	written, verdict, err := conn.write(f.Payload)
	if err != nil {
		p.drop(conn)
		return Reply{}, verdict, err
	}
	reply, reusable, err := conn.read(f.Method)
	reply.Reused = reused
	if err != nil {
		p.drop(conn)
		if reused && reply.Status == 0 && ctx.Err() == nil && !isTimeout(err) {
			err = errors.Join(ErrStale, err)
		}
		return reply, fault.MayHaveRun{}, err
	}
	// A request that is not written completely leaves the connection in the
	// middle of its body.
	select {
	case err := <-written:
		reusable = reusable && err == nil
	default:
		reusable = false
	}
	if !stop() || !reusable {
		p.drop(conn)
		return reply, fault.Ran{}, nil
	}
	conn.idleSince = time.Now()
	conn.expires = conn.idleSince.Add(keepFor(reply.Header))
	p.put(conn)
	return reply, fault.Ran{}, nil
}

// write sends a request. The channel receives the end of the writing, which
// for a large request may come after the response.
func (c *connection) write(payload []byte) (<-chan error, fault.Verdict, error) {
	written := make(chan error, 1)
	if len(payload) > inlineWrite {
		go func() {
			_, err := c.conn.Write(payload)
			written <- err
		}()
		return written, fault.MayHaveRun{}, nil
	}
	n, err := c.conn.Write(payload)
	if err != nil && n == 0 {
		return nil, fault.NotRun{}, err
	}
	if err != nil {
		return nil, fault.MayHaveRun{}, err
	}
	written <- nil
	return written, fault.MayHaveRun{}, nil
}

// read reads a whole response and reports whether the connection may be used
// again. A response without a length is complete when the server closes the
// connection in order.
func (c *connection) read(method string) (Reply, bool, error) {
	request := getRequest
	if method != http.MethodGet {
		request = &http.Request{Method: method}
	}
	response, err := http.ReadResponse(c.reader, request)
	for err == nil && response.StatusCode < http.StatusOK {
		response, err = http.ReadResponse(c.reader, request)
	}
	if err != nil {
		return Reply{}, false, err
	}
	reply := Reply{Status: response.StatusCode, Header: response.Header}
	reply.Body, err = readBody(response)
	if closed := response.Body.Close(); err == nil {
		err = closed
	}
	reusable := !response.Close && c.reader.Buffered() == 0
	return reply, reusable, err
}

func readBody(response *http.Response) ([]byte, error) {
	if response.Body == http.NoBody {
		return nil, nil
	}
	if n := response.ContentLength; n >= 0 && n <= maxBody {
		body := make([]byte, n)
		_, err := io.ReadFull(response.Body, body)
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBody+1))
	if err == nil && len(body) > maxBody {
		err = errTooLarge
	}
	return body, err
}

// keepFor returns how long a server keeps an idle connection, less a margin.
func keepFor(header http.Header) time.Duration {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return min(idleTime, max(0, time.Duration(seconds)*time.Second-idleMargin))
		}
	}
	return idleTime
}

// RetainAddresses closes the connections to all servers but those at the given
// addresses. Exchanges in progress end as usual.
func (c *Client) RetainAddresses(keep map[string]bool) {
	c.retain(func(address string, _ *Pool) bool { return keep[address] })
}

// IsLimitReached reports whether an exchange did not begin because this host holds
// its share of the server's connections.
func IsLimitReached(err error) bool { return errors.Is(err, errLimit) }

// IsTimeout reports whether an exchange ended at its deadline.
func IsTimeout(err error) bool {
	return isTimeout(err) || errors.Is(err, context.DeadlineExceeded)
}
