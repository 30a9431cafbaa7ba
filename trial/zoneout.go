package trial

import "time"

// outBound is the time after acceptance from which a zone that was taken out
// may receive no new work.
const zoneOutLimit = 2 * time.Second

// setOut notes that the server's zone was taken out or brought back.
func (s *Server) setZoneOut(out bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.zoneOutAt = time.Time{}
	if out {
		s.zoneOutAt = now
	}
}

// reached counts a request that arrives after its zone was taken out.
func (s *Server) recordArrival(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.zoneOutAt.IsZero() && now.Sub(s.zoneOutAt) > zoneOutLimit {
		s.lateArrivals++
	}
}

// zoneouts reports the work that zones received after they were taken out.
type zoneOutArrivals struct{ backends *Backends }

func (z *zoneOutArrivals) observe(action Action) {
	a, ok := action.(SetZone)
	if !ok {
		return
	}
	for _, s := range z.backends.all {
		if s.zone == a.Name {
			s.setZoneOut(a.Out, time.Now())
		}
	}
}

func (z *zoneOutArrivals) figures() map[string]float64 {
	total := 0
	for _, s := range z.backends.all {
		s.mu.Lock()
		total += s.lateArrivals
		s.mu.Unlock()
	}
	return map[string]float64{"zone_late": float64(total)}
}
