package flow

import "time"

// Admission says whether a request may be sent to a server now. The interface is
// sealed.
type Admission interface{ admission() }

type (
	// Open servers take requests without a permit.
	Open struct{}
	// Permitted servers take a request for a permit that this host has.
	Permitted struct{}
	// Closed servers take no request from this host before Until. Paused is set if the
	// server asked for a pause, Cold if a permit is missing because it is cold; otherwise
	// one is missing because it names a rate limit.
	Closed struct {
		Until  time.Time
		Paused bool
		Cold   bool
	}
	// Ended servers are shutting down and take no request any more.
	Ended struct{}
)

func (Open) admission()      {}
func (Permitted) admission() {}
func (Closed) admission()    {}
func (Ended) admission()     {}

// Check reports whether a request may be sent to a server now. It uses no permit.
func (t *Table) Check(server Server, now time.Time) Admission {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[server.ID]
	if s == nil || s.server.StartMs != server.StartMs {
		return Open{}
	}
	s.gone = false
	_, isBounded := s.bound(now)
	switch {
	case s.leaving:
		return Ended{}
	case now.Before(s.pausedUntil):
		return Closed{Until: s.pausedUntil, Paused: true}
	case !isBounded:
		return Open{}
	case s.validPermits(now) > 0:
		return Permitted{}
	case s.nextPermit.After(now):
		return Closed{Until: s.nextPermit, Cold: now.Before(s.cold.until)}
	default:
		return Closed{Until: now.Add(unknownWait), Cold: now.Before(s.cold.until)}
	}
}

// unknownWait is the time until a permit that is named while none is known.
const unknownWait = 20 * time.Millisecond

// boundedState returns the entry of a server if there is a bound on its requests.
func (t *Table) boundedState(server Server, now time.Time) *state {
	s := t.servers[server.ID]
	if s == nil || s.server.StartMs != server.StartMs {
		return nil
	}
	if _, ok := s.bound(now); !ok {
		return nil
	}
	return s
}

// Send counts a request that is sent to a server now, and uses a permit for it if there
// is a bound on the server's requests.
func (t *Table) Send(server Server, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.boundedState(server, now)
	if s == nil {
		return
	}
	s.wanted.Add(now)
	if s.validPermits(now) > 0 {
		s.permits[0].count--
	}
	t.wakeUp()
}

// Want records that a request would have been sent to a server, had there been a
// permit. again is set if the same request wanted one before.
func (t *Table) Want(server Server, again bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.boundedState(server, now)
	if s == nil {
		return
	}
	s.waitingAt = now
	if !again {
		s.wanted.Add(now)
	}
	t.wakeUp()
}

// validPermits removes the permits that have ended or were used, and counts the
// others.
func (s *state) validPermits(now time.Time) int {
	for len(s.permits) > 0 && (s.permits[0].count == 0 || !now.Before(s.permits[0].until)) {
		s.permits = s.permits[1:]
	}
	count := 0
	for _, p := range s.permits {
		count += p.count
	}
	return count
}
