package dial

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	json "github.com/goccy/go-json"

	"hyssophub/fault"
)

// Errors of an exchange. The connection is closed after each of them.
var (
	errNoLength = errors.New("dial: response without a length")
	errSilent   = errors.New("dial: connection is silent")
)

// scratch holds the buffers of one exchange. They are reused, because they make
// up most of the memory that an exchange would allocate.
type scratch struct {
	// request is the whole request with its head; requestBody is only its body.
	request      bytes.Buffer
	requestBody  bytes.Buffer
	encoder      *json.Encoder
	search       wireSearch
	responseBody bytes.Buffer
	limited      io.LimitedReader
}

var scratchPool = sync.Pool{New: func() any {
	s := &scratch{}
	s.encoder = json.NewEncoder(&s.requestBody)
	return s
}}

// maxReusedBuffer bounds the buffers that are reused, in bytes.
const maxReusedBuffer = 64 << 10

// release returns the buffers for reuse, unless they have grown too large.
func (s *scratch) release() {
	if s.responseBody.Cap() > maxReusedBuffer || s.requestBody.Cap() > maxReusedBuffer {
		return
	}
	s.search = wireSearch{}
	scratchPool.Put(s)
}

// Requests for http.ReadResponse, which needs only the method.
var (
	postRequest = &http.Request{Method: http.MethodPost}
	getRequest  = &http.Request{Method: http.MethodGet}
)

// compose writes the request into s.request. left is the time to the deadline; the
// header has it rounded down to milliseconds, so that the server never gets a
// later deadline.
func (s *scratch) compose(method, path, host string, left time.Duration) {
	s.request.Reset()
	s.request.WriteString(method)
	s.request.WriteByte(' ')
	s.request.WriteString(path)
	s.request.WriteString(" HTTP/1.1\r\nHost: ")
	s.request.WriteString(host)
	s.request.WriteString("\r\n" + headerTimeLeft + ": ")
	s.request.Write(strconv.AppendInt(s.request.AvailableBuffer(), left.Milliseconds(), 10))
	if s.requestBody.Len() > 0 {
		s.request.WriteString("\r\nContent-Type: application/json\r\nContent-Length: ")
		s.request.Write(strconv.AppendInt(s.request.AvailableBuffer(), int64(s.requestBody.Len()), 10))
	}
	s.request.WriteString("\r\n\r\n")
	s.request.Write(s.requestBody.Bytes())
}

// reply is a response of a backend server. The body is valid until the scratch is
// released.
type reply struct {
	status int
	header http.Header
	body   []byte
	// reusable is false if the connection must be closed after this reply.
	reusable bool
}

// send writes the composed request. On an error, the verdict is NotRun only if
// no byte was written.
func (s *scratch) send(c *connection) (fault.Verdict, error) {
	if err := c.beginHead(); err != nil {
		return fault.NotRun{}, err
	}
	n, err := c.conn.Write(s.request.Bytes())
	if err != nil && n == 0 {
		return fault.NotRun{}, err
	}
	return fault.MayHaveRun{}, err
}

// receive reads a whole response. A body shorter than its announced length is an
// error; the reply then holds the status and the header.
func (s *scratch) receive(c *connection, request *http.Request) (reply, error) {
	response, err := c.readFinal(request)
	if err != nil {
		return reply{}, err
	}
	r := reply{status: response.StatusCode, header: response.Header, reusable: !response.Close}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		_ = response.Body.Close()
		return r, errNoLength
	}
	s.responseBody.Reset()
	c.source.beginBody(c.reader.Buffered())
	body := bodyReader{body: response.Body, bytes: charge{total: c.bodies}}
	defer body.release()
	s.limited = io.LimitedReader{R: &body, N: maxBody + 1}
	_, err = s.responseBody.ReadFrom(&s.limited)
	s.limited.R = nil
	if err == nil && s.responseBody.Len() > maxBody {
		err = errTooLarge
	}
	if err == nil {
		// After an error, Close would read the rest of the body.
		err = response.Body.Close()
	}
	r.body = s.responseBody.Bytes()
	r.reusable = r.reusable && c.reader.Buffered() == 0
	return r, err
}

// awaitResponse waits for the first byte of the response until the given time.
func awaitResponse(c *connection, until time.Time) error {
	if err := c.conn.SetReadDeadline(until); err != nil {
		return err
	}
	_, err := c.reader.Peek(1)
	return err
}

func isTimeout(err error) bool {
	if err == nil {
		return false
	}
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// earliest returns the earlier of a deadline and the context's deadline.
func earliest(ctx context.Context, deadline time.Time) time.Time {
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		return d
	}
	return deadline
}
