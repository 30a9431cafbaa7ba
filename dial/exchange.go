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

// maxBody bounds the answer of a backend server, in bytes.
const maxBody = 4 << 20

// Errors of an exchange after which the connection is closed.
var (
	errTooLarge = errors.New("dial: answer too large")
	errNoLength = errors.New("dial: answer without a length")
	errSilent   = errors.New("dial: connection is silent")
)

// scratch holds the buffers of one exchange. They are reused, because they are
// most of what an exchange would allocate.
type scratch struct {
	out     bytes.Buffer
	body    bytes.Buffer
	encoder *json.Encoder
	search  wireSearch
	in      bytes.Buffer
	limited io.LimitedReader
}

var scratches = sync.Pool{New: func() any {
	s := &scratch{}
	s.encoder = json.NewEncoder(&s.body)
	return s
}}

// keepBuffer bounds the buffers that are kept for reuse, in bytes.
const keepBuffer = 64 << 10

func (s *scratch) free() {
	if s.in.Cap() > keepBuffer || s.body.Cap() > keepBuffer {
		return
	}
	s.search = wireSearch{}
	scratches.Put(s)
}

// Requests that tell the parser of the response which method was used.
var (
	postRequest = &http.Request{Method: http.MethodPost}
	getRequest  = &http.Request{Method: http.MethodGet}
)

// compose writes the request's bytes into out. left is the time that remains
// to the deadline, rounded down, so that the server never has more than that.
func (s *scratch) compose(method, path, host string, left time.Duration) {
	s.out.Reset()
	s.out.WriteString(method)
	s.out.WriteByte(' ')
	s.out.WriteString(path)
	s.out.WriteString(" HTTP/1.1\r\nHost: ")
	s.out.WriteString(host)
	s.out.WriteString("\r\n" + headerLeft + ": ")
	s.out.Write(strconv.AppendInt(s.out.AvailableBuffer(), left.Milliseconds(), 10))
	if s.body.Len() > 0 {
		s.out.WriteString("\r\nContent-Type: application/json\r\nContent-Length: ")
		s.out.Write(strconv.AppendInt(s.out.AvailableBuffer(), int64(s.body.Len()), 10))
	}
	s.out.WriteString("\r\n\r\n")
	s.out.Write(s.body.Bytes())
}

// reply is a complete response of a backend server. The body is valid until
// the scratch is freed.
type reply struct {
	status int
	header http.Header
	body   []byte
	// reusable is false if the connection must be closed after this reply.
	reusable bool
}

// send writes the composed request. The verdict is NotRun only if not a byte
// was written.
func (s *scratch) send(c *connection) (fault.Verdict, error) {
	n, err := c.conn.Write(s.out.Bytes())
	if err != nil && n == 0 {
		return fault.NotRun{}, err
	}
	return fault.MayHaveRun{}, err
}

// receive reads a whole response. A body shorter than announced is an error.
func (s *scratch) receive(c *connection, request *http.Request) (reply, error) {
	response, err := http.ReadResponse(c.reader, request)
	if err != nil {
		return reply{}, err
	}
	r := reply{status: response.StatusCode, header: response.Header, reusable: !response.Close}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		_ = response.Body.Close()
		return r, errNoLength
	}
	s.in.Reset()
	s.limited = io.LimitedReader{R: response.Body, N: maxBody + 1}
	_, err = s.in.ReadFrom(&s.limited)
	s.limited.R = nil
	if closed := response.Body.Close(); err == nil {
		err = closed
	}
	if err == nil && s.in.Len() > maxBody {
		err = errTooLarge
	}
	r.body = s.in.Bytes()
	r.reusable = r.reusable && c.reader.Buffered() == 0
	return r, err
}

// await waits for the first byte of the response until the given time.
func await(c *connection, until time.Time) error {
	if err := c.conn.SetReadDeadline(until); err != nil {
		return err
	}
	_, err := c.reader.Peek(1)
	return err
}

// isShort reports whether the response ended before its announced length.
func isShort(err error) bool { return errors.Is(err, io.ErrUnexpectedEOF) }

func isTimeout(err error) bool {
	if err == nil {
		return false
	}
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// earliest returns the earlier of a deadline and that of the context.
func earliest(ctx context.Context, deadline time.Time) time.Time {
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		return d
	}
	return deadline
}
