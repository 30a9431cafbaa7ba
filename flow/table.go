package flow

import (
	"sync"
	"time"
)

// Table holds the servers that bound the requests that they take. In the lock
// order, its lock comes after that of package fleet and before that of package
// dial; no other lock is acquired while it is held.
type Table struct {
	mu      sync.Mutex
	servers map[string]*state
}

// state is what is known of one server.
type state struct {
	server Server
	// limited is set while the server names a rate limit, rate. toldAt is when the
	// answer arrived that named the limit first.
	limited bool
	rate    float64
	toldAt  time.Time
}

// NewTable returns a table without servers.
func NewTable() *Table { return &Table{servers: make(map[string]*state)} }

// Learn applies what a server said in an answer that arrived now, to a request that
// was sent at the given time, and returns what changed.
func (t *Table) Learn(server Server, notice Notice, sent, now time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[server.ID]
	if s != nil && s.server.StartMs != server.StartMs {
		if server.StartMs < s.server.StartMs {
			return nil
		}
		s = nil
	}
	if s == nil {
		if !notice.Limited {
			return nil
		}
		s = &state{server: server}
		t.servers[server.ID] = s
	}
	return s.learnLimit(notice, sent, now)
}

// learnLimit applies the rate limit in a notice. An answer without a limit ends the
// limit only if its request was sent after the limit became known: answers overtake
// each other.
func (s *state) learnLimit(notice Notice, sent, now time.Time) []Change {
	switch {
	case notice.Limited && (!s.limited || s.rate != notice.Rate):
		s.limited, s.rate, s.toldAt = true, notice.Rate, now
		return []Change{LimitNamed{Server: s.server, Rate: notice.Rate}}
	case !notice.Limited && s.limited && sent.After(s.toldAt):
		s.limited = false
		return []Change{LimitEnded{Server: s.server}}
	}
	return nil
}

// Forget removes what is known of a server that is gone.
func (t *Table) Forget(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.servers, id)
}

// Counts is the number of servers by what bounds the requests that they take.
type Counts struct {
	// Limited is the number of servers that name a rate limit.
	Limited int
}

// Counts returns the number of servers by what bounds the requests that they take.
func (t *Table) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	var c Counts
	for _, s := range t.servers {
		if s.limited {
			c.Limited++
		}
	}
	return c
}
