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

// ForwardRequest is a request that is sent as it is, without encoding.
type ForwardRequest struct {
	// Address is the server's IP address and port.
	Address string
	// ConnLimit is the number of connections that this host may have open to
	// the server; zero sets no limit.
	ConnLimit int
	Method    string
	// Payload is the whole request, with its head.
	Payload  []byte
	Deadline time.Time
	// Fresh excludes connections that have been idle for longer than
	// freshMaxIdle.
	Fresh bool
}

// Reply is a server's complete response.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// Reused is true if the connection served another request before.
	Reused bool
}

const (
	// freshMaxIdle is an idle time within which no server closes a connection.
	freshMaxIdle = 300 * time.Millisecond
	// idleTimeout is the longest time that an idle connection is kept. A server
	// may announce a shorter one.
	idleTimeout = 20 * time.Second
	// idleMargin is subtracted from the idle time that a server announces.
	idleMargin = time.Second
	// maxInlineWrite is the size of the largest request, in bytes, that is
	// written before the response is read. Writing a larger request may block
	// while the server already answers.
	maxInlineWrite = 2 << 10
	// forwardDialTimeout bounds the opening of a connection for a forwarded
	// request. A host without power never answers.
	forwardDialTimeout = 250 * time.Millisecond
)

// ErrStale means that a reused connection was closed before the first byte of the
// response. The server may only have closed an idle connection, so the error is no
// sign of a failed server, but it does not prove that the request did not run.
var ErrStale = errors.New("dial: reused connection closed before the response")

// Forward sends a request and returns the response. With an error, the verdict is
// NotRun only if no byte of the request was written. The connection limit of the
// request replaces that of the server's pool.
func (c *Client) Forward(ctx context.Context, f ForwardRequest) (Reply, fault.Verdict, error) {
	p := c.poolAt(f.Address, f.ConnLimit)
	p.SetLimit(f.ConnLimit)
	conn, err := p.getForward(ctx, f.Fresh)
	if err != nil {
		return Reply{}, fault.NotRun{}, err
	}
	return p.forward(ctx, conn, f)
}

// getForward returns a connection for a forwarded request.
func (p *Pool) getForward(ctx context.Context, fresh bool) (*connection, error) {
	maxIdle := idleTimeout
	if fresh {
		maxIdle = freshMaxIdle
	}
	if c := p.getIdle(maxIdle); c != nil {
		return c, nil
	}
	ctx, cancel := context.WithTimeout(ctx, forwardDialTimeout)
	defer cancel()
	// Forwarded requests start no probes, so they may use the headroom.
	return p.dial(ctx, true)
}

// forward performs an exchange over a connection and then returns the connection
// to the pool or closes it.
func (p *Pool) forward(ctx context.Context, conn *connection, f ForwardRequest) (Reply, fault.Verdict, error) {
	reused := !conn.idleSince.IsZero()
	// On cancellation the connection is closed, which signals the server to stop.
	stop := context.AfterFunc(ctx, func() { _ = conn.conn.Close() })
	defer stop()
	if err := conn.conn.SetDeadline(f.Deadline); err != nil {
		p.drop(conn)
		return Reply{}, fault.NotRun{}, err
	}
	written, verdict, err := conn.writeRequest(f.Payload)
	if err != nil {
		p.drop(conn)
		return Reply{}, verdict, err
	}
	reply, reusable, err := conn.readResponse(f.Method)
	reply.Reused = reused
	if err != nil {
		p.drop(conn)
		if reused && reply.Status == 0 && ctx.Err() == nil && !isTimeout(err) {
			err = errors.Join(ErrStale, err)
		}
		return reply, fault.MayHaveRun{}, err
	}
	// If the request is not written completely, the server would read the next
	// request on the connection as the rest of the body.
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
	conn.expires = conn.idleSince.Add(announcedIdleTime(reply.Header))
	p.put(conn)
	return reply, fault.Ran{}, nil
}

// writeRequest writes a request. The channel receives the result when the request
// is written, which may be after the response if the request is large.
func (c *connection) writeRequest(payload []byte) (<-chan error, fault.Verdict, error) {
	written := make(chan error, 1)
	if len(payload) > maxInlineWrite {
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

// readResponse reads a whole response and reports whether the connection may be
// used again. Informational (1xx) responses are skipped. A response without a
// length is complete when the server closes the connection with a FIN.
func (c *connection) readResponse(method string) (Reply, bool, error) {
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
	if closeErr := response.Body.Close(); err == nil {
		err = closeErr
	}
	reusable := !response.Close && c.reader.Buffered() == 0
	return reply, reusable, err
}

// readBody reads a body of at most maxBody bytes.
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

// announcedIdleTime returns how long a server keeps an idle connection according
// to the Keep-Alive header, less idleMargin, and at most idleTimeout.
func announcedIdleTime(header http.Header) time.Duration {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return min(idleTimeout, max(0, time.Duration(seconds)*time.Second-idleMargin))
		}
	}
	return idleTimeout
}

// RetainAddresses closes the connections to all servers but those at the given
// addresses. A connection in use is closed when its exchange ends.
func (c *Client) RetainAddresses(keep map[string]bool) {
	c.retain(func(address string, _ *Pool) bool { return keep[address] })
}

// IsLimitReached reports whether an exchange did not begin because this host has
// as many connections to the server as its limit allows.
func IsLimitReached(err error) bool { return errors.Is(err, errLimit) }

// IsTimeout reports whether an exchange ended at its deadline.
func IsTimeout(err error) bool {
	return isTimeout(err) || errors.Is(err, context.DeadlineExceeded)
}
