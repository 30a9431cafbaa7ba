package dial

import (
	"errors"
	"io"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"

	"hyssophub/heads"
)

// Bounds of a response, in bytes and in number. A server in trouble may send bytes
// without end, and the smallest hosts have less than 200 MB of memory.
const (
	// maxHead bounds the status line and the header fields of a response together
	// with those of the informational responses before it.
	maxHead = 64 << 10
	// maxInformational bounds the informational (1xx) responses before a response.
	maxInformational = 5
	// maxBody bounds the body of a response.
	maxBody = 4 << 20
	// maxFraming bounds the bytes of a chunked body that are not content: the sizes
	// and extensions of chunks, and the trailers.
	maxFraming = 1 << 20
)

// Bounds of all responses that are being read on the connections of a Client. What is
// within the free part of each response does not count, so that servers which fill a
// bound make no ordinary response fail.
const (
	// defaultHeads bounds the memory of heads. A head takes headWeight times its bytes
	// once it is parsed, if its fields are short.
	defaultHeads = 16 << 20
	headWeight   = 16
	freeHead     = 2 << 10
	// defaultBodies bounds the bytes of bodies.
	defaultBodies = 32 << 20
	freeBody      = 8 << 10
)

// Errors of a response that exceeds a bound. The connection is closed after each.
var (
	errTooLarge     = errors.New("dial: response body too large")
	errHeadTooLarge = errors.New("dial: response head too large")
	errHeads        = errors.New("dial: too many bytes of response heads in progress")
	errBodies       = errors.New("dial: too many bytes of response bodies in progress")
)

// IsTruncated reports whether an exchange ended because the response was not whole
// was none, or belonged to another request.
func IsTruncated(err error) bool {
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, ErrForeign) || errors.Is(err, errMerged) || errors.Is(err, heads.ErrMalformed)
}

// IsOversized reports whether an exchange ended because the server sent more than a
// response may have.
func IsOversized(err error) bool {
	return errors.Is(err, errTooLarge) || errors.Is(err, errHeadTooLarge)
}

// source reads responses from a connection up to a number of bytes, and then fails.
type source struct {
	conn io.Reader
	left int
	err  error
	// inHead is set while a head is read, whose bytes count against heads.
	inHead   bool
	headRead int
	heads    charge
	checker  heads.Checker
}

// beginHead permits to read a head.
func (s *source) beginHead() {
	s.left, s.err = maxHead, errHeadTooLarge
	s.inHead, s.headRead = true, 0
	s.checker.Begin()
}

// beginBody permits to read a body, after a head of which the reader has buffered bytes
// that belong to the body already.
func (s *source) beginBody(buffered int) {
	s.left, s.err = maxBody+maxFraming, errTooLarge
	s.inHead = false
	s.heads.set(headWeight * int64(max(0, s.headRead-buffered-freeHead)))
}

func (s *source) Read(p []byte) (int, error) {
	if s.left <= 0 {
		return 0, s.err
	}
	limit := min(len(p), s.left)
	if s.inHead && s.headRead < freeHead {
		// The bytes of a body that follows an ordinary head are not counted as a head.
		limit = min(limit, freeHead-s.headRead)
	}
	n, err := s.conn.Read(p[:limit])
	s.left -= n
	if !s.inHead {
		return n, err
	}
	if malformed := s.checker.Feed(p[:n]); malformed != nil {
		s.left, s.err = 0, malformed
		return 0, malformed
	}
	s.headRead += n
	if s.heads.set(headWeight * int64(max(0, s.headRead-freeHead))) {
		return n, err
	}
	s.left, s.err = 0, errHeads
	return n, errHeads
}

// end ends a response, whose memory no longer counts.
func (s *source) end() { s.heads.set(0) }

// total bounds a sum over all responses that are being read.
type total struct {
	limit int64
	used  atomic.Int64
}

// charge is the share of one response in a total.
type charge struct {
	total *total
	taken int64
}

// set changes the share and reports whether the total is within its limit.
func (c *charge) set(amount int64) bool {
	if amount == c.taken {
		return true
	}
	used := c.total.used.Add(amount - c.taken)
	c.taken = amount
	return used <= c.total.limit
}

// totals holds the bounds of all responses on the connections of a Client.
type totals struct {
	heads, bodies total
	// receive is the size of the kernel's receive buffers, in bytes; zero leaves them to
	// the system.
	receive int
}

func newTotals() *totals {
	return &totals{heads: total{limit: defaultHeads}, bodies: total{limit: defaultBodies}}
}

// Parts of a host's memory for the responses that are being read.
const (
	headsShare  = 0.08
	bodiesShare = 0.12
)

// SetMemory lowers the bounds of responses to what a host with the given memory in bytes
// can hold; zero changes nothing. It is called before the first exchange.
func (c *Client) SetMemory(memory int64) {
	if memory <= 0 {
		return
	}
	c.limits.heads.limit = min(defaultHeads, int64(headsShare*float64(memory)))
	c.limits.bodies.limit = min(defaultBodies, int64(bodiesShare*float64(memory)))
	c.limits.receive = receiveBuffer
}

// receiveBuffer is the size of the kernel's receive buffer of a connection, in bytes, on a
// host whose memory is known. The kernel would let it grow to megabytes.
const receiveBuffer = 64 << 10

// limitReceive is used as net.Dialer.Control.
func (c *Client) limitReceive(_, _ string, raw syscall.RawConn) error {
	if c.limits.receive == 0 {
		return nil
	}
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, c.limits.receive)
	})
	return errors.Join(controlErr, err)
}

// bodyReader counts the bytes of one body beyond freeBody against a total until release.
type bodyReader struct {
	body  io.Reader
	read  int64
	bytes charge
}

func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	b.read += int64(n)
	if !b.bytes.set(max(0, b.read-freeBody)) {
		return n, errBodies
	}
	return n, err
}

func (b *bodyReader) release() { b.bytes.set(0) }
