// Package limits applies the decisions of package intake to HTTP servers: it counts the
// bodies of requests and the answers that are being written, and ends those that make too
// little progress. It decides nothing.
package limits

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"hyssophub/intake"
)

// Refusal is the error of a body that the account has no room for. The request did not run.
type Refusal struct{ RetryAfter time.Duration }

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("limits: no memory for the request, retry after %s", r.RetryAfter)
}

// ErrSlow means that a body arrived too slowly. The request did not run.
var ErrSlow = errors.New("limits: body arrives too slowly")

// ErrTooLarge means that a body exceeds the bound of the listener.
var ErrTooLarge = errors.New("limits: body too large")

// Conn is the connection of a request, with which its listener follows what is in progress.
type Conn interface {
	// BeginBody and BeginAnswer record that a body is being read or an answer written,
	// which the table may end. EndMessage ends both.
	BeginBody(message *intake.Entry)
	BeginAnswer(message *intake.Entry)
	EndMessage()
	// DiscardBody records that the server reads a body that the handler has not read.
	DiscardBody()
}

// connKey is the context key of a request's Conn.
type connKey struct{}

// WithConn returns a context for the requests on a connection.
func WithConn(ctx context.Context, conn Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// noConn is the Conn of a request without one.
type noConn struct{}

func (noConn) BeginBody(*intake.Entry)   {}
func (noConn) BeginAnswer(*intake.Entry) {}
func (noConn) EndMessage()               {}
func (noConn) DiscardBody()              {}

func connOf(r *http.Request) Conn {
	if c, ok := r.Context().Value(connKey{}).(Conn); ok {
		return c
	}
	return noConn{}
}

// Limiter holds the bounds of one listener.
type Limiter struct {
	Table *intake.Table
	// Largest bounds a body, in bytes; zero sets no bound.
	Largest int64
	// Bodiless refuses all requests with a body.
	Bodiless bool
	// Weight is the memory that a byte of a body takes until its request ends.
	Weight int64
}

const (
	// step is the memory that a body without a length reserves at once, in bytes, and the
	// size of the pieces in which it is read.
	step = 16 << 10
	// freeAnswer is the size of an answer, in bytes, that is not counted: it fits into
	// the buffers of its connection.
	freeAnswer = 8 << 10
	// piece is the part of an answer that is written with one deadline, in bytes.
	piece = 32 << 10
	// armSlack is how much later than its deadline a body without progress may end.
	armSlack = time.Second
	// discardTime is the time for the rest of a body that the handler has not read.
	discardTime = time.Second
	// answerTime is the time for an answer, or the rest of one, that fits into the
	// buffers of its connection.
	answerTime = 10 * time.Second
)

// Handler returns a handler whose requests and answers are within the bounds. Errors of
// the body are Refusal, ErrSlow and ErrTooLarge.
func (l *Limiter) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		address, _, err := net.SplitHostPort(r.RemoteAddr)
		if err != nil {
			address = r.RemoteAddr
		}
		a := &answer{ResponseWriter: w, controller: http.NewResponseController(w), table: l.Table, conn: connOf(r), address: address}
		if r.Body != nil && r.Body != http.NoBody {
			if l.Bodiless {
				w.Header().Set("Connection", "close")
				a.WriteHeader(http.StatusRequestEntityTooLarge)
				// The server would wait for the body.
				_ = a.controller.SetReadDeadline(time.Unix(1, 0))
				return
			}
			a.body = &body{readCloser: r.Body, limiter: l, controller: a.controller, conn: a.conn, address: address, length: r.ContentLength}
			r.Body = a.body
			defer a.body.release()
		}
		defer a.releaseKept()
		next.ServeHTTP(a, r)
		a.limitRest()
		a.limitWrite()
	})
}

// body is the body of a request. It reserves memory before it reads.
type body struct {
	readCloser io.ReadCloser
	limiter    *Limiter
	controller *http.ResponseController
	conn       Conn
	address    string
	// length is the announced length, or negative.
	length   int64
	entry    *intake.Entry
	reserved int64
	read     int64
	// deadline is by when more bytes must arrive, and armed the time limit of reads.
	deadline time.Time
	armed    time.Time
	// err is the error that ended the reading.
	err error
}

// Read implements io.Reader. A read of no bytes reserves the announced length.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	if b.err = b.prepare(); b.err != nil {
		b.conn.EndMessage()
		return 0, b.err
	}
	if len(p) == 0 {
		return 0, nil
	}
	if len(p) > step {
		p = p[:step]
	}
	if b.arm() && b.limiter.Table.IsEnded(b.entry) {
		// The time limit that ended the body is overwritten.
		b.err = b.refusal(intake.DefaultStall)
		b.conn.EndMessage()
		return 0, b.err
	}
	n, err := b.readCloser.Read(p)
	b.read += int64(n)
	b.deadline = b.limiter.Table.Progress(b.entry, int64(n), time.Now())
	if err != nil {
		b.err = b.end(err)
		b.conn.EndMessage()
	}
	return n, b.err
}

// arm sets the time limit of reads if the deadline has passed the present one, and reports
// whether it did. The limit is somewhat later than the deadline, because setting it for each
// read costs more than the read of a few bytes.
func (b *body) arm() bool {
	if !b.armed.IsZero() && !b.deadline.After(b.armed) {
		return false
	}
	b.armed = b.deadline.Add(armSlack)
	_ = b.controller.SetReadDeadline(b.armed)
	return true
}

// prepare reserves the memory for the next bytes.
func (b *body) prepare() error {
	l := b.limiter
	if l.Largest > 0 && (b.length > l.Largest || b.read > l.Largest) {
		return ErrTooLarge
	}
	now := time.Now()
	if b.entry == nil {
		b.entry = l.Table.Begin(intake.Body{}, b.address, b, now)
		b.deadline = l.Table.Deadline(b.entry)
		b.conn.BeginBody(b.entry)
	}
	need := (b.read/step + 1) * step
	if b.length >= 0 {
		need = b.length
	}
	return b.reserve(need*l.Weight, now)
}

// reserve raises what the body has reserved to a number of bytes.
func (b *body) reserve(bytes int64, now time.Time) error {
	if bytes <= b.reserved {
		return nil
	}
	if err := reserve(b.limiter.Table, b.entry, bytes-b.reserved, now); err != nil {
		return b.refusal(err.RetryAfter)
	}
	b.reserved = bytes
	return nil
}

// reserveCopy reserves the memory for a copy of a whole body that was read in pieces, and
// releasePieces gives back that of the pieces.
func (b *body) reserveCopy() error {
	return b.reserve(b.reserved+b.read*b.limiter.Weight, time.Now())
}

func (b *body) releasePieces() {
	whole := b.read * b.limiter.Weight
	b.limiter.Table.Release(b.entry, b.reserved-whole)
	b.reserved = whole
}

// end converts the error that ended the reading.
func (b *body) end(err error) error {
	table := b.limiter.Table
	_ = b.controller.SetReadDeadline(time.Time{})
	switch {
	case table.IsEnded(b.entry):
		return b.refusal(intake.DefaultStall)
	case errors.Is(err, os.ErrDeadlineExceeded):
		table.RecordSlow()
		b.abandon()
		return ErrSlow
	}
	if !table.Hold(b.entry) {
		return b.refusal(intake.DefaultStall)
	}
	return err
}

func (b *body) refusal(retryAfter time.Duration) error {
	b.abandon()
	return &Refusal{RetryAfter: retryAfter}
}

// abandon keeps the server from waiting for the rest of the body.
func (b *body) abandon() { _ = b.controller.SetReadDeadline(time.Unix(1, 0)) }

// Evict implements intake.Holder.
func (b *body) Evict() { b.abandon() }

// Close implements io.Closer.
func (b *body) Close() error { return b.readCloser.Close() }

func (b *body) release() {
	if b.entry != nil {
		b.conn.EndMessage()
		b.limiter.Table.End(b.entry)
	}
}

// reserve asks for memory and ends the messages that are evicted.
func reserve(table *intake.Table, e *intake.Entry, bytes int64, now time.Time) *Refusal {
	switch d := table.Reserve(e, bytes, now).(type) {
	case intake.Granted:
		for _, holder := range d.Evicted {
			holder.Evict()
		}
		return nil
	case intake.Refused:
		return &Refusal{RetryAfter: d.RetryAfter}
	}
	return nil
}
