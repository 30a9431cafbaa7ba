package trial

import (
	"time"

	"hyssophub/event"
)

// recordAnnouncement records the time at which an owner first announces to
// other hosts that a silently changed server is cold.
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

// announceDelay returns the time from the first slow reply after a silent change
// to the announcement of the change. Without an announcement the delay ends
// now, and without a slow reply it also starts at the change.
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
