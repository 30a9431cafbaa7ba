package trial

import "time"

// gap is the time in which a server has no owner that dispatches to it.
type gap struct {
	owner string
	from  time.Time
	ended bool
	took  time.Duration
}

// called notes who dispatched to the server and ends the gap after its owner
// failed.
func (s *Server) called(caller string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.caller = caller
	if s.gap != nil && !s.gap.ended && s.gap.owner != caller {
		s.gap.ended = true
		s.gap.took = time.Since(s.gap.from)
	}
}

// orphan begins a gap if the host owns the server.
func (s *Server) orphan(host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.caller == host {
		s.gap = &gap{owner: host, from: time.Now()}
	}
}

// takeovers measures how long the servers of a failed or paused owner wait for
// the first request that another host dispatches to them.
type takeovers struct{ fleet *Fleet }

func (t *takeovers) observe(action Action) {
	switch a := action.(type) {
	case KillHost:
		t.orphan(a.Host)
	case PauseHost:
		t.orphan(a.Host)
	}
}

func (t *takeovers) orphan(host int) {
	for _, s := range t.fleet.backends.order {
		s.orphan(t.fleet.hosts[host].Name)
	}
}

// figures returns the longest gap in seconds, the number of servers that lost
// their owner, and of those that nobody dispatched to since.
func (t *takeovers) figures() map[string]float64 {
	var longest time.Duration
	orphans, idle := 0, 0
	for _, s := range t.fleet.backends.order {
		s.mu.Lock()
		if s.gap != nil {
			orphans++
			idle += count(!s.gap.ended)
			longest = max(longest, s.gap.took)
		}
		s.mu.Unlock()
	}
	return map[string]float64{
		"takeover_s": longest.Seconds(),
		"orphans":    float64(orphans),
		"idle":       float64(idle),
	}
}
