package trial

import (
	"time"

	"hyssophub/event"
)

// notice takes note of what an owner announces to the other hosts.
func (b *Backends) recordAnnouncement(e event.Event) {
	cold, ok := e.(event.ServerCold)
	if !ok {
		return
	}
	s := b.servers[cold.Server]
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.firstSlowReply.IsZero() && s.announcedAt.IsZero() {
		s.announcedAt = time.Now()
	}
}

// notice returns the time from the first slow reply after a silent change to
// its announcement. A change that caused no slow reply or was never announced
// counts from its start to the present.
func (s *Server) announceDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.coldSince.IsZero():
		return 0
	case s.firstSlowReply.IsZero():
		return time.Since(s.coldSince)
	case s.announcedAt.IsZero():
		return time.Since(s.firstSlowReply)
	default:
		return s.announcedAt.Sub(s.firstSlowReply)
	}
}
