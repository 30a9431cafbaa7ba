// Package limits applies the decisions of package intake to HTTP servers: it counts the
// bodies of requests and the answers that are being written, and ends those that make too
// little progress. It decides nothing.
package limits

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
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
