package trial

import (
	"time"

	"hyssophub/event"
)

// notice takes note of what an owner announces to the other hosts.
func (b *Backends) notice(e event.Event) {
	cold, ok := e.(event.ServerCold)
	if !ok {
		return
	}
	s := b.servers[cold.Server]
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.firstSlow.IsZero() && s.noticed.IsZero() {
		s.noticed = time.Now()
	}
}

// notice returns the time from the first slow reply after a silent change to
// its announcement. A change that caused no slow reply or was never announced
// counts from its start to the present.
func (s *Server) notice() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.turned.IsZero():
		return 0
	case s.firstSlow.IsZero():
		return time.Since(s.turned)
	case s.noticed.IsZero():
		return time.Since(s.firstSlow)
	default:
		return s.noticed.Sub(s.firstSlow)
	}
}
