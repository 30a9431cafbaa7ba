package trial

import "time"

// ownerGap is the time between the failure of a server's owner and the first
// request that another host dispatches to the server.
type ownerGap struct {
	owner  string
	since  time.Time
	ended  bool
	length time.Duration
}

// recordCaller records the host that dispatched a request to the server. A
// request from another host than the failed owner ends the gap.
func (s *Server) recordCaller(caller string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastCaller = caller
	if s.gap != nil && !s.gap.ended && s.gap.owner != caller {
		s.gap.ended = true
		s.gap.length = time.Since(s.gap.since)
	}
}

// beginGap starts a gap if the host owns the server, that is, if the host
// dispatched the latest request.
func (s *Server) beginGap(host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastCaller == host {
		s.gap = &ownerGap{owner: host, since: time.Now()}
	}
}

// takeovers measures the ownerGap of each server whose owner is killed or
// paused.
type takeovers struct{ fleet *Fleet }

func (t *takeovers) observe(action Action) {
	switch a := action.(type) {
	case KillHost:
		t.beginGaps(a.Host)
	case PauseHost:
		t.beginGaps(a.Host)
	}
}

func (t *takeovers) beginGaps(host int) {
	for _, s := range t.fleet.backends.all {
		s.beginGap(t.fleet.hosts[host].Name)
	}
}

// figures returns the longest gap in seconds, the number of servers that lost
// their owner, and the number of those that received no request from another
// host since.
func (t *takeovers) figures() map[string]float64 {
	var longest time.Duration
	orphans, idle := 0, 0
	for _, s := range t.fleet.backends.all {
		s.mu.Lock()
		if s.gap != nil {
			orphans++
			idle += boolToInt(!s.gap.ended)
			longest = max(longest, s.gap.length)
		}
		s.mu.Unlock()
	}
	return map[string]float64{
		"takeover_s": longest.Seconds(),
		"orphans":    float64(orphans),
		"idle":       float64(idle),
	}
}
