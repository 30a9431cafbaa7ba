package trial

import "time"

// zoneOutLimit is the time after the accepted change at which a zone that is out
// of service must receive no more new requests.
const zoneOutLimit = 2 * time.Second

// setZoneOut records that the server's zone was taken out of service at now, or
// returned to service.
func (s *Server) setZoneOut(out bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.zoneOutAt = time.Time{}
	if out {
		s.zoneOutAt = now
	}
}

// recordArrival counts a request that arrives later than zoneOutLimit after the
// zone was taken out of service.
func (s *Server) recordArrival(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.zoneOutAt.IsZero() && now.Sub(s.zoneOutAt) > zoneOutLimit {
		s.lateArrivals++
	}
}

// zoneOutArrivals reports the late requests to zones that are out of service.
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
