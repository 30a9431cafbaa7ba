package flow

import (
	"math"
	"time"
)

// Learn applies what a server said in an answer that arrived now, to a request that
// was sent at the given time, and returns what changed.
func (t *Table) Learn(server Server, notice Notice, sent, now time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	if notice.isEmpty() && t.servers[server.ID] == nil {
		return nil
	}
	s := t.state(server)
	if s == nil {
		return nil
	}
	changes := t.learnLimit(s, notice, sent, now)
	if notice.Pause > 0 {
		changes = append(changes, t.pause(s, notice.Pause, now)...)
	}
	if notice.Leaving && !s.leaving {
		s.leaving = true
		changes = append(changes, LeavingNamed{Server: s.server})
		t.newlyLeaving = append(t.newlyLeaving, s.server)
		t.wakeUp()
	}
	return changes
}

// learnLimit applies the rate limit in a notice.
func (t *Table) learnLimit(s *state, notice Notice, sent, now time.Time) []Change {
	if !notice.Limited && (!s.limit.named || !sent.After(s.limit.namedAt)) {
		// Answers overtake each other. Only a request that was sent after the limit
		// became known shows that the limit has ended.
		return nil
	}
	wasNamed := s.limit.named
	changes := s.setLimit(notice.Limited, notice.Rate, now, now)
	if s.limit.named && !wasNamed {
		t.newlyLimited = append(t.newlyLimited, ServerLimit{Server: s.server, Limit: s.known()})
	}
	if len(changes) > 0 {
		// The owner of the limit is told at once.
		s.ask.next = now
		t.wakeUp()
	}
	return changes
}

const (
	// maxPause bounds the pauses that servers name. A longer one is more likely a
	// mistake than a server that will be of use again.
	maxPause = 10 * time.Minute
	// The end of a pause is put off by up to pauseSpread of its length, at most
	// maxPauseSpread, so that the hosts do not return together.
	pauseSpread    = 0.25
	maxPauseSpread = time.Second
)

// pause applies a pause that a server named in a refusal.
func (t *Table) pause(s *state, named time.Duration, now time.Time) []Change {
	length := min(named, maxPause)
	spread := min(time.Duration(pauseSpread*float64(length)), maxPauseSpread)
	until := now.Add(length + time.Duration(t.random.Float64()*float64(spread)))
	if !until.After(s.pausedUntil) {
		return nil
	}
	wasPaused := now.Before(s.pausedUntil)
	s.pausedUntil = until
	if wasPaused {
		return nil
	}
	return []Change{PauseNamed{Server: s.server, Named: named, Until: until}}
}

// setLimit applies a limit, or its end, that follows from an answer at saidAt.
func (s *state) setLimit(named bool, rate float64, saidAt, now time.Time) []Change {
	if saidAt.Before(s.limit.saidAt) {
		return nil
	}
	wasNamed := s.limit.named
	s.limit.saidAt, s.limit.named, s.limit.rate = saidAt, named, rate
	switch {
	case !named && !wasNamed:
		return nil
	case !named:
		return []Change{LimitEnded{Server: s.server}}
	case !wasNamed:
		s.limit.namedAt = now
	case math.Abs(rate-s.limit.reported) <= reportedChange*s.limit.reported:
		return nil
	}
	s.limit.reported = rate
	return []Change{LimitNamed{Server: s.server, Rate: rate}}
}

// reportedChange is the relative change of a rate up to which it is not reported, so
// that a limit that varies with the load does not fill the log.
const reportedChange = 0.1
