package fleet

import (
	"time"

	"hyssophub/flow"
)

// Observation is the outcome of an exchange with an instance. The interface is
// sealed.
type Observation interface{ observation() }

type (
	// Answered means that the instance served the request.
	Answered struct{ Took time.Duration }
	// Shed means that the instance refused the request because of overload.
	Shed struct{}
	// Leaving means that the instance answered that it is shutting down, or that
	// another instance uses its address now.
	Leaving struct{}
	// Failed means that the exchange failed.
	Failed struct{}
	// Abandoned means that the host ended the exchange before an answer.
	Abandoned struct{}
)

func (Answered) observation()  {}
func (Shed) observation()      {}
func (Leaving) observation()   {}
func (Failed) observation()    {}
func (Abandoned) observation() {}

// Observe ends an exchange that Choose began at the given time and records its
// outcome. Unknown instances are ignored.
func (t *Table) Observe(id string, began time.Time, o Observation, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.byID[id]
	if !ok {
		return
	}
	s.endExchange(began)
	switch o := o.(type) {
	case Answered:
		s.recordAnswer(began, o.Took, now)
	case Shed:
		s.shedUntil = now.Add(shedHold)
		s.failureRate += failureWeight * (1 - s.failureRate)
	case Leaving:
		s.State = Draining{}
		t.updateVersions(s.Service)
	case Failed:
		s.recordFailure(now)
	case Abandoned:
		s.recordAbandoned(began, now)
	}
}

// MinLatency returns the lowest average latency among the instances of a service,
// or zero if no instance has a measured latency yet.
func (t *Table) MinLatency(service string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	var lowest time.Duration
	for _, s := range t.services[service] {
		if average := s.averageLatency(now); average > 0 && (lowest == 0 || average < lowest) {
			lowest = average
		}
	}
	return lowest
}

// Learn applies what an instance said, in an answer that arrived now, of the
// requests that it takes. sent is when the request was sent. It returns what
// changed.
func (t *Table) Learn(c Choice, notice flow.Notice, sent, now time.Time) []flow.Change {
	return t.bounds.Learn(c.flowServer(), notice, sent, now)
}

// flowServer returns the identity of this run of the instance.
func (i Instance) flowServer() flow.Server {
	return flow.Server{ID: i.ID, StartMs: i.StartMs, Zone: i.Zone}
}
