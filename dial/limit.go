package dial

import (
	"errors"
	"io"
	"sync/atomic"
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
	// defaultBodies bounds the bodies of all responses that are being read.
	defaultBodies = 32 << 20
)

// Errors of a response that exceeds a bound. The connection is closed after each.
var (
	errTooLarge     = errors.New("dial: response body too large")
	errHeadTooLarge = errors.New("dial: response head too large")
	errBodies       = errors.New("dial: too many bytes of response bodies in progress")
)

// IsTruncated reports whether an exchange ended because the response was not whole
// or belonged to another request.
func IsTruncated(err error) bool {
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, ErrForeign)
}

// IsOversized reports whether an exchange ended because the server sent more than a
// response may have.
func IsOversized(err error) bool {
	return errors.Is(err, errTooLarge) || errors.Is(err, errHeadTooLarge)
}

// source reads from a connection up to a number of bytes, and then fails.
type source struct {
	conn io.Reader
	left int
	err  error
}

// allow permits to read n more bytes before err.
func (s *source) allow(n int, err error) { s.left, s.err = n, err }

func (s *source) Read(p []byte) (int, error) {
	if s.left <= 0 {
		return 0, s.err
	}
	n, err := s.conn.Read(p[:min(len(p), s.left)])
	s.left -= n
	return n, err
}

// bodyLimit bounds the bytes of the response bodies that are being read on all
// connections of a Client.
type bodyLimit struct {
	limit int64
	used  atomic.Int64
}

// bodyReader counts the bytes of one body against a bodyLimit until release.
type bodyReader struct {
	body  io.Reader
	limit *bodyLimit
	taken int64
}

func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	b.taken += int64(n)
	if b.limit.used.Add(int64(n)) > b.limit.limit {
		return n, errBodies
	}
	return n, err
}

func (b *bodyReader) release() { b.limit.used.Add(-b.taken) }
