package relay

import (
	"sync"
	"time"

	"hyssophub/fault"
)

// stopState is when the requests of a stopping engine end.
type stopState struct {
	mu sync.Mutex
	// endAt is when requests without an answer end; zero while the engine does not
	// stop.
	endAt time.Time
	timer *time.Timer
	// ended is closed at endAt.
	ended chan struct{}
}

// EndBy gives each request without an answer at the given time its final answer, so
// that none is cut off when the process ends. Requests that arrive so late that they
// probably get no answer until then are refused at once; their clients are served by
// another host.
func (e *Engine) EndBy(end time.Time) {
	e.stop.mu.Lock()
	defer e.stop.mu.Unlock()
	if !e.stop.endAt.IsZero() {
		return
	}
	e.stop.endAt = end
	e.stop.timer = time.AfterFunc(time.Until(end), func() { close(e.stop.ended) })
}

// isTooLate reports whether a request with the given response-time objective that
// arrives now would probably be without an answer when the engine's requests end.
func (s *stopState) isTooLate(objective time.Duration, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.endAt.IsZero() && now.Add(objective).After(s.endAt)
}

func (s *stopState) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil {
		s.timer.Stop()
	}
}

// stopped returns the final answer of a request that ends because the host stops.
func (t *Table) stopped(r *requestState) Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.gather != nil && r.hasEnough() {
		return r.answer()
	}
	return t.fail(r, fault.ReasonStopping)
}
