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
	"hyssophub/heads"
)

// ForwardRequest is a request that is sent as it is, without encoding.
type ForwardRequest struct {
	// Address is the server's IP address and port.
	Address string
	// ConnLimit is the number of connections that this host may have open to
	// the server; zero sets no limit.
	ConnLimit int
	Method    string
	// Payload is the request with its head, but without Body, which follows. A large body
	// is sent as it is: exchanges with several servers share it.
	Payload  []byte
	Body     []byte
	Deadline time.Time
	// Fresh excludes connections that have been idle for longer than
	// freshMaxIdle.
	Fresh bool
	// NewConnection opens a connection for this exchange. A request that is sent to
	// a server again needs one: on a connection that carried it before, a second
	// copy of the first answer would be taken for the new answer.
	NewConnection bool
	// ID identifies the request, and ResponseID returns the id of the request that
	// a response belongs to, or "" if the response does not name it. Responses to
	// other requests are skipped. Without ResponseID every response is accepted.
	ID         string
	ResponseID func(http.Header) string
	// Memory, if not nil, keeps a body of more than freeBody bytes once it is whole.
	Memory Memory
}

// Memory holds the bodies of responses.
type Memory interface {
	// Keep reserves the memory of a body. If it returns false, the exchange fails.
	Keep(bytes int64) bool
}

// Reply is a server's complete response.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// Reused is true if the connection served another request before.
	Reused bool
	// Identified is true if the response named the request that it belongs to.
	Identified bool
	// Unframed is true if the body has neither a length nor chunks, so that it ends
	// with the connection. A server that fails while it sends such a body may close
	// the connection in the same way as after the last byte.
	Unframed bool
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
	conn, err := p.getForward(ctx, f)
	if err != nil {
		return Reply{}, fault.NotRun{}, err
	}
	return p.forward(ctx, conn, f)
}

// getForward returns a connection for a forwarded request.
func (p *Pool) getForward(ctx context.Context, f ForwardRequest) (*connection, error) {
	maxIdle := idleTimeout
	if f.Fresh {
		maxIdle = freshMaxIdle
	}
	if !f.NewConnection {
		if c := p.getIdle(maxIdle); c != nil {
			return c, nil
		}
	}
	ctx, cancel := context.WithDeadline(ctx, earliestTime(f.Deadline, time.Now().Add(forwardDialTimeout)))
	defer cancel()
	// Forwarded requests start no probes, so they may use the headroom.
	return p.dial(ctx, true)
}

func earliestTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
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
	conn.memory = f.Memory
	defer func() { conn.memory = nil }()
	written, verdict, err := conn.writeRequest(f.Payload, f.Body)
	if err != nil {
		p.drop(conn)
		return Reply{}, verdict, err
	}
	reply, reusable, err := conn.readOwnResponse(f, reused && p.namesRequests.Load())
	reply.Reused = reused
	if reply.Identified {
		p.namesRequests.Store(true)
	}
	if err != nil {
		p.drop(conn)
		if reused && reply.Status == 0 && ctx.Err() == nil && !isTimeout(err) && !errors.Is(err, ErrForeign) && !errors.Is(err, heads.ErrMalformed) {
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
func (c *connection) writeRequest(payload, body []byte) (<-chan error, fault.Verdict, error) {
	if err := c.beginHead(); err != nil {
		return nil, fault.NotRun{}, err
	}
	written := make(chan error, 1)
	if len(payload)+len(body) > maxInlineWrite {
		go func() {
			_, err := c.conn.Write(payload)
			if err == nil && len(body) > 0 {
				_, err = c.conn.Write(body)
			}
			written <- err
		}()
		return written, fault.MayHaveRun{}, nil
	}
	n, err := c.conn.Write(append(payload, body...))
	if err != nil && n == 0 {
		return nil, fault.NotRun{}, err
	}
	if err != nil {
		return nil, fault.MayHaveRun{}, err
	}
	written <- nil
	return written, fault.MayHaveRun{}, nil
}

// maxForeign is the number of responses to other requests that an exchange skips.
const maxForeign = 2

// ErrForeign means that a server sent a response to another request and then no
// response to this one.
var ErrForeign = errors.New("dial: response to another request")

// readOwnResponse reads the response to a request and reports whether the connection
// may be used again. A server may send a second copy of an earlier response where the
// next one is expected; such a copy is skipped, and the connection is closed after
// the exchange. Only a response that names the request is accepted after a copy, and
// if mustName is set, because the server names requests in its responses.
func (c *connection) readOwnResponse(f ForwardRequest, mustName bool) (Reply, bool, error) {
	for foreign := 0; ; foreign++ {
		reply, reusable, err := c.readResponse(f.Method)
		if err != nil {
			if foreign > 0 {
				err = errors.Join(ErrForeign, err)
			}
			return reply, false, err
		}
		id := f.responseID(reply.Header)
		reply.Identified = id == f.ID && id != ""
		if reply.Identified || (id == "" && foreign == 0 && !mustName) {
			return reply, reusable && foreign == 0, nil
		}
		if foreign == maxForeign {
			return Reply{}, false, ErrForeign
		}
		if err := c.beginHead(); err != nil {
			return Reply{}, false, errors.Join(ErrForeign, err)
		}
	}
}

func (f *ForwardRequest) responseID(header http.Header) string {
	if f.ResponseID == nil {
		return ""
	}
	return f.ResponseID(header)
}

// readResponse reads a whole response and reports whether the connection may be
// used again. The error of a response that exceeds a bound is that of the bound.
func (c *connection) readResponse(method string) (Reply, bool, error) {
	reply, reusable, err := c.parseResponse(method)
	if err != nil && c.source.left <= 0 {
		err = errors.Join(c.source.err, err)
	}
	return reply, reusable, err
}

// parseResponse reads a response. A response
// without a length ends when the server closes the connection with a FIN.
func (c *connection) parseResponse(method string) (Reply, bool, error) {
	request := getRequest
	if method != http.MethodGet {
		request = &http.Request{Method: method}
	}
	response, err := c.readFinal(request)
	if err != nil {
		return Reply{}, false, err
	}
	reply := Reply{
		Status:   response.StatusCode,
		Header:   response.Header,
		Unframed: response.Body != http.NoBody && response.ContentLength < 0 && len(response.TransferEncoding) == 0,
	}
	c.source.beginBody(c.reader.Buffered())
	reply.Body, err = c.readBody(response)
	if err == nil {
		// After an error, Close would read the rest of the body.
		err = response.Body.Close()
	}
	reusable := !response.Close && c.reader.Buffered() == 0
	return reply, reusable, err
}

// readFinal reads the head of the final response. Informational (1xx) responses before it
// are skipped. A head that is none in the protocol is an error.
func (c *connection) readFinal(request *http.Request) (*http.Response, error) {
	response, err := http.ReadResponse(c.reader, request)
	for n := 0; err == nil && response.StatusCode < http.StatusOK; n++ {
		if n == maxInformational {
			return nil, errHeadTooLarge
		}
		response, err = http.ReadResponse(c.reader, request)
	}
	if err == nil && isMerged(response) {
		err = errMerged
	}
	return response, err
}

// errMerged means that the beginning of one response was followed by another response,
// whose status line became the end of a line of the first head.
var errMerged = errors.New("dial: head of a response merged with that of another one")

// isMerged reports whether a head holds the status line of another response. A server that
// sends the beginning of an earlier response again, where the next response is expected,
// would give the next one the status and fields of the earlier.
func isMerged(response *http.Response) bool {
	if containsStatusLine(response.Status) {
		return true
	}
	for _, values := range response.Header {
		for _, v := range values {
			if containsStatusLine(v) {
				return true
			}
		}
	}
	return false
}

// containsStatusLine reports whether a text contains the beginning of a status line.
func containsStatusLine(text string) bool {
	const version, code = "HTTP/1.", len("1 200")
	for {
		_, rest, found := strings.Cut(text, version)
		if !found {
			return false
		}
		if len(rest) >= code && rest[1] == ' ' && isDigits(rest[2:code]) {
			return true
		}
		text = rest
	}
}

func isDigits(text string) bool {
	return strings.IndexFunc(text, func(r rune) bool { return r < '0' || r > '9' }) < 0
}

// initialBody is the size of the buffer for the first bytes of a body. The buffer
// grows as bytes arrive, because a server may announce more than it sends.
const initialBody = 4 << 10

// readBody reads a body of at most maxBody bytes.
func (c *connection) readBody(response *http.Response) ([]byte, error) {
	if response.Body == http.NoBody {
		return nil, nil
	}
	announced := response.ContentLength
	if announced > maxBody {
		return nil, errTooLarge
	}
	reader := bodyReader{body: response.Body, bytes: charge{total: c.bodies}}
	defer reader.release()
	if announced >= 0 && announced <= initialBody {
		body := make([]byte, announced)
		_, err := io.ReadFull(&reader, body)
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(&reader, maxBody+1))
	switch {
	case err != nil:
		return body, err
	case len(body) > maxBody:
		return body, errTooLarge
	case len(body) > freeBody && c.memory != nil && !c.memory.Keep(int64(len(body))):
		return nil, errBodies
	}
	return body, nil
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
