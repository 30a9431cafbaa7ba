package fleet

import (
	"math"
	"time"
)

// server is an instance with the statistics of this host's recent exchanges
// with it.
type server struct {
	Instance
	// latencyUpdated is when latency was last updated.
	latencyUpdated time.Time
	// trials is the number of requests that were sent as trials of its version.
	trials int
	// inFlight holds the start times of this host's exchanges in progress, oldest
	// first.
	inFlight []time.Time
	// latency is the moving average of the exchanges' durations as of
	// latencyUpdated; zero before the first exchange.
	latency time.Duration
	// stalledUntil is the time until which the instance is avoided because an
	// overdue exchange with it was abandoned.
	stalledUntil time.Time
	// lastAnswer is when the instance last answered.
	lastAnswer time.Time
	// firstOverdue is the start time of the first exchange in a series of overdue
	// ones; zero if the last answer was not overdue.
	firstOverdue time.Time
	// failures counts the failed exchanges since the last success, and retryAt
	// is the end of the backoff after the last failure.
	failures int
	retryAt  time.Time
	// coldUntil is when the instance stops being cold, according to its
	// registration.
	coldUntil time.Time
	// shedUntil is the time until which the instance is avoided because it shed
	// load.
	shedUntil time.Time
	// failureRate is a moving average of the share of exchanges, 0 to 1, that
	// failed or were shed.
	failureRate float64
}

const (
	// latencyWeight is the weight of a new exchange in the average latency.
	latencyWeight = 0.2
	// failureWeight is the weight of a new exchange in the failure rate.
	failureWeight = 0.1
	// stallHold is how long an instance is avoided after the start of an overdue
	// exchange that was abandoned. Pauses of garbage collectors and schedulers
	// end within a few hundred milliseconds.
	stallHold = 250 * time.Millisecond
	// stallFactor and stallMin define the age at which an exchange without an
	// answer is overdue: a multiple of the instance's average latency, and a
	// minimum that ordinary variation does not reach.
	stallFactor = 3
	stallMin    = 20 * time.Millisecond
	// slowSeriesMin is the time between the start times of two consecutive overdue
	// exchanges above which the instance is slow rather than paused. It covers
	// the longest pause, 200 ms, and the queue that builds up during it. Overdue
	// exchanges more than slowSeriesMax apart do not form a series.
	slowSeriesMin = 400 * time.Millisecond
	slowSeriesMax = 3 * time.Second
	// shedHold is how long an instance that shed load is avoided.
	shedHold = 100 * time.Millisecond
	// failureBackoff is how long an instance is avoided after a first failure. It
	// doubles with each further failure up to failureBackoffMax.
	failureBackoff    = 150 * time.Millisecond
	failureBackoffMax = 1500 * time.Millisecond
	// latencyHalfLife is the half-life of the part of an average latency above
	// initialLatency while no new exchange updates it. Without the decay a backend
	// server that was slow once would never be chosen again.
	latencyHalfLife = 3 * time.Second
	// initialLatency is assumed for an instance without exchanges.
	initialLatency = 10 * time.Millisecond
)

func (s *server) recordAnswer(began time.Time, took time.Duration, now time.Time) {
	if took > s.overdueAfter(now) {
		s.recordOverdue(began, took, now)
	} else {
		s.firstOverdue = time.Time{}
	}
	s.updateLatency(took, now)
	s.lastAnswer = now
	s.stalledUntil = time.Time{}
	s.failures = 0
	s.retryAt = time.Time{}
	s.failureRate -= failureWeight * s.failureRate
	if now.After(s.shedUntil) {
		s.shedUntil = time.Time{}
	}
}

// recordAbandoned records an exchange that the host ended before an answer. The
// time that the host waited is a lower bound of the instance's latency.
func (s *server) recordAbandoned(began, now time.Time) {
	waited := now.Sub(began)
	if waited > s.overdueAfter(now) {
		s.recordOverdue(began, waited, now)
		// An answer to another exchange after this one started shows that the
		// instance is not stalled.
		if until := began.Add(stallHold); !s.lastAnswer.After(began) && until.After(s.stalledUntil) {
			s.stalledUntil = until
		}
	}
	if waited > s.averageLatency(now) {
		s.updateLatency(waited, now)
	}
}

// recordOverdue records an overdue exchange that took at least the given time. A
// second overdue exchange that started more than slowSeriesMin after the first
// shows that the instance is slow and not paused, so its duration replaces the
// average latency at once if it is longer.
func (s *server) recordOverdue(began time.Time, took time.Duration, now time.Time) {
	apart := began.Sub(s.firstOverdue)
	switch {
	case s.firstOverdue.IsZero() || apart > slowSeriesMax:
		s.firstOverdue = began
	case apart > slowSeriesMin:
		s.latency, s.latencyUpdated = max(took, s.averageLatency(now)), now
	}
}

func (s *server) updateLatency(took time.Duration, now time.Time) {
	if s.latency == 0 {
		s.latency = took
	} else {
		average := s.averageLatency(now)
		s.latency = average + time.Duration(latencyWeight*float64(took-average))
	}
	s.latencyUpdated = now
}

// averageLatency returns the moving average of the exchanges' durations. The part
// above initialLatency decays with latencyHalfLife.
func (s *server) averageLatency(now time.Time) time.Duration {
	if s.latency <= initialLatency {
		return s.latency
	}
	age := now.Sub(s.latencyUpdated)
	decay := math.Exp2(-float64(age) / float64(latencyHalfLife))
	return initialLatency + time.Duration(decay*float64(s.latency-initialLatency))
}

// overdueAfter returns the age above which an exchange without an answer shows
// that the instance does not serve at present.
func (s *server) overdueAfter(now time.Time) time.Duration {
	return max(stallMin, stallFactor*s.averageLatency(now))
}

// endExchange removes the exchange with the given start time from those in
// progress.
func (s *server) endExchange(began time.Time) {
	for i, b := range s.inFlight {
		if b.Equal(began) {
			s.inFlight = append(s.inFlight[:i], s.inFlight[i+1:]...)
			return
		}
	}
}

func (s *server) recordFailure(now time.Time) {
	backoff := min(failureBackoff<<min(s.failures, 8), failureBackoffMax)
	s.failures++
	s.retryAt = now.Add(backoff)
	s.failureRate += failureWeight * (1 - s.failureRate)
}

// pauseEnd returns the expected end of the pause that the instance seems to be
// in because its oldest exchange in progress is overdue or an overdue exchange
// was abandoned less than stallHold after its start. Zero means that the instance
// does not seem to be paused.
func (s *server) pauseEnd(now time.Time) time.Time {
	if now.Before(s.stalledUntil) {
		return s.stalledUntil
	}
	if len(s.inFlight) == 0 || now.Sub(s.inFlight[0]) <= s.overdueAfter(now) {
		return time.Time{}
	}
	return s.inFlight[0].Add(stallHold)
}

// isStalled reports whether the instance has not answered for longer than a pause
// lasts.
func (s *server) isStalled(now time.Time) bool {
	end := s.pauseEnd(now)
	return !end.IsZero() && !now.Before(end)
}

func (s *server) isCold(now time.Time) bool { return now.Before(s.coldUntil) }

// expectedLatency estimates the duration of one more exchange, including the
// remaining time of a pause.
func (s *server) expectedLatency(now time.Time) time.Duration {
	latency := s.averageLatency(now)
	if latency == 0 {
		latency = initialLatency
	}
	slots := max(1, s.Slots)
	pause := max(0, s.pauseEnd(now).Sub(now))
	return pause + latency + latency*time.Duration(len(s.inFlight))/time.Duration(slots)
}
