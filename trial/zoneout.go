package trial

import "time"

// outBound is the time after acceptance from which a zone that was taken out
// may receive no new work.
const outBound = 2 * time.Second

// setOut notes that the server's zone was taken out or brought back.
func (s *Server) setOut(out bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outAt = time.Time{}
	if out {
		s.outAt = now
	}
}

// reached counts a request that arrives after its zone was taken out.
func (s *Server) reached(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.outAt.IsZero() && now.Sub(s.outAt) > outBound {
		s.afterOut++
	}
}

// zoneouts reports the work that zones received after they were taken out.
type zoneouts struct{ backends *Backends }

func (z *zoneouts) observe(action Action) {
	a, ok := action.(SetZone)
	if !ok {
		return
	}
	for _, s := range z.backends.order {
		if s.zone == a.Name {
			s.setOut(a.Out, time.Now())
		}
	}
}

func (z *zoneouts) figures() map[string]float64 {
	total := 0
	for _, s := range z.backends.order {
		s.mu.Lock()
		total += s.afterOut
		s.mu.Unlock()
	}
	return map[string]float64{"zone_late": float64(total)}
}
