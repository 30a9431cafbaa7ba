package limits

import (
	"net/http"
	"sync"
	"time"

	"hyssophub/intake"
)

// answer is the answer to a request. It counts a large answer until the client has read
// it, and ends one that the client reads too slowly.
type answer struct {
	http.ResponseWriter
	controller *http.ResponseController
	table      *intake.Table
	conn       Conn
	address    string
	// body is the request's body, or nil.
	body    *body
	limited bool
	// writeUntil is the time limit of the last write.
	writeUntil time.Time

	// mu guards the answers of servers that the request keeps until one is written. Keep is
	// called by the exchanges of the request, also after its end. It is acquired before
	// the lock of the table.
	mu    sync.Mutex
	kept  *intake.Entry
	ended bool
}

// Keep reserves the memory of a server's answer to the request, in bytes, until an answer is
// written to the client. It returns false if there is no room, or if the request has ended.
func (a *answer) Keep(bytes int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return false
	}
	if a.kept == nil {
		a.kept = a.table.Begin(intake.Held{}, a.address, a, time.Now())
	}
	return reserve(a.table, a.kept, bytes, time.Now()) == nil
}

// releaseKept gives back what Keep has reserved.
func (a *answer) releaseKept() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	if a.kept != nil {
		a.table.End(a.kept)
		a.kept = nil
	}
}

// Unwrap is used by http.ResponseController.
func (a *answer) Unwrap() http.ResponseWriter { return a.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (a *answer) WriteHeader(status int) {
	a.limitRest()
	a.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (a *answer) Write(p []byte) (int, error) {
	a.limitRest()
	if len(p) <= freeAnswer {
		a.limitWrite()
		return a.ResponseWriter.Write(p)
	}
	// Neither the request nor the other answers to it are needed any more.
	if a.body != nil {
		a.body.release()
	}
	a.releaseKept()
	entry := a.table.Begin(intake.Answer{}, a.address, a, time.Now())
	defer a.table.End(entry)
	a.conn.BeginAnswer(entry)
	defer a.conn.EndMessage()
	if reserve(a.table, entry, int64(len(p)), time.Now()) != nil {
		panic(http.ErrAbortHandler)
	}
	a.writeUntil = time.Time{}
	written := 0
	for written < len(p) {
		_ = a.controller.SetWriteDeadline(a.table.Deadline(entry))
		if a.table.IsEnded(entry) {
			panic(http.ErrAbortHandler)
		}
		n, err := a.ResponseWriter.Write(p[written:min(len(p), written+piece)])
		written += n
		if err != nil {
			a.table.RecordSlow()
			return written, err
		}
		a.table.Progress(entry, int64(n), time.Now())
	}
	return written, nil
}

// limitRest bounds the time for which the server waits for the rest of a body that the
// handler has not read.
func (a *answer) limitRest() {
	if a.limited {
		return
	}
	a.limited = true
	a.limitWrite()
	if a.body != nil && a.body.err == nil {
		_ = a.controller.SetReadDeadline(time.Now().Add(discardTime))
		a.conn.DiscardBody()
	}
}

// limitWrite sets the time limit of writes that fit into the buffers of the connection. It
// changes a limit only after half of its time, because a change costs more than the writes.
func (a *answer) limitWrite() {
	now := time.Now()
	if a.writeUntil.Sub(now) > answerTime/2 {
		return
	}
	a.writeUntil = now.Add(answerTime)
	_ = a.controller.SetWriteDeadline(a.writeUntil)
}

// Evict implements intake.Holder.
func (a *answer) Evict() { _ = a.controller.SetWriteDeadline(time.Unix(1, 0)) }
