package limits

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"hyssophub/intake"
)

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

// Read implements io.Reader. A read of no bytes reserves the memory for the next ones, or
// for the announced length.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	var n int
	if n, b.err = b.readNext(p); b.err != nil {
		b.conn.EndMessage()
	}
	return n, b.err
}

func (b *body) readNext(p []byte) (int, error) {
	if err := b.prepare(); err != nil || len(p) == 0 {
		return 0, err
	}
	if b.arm() && b.limiter.Table.IsEnded(b.entry) {
		// The time limit that ended the body is overwritten.
		return 0, b.refusal(intake.DefaultStall)
	}
	n, err := b.readCloser.Read(p[:min(len(p), step)])
	b.read += int64(n)
	b.deadline = b.limiter.Table.Progress(b.entry, int64(n), time.Now())
	if err != nil {
		err = b.end(err)
	}
	return n, err
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
