package fleet

import "time"

// Observation is what an exchange showed of an instance. The interface is
// sealed.
type Observation interface{ observation() }

type (
	// Answered means that the instance served the request.
	Answered struct{ Took time.Duration }
	// Shed means that the instance refused the request for want of room.
	Shed struct{}
	// Leaving means that the instance said that it closes for good or that
	// another instance has its address.
	Leaving struct{}
	// Failed means that the exchange failed.
	Failed struct{}
	// Abandoned means that the host ended the exchange itself.
	Abandoned struct{}
)

func (Answered) observation()  {}
func (Shed) observation()      {}
func (Leaving) observation()   {}
func (Failed) observation()    {}
func (Abandoned) observation() {}

// Observe ends an exchange that Choose began at the given time.
func (t *Table) Observe(id string, began time.Time, o Observation, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.byID[id]
	if !ok {
		return
	}
	s.end(began)
	switch o := o.(type) {
	case Answered:
		s.answered(began, o.Took, now)
	case Shed:
		s.shedUntil = now.Add(shedHold)
		s.grey += greyWeight * (1 - s.grey)
	case Leaving:
		s.State = Draining{}
	case Failed:
		s.failed(now)
	case Abandoned:
		s.abandoned(began, now)
	}
}

// MinLatency returns the lowest usual time of a service's instances, or zero if
// none has answered yet.
func (t *Table) MinLatency(service string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	var lowest time.Duration
	for _, s := range t.services[service] {
		if usual := s.usual(now); usual > 0 && (lowest == 0 || usual < lowest) {
			lowest = usual
		}
	}
	return lowest
}
