package fleet

import (
	"math"
	"time"
)

// server is an instance with what recent exchanges show of it.
type server struct {
	Instance
	// learned is when the moving average last changed.
	learned time.Time
	// begun holds the starts of this host's exchanges in progress, oldest first.
	begun []time.Time
	// latency is a moving average of the exchanges' times.
	latency time.Duration
	// stalledUntil is how long an instance is avoided after an exchange with it
	// was given up as overdue.
	stalledUntil time.Time
	// served is when the instance last answered.
	served time.Time
	// overdueSince is the start of the first of a series of overdue exchanges;
	// zero if the last answer came in its usual time.
	overdueSince time.Time
	// failures counts the failed exchanges since the last success, and retry
	// is when the next one may be tried.
	failures int
	retry    time.Time
	// coldUntil is when the instance is warm by its own statement.
	coldUntil time.Time
	// coldNext is when this host may send the next request to the instance
	// while it is cold.
	coldNext time.Time
	// held is the cold time for which coldNext was first set.
	held time.Time
	// shedUntil is when an instance that shed load is chosen again as usual.
	shedUntil time.Time
	// grey is a moving average of the share of exchanges that failed or were
	// shed.
	grey float64
}

const (
	// latencyWeight is the weight of a new exchange in the moving average.
	latencyWeight = 0.2
	// greyWeight is the weight of a new exchange in the share of failures.
	greyWeight = 0.1
	// stallHold is how long after the start of an overdue exchange that was
	// given up its instance is avoided. Pauses of collectors and schedulers end
	// within a few hundred milliseconds.
	stallHold = 250 * time.Millisecond
	// stallFactor and stallMin say from which age on an exchange without an
	// answer is overdue: a multiple of the instance's usual time, and a least
	// time that ordinary variation does not reach.
	stallFactor = 3
	stallMin    = 20 * time.Millisecond
	// slowSpan is the time between the starts of two overdue exchanges in a row
	// from which on an instance is slow and not paused: the longest pause of 200
	// ms and the queue that it leaves behind. Starts that lie further apart than
	// slowSpanMax are no series.
	slowSpan    = 400 * time.Millisecond
	slowSpanMax = 3 * time.Second
	// shedHold is how long an instance that shed load is avoided.
	shedHold = 100 * time.Millisecond
	// failHold is how long an instance is avoided after a first failure; it
	// doubles with each further one up to failHoldMax.
	failHold    = 150 * time.Millisecond
	failHoldMax = 1500 * time.Millisecond
	// forgetTime is the time in which half of a bad figure is forgotten while
	// nothing new is learned. Without it a server that was slow once would never
	// be asked again.
	forgetTime = 3 * time.Second
	// unknownLatency is assumed of an instance without exchanges.
	unknownLatency = 10 * time.Millisecond
)

func (s *server) answered(began time.Time, took time.Duration, now time.Time) {
	if took > s.overdue(now) {
		s.addOverdue(began, took, now)
	} else {
		s.overdueSince = time.Time{}
	}
	s.learn(took, now)
	s.served = now
	s.stalledUntil = time.Time{}
	s.failures = 0
	s.retry = time.Time{}
	s.grey -= greyWeight * s.grey
	if now.After(s.shedUntil) {
		s.shedUntil = time.Time{}
	}
}

// abandoned takes in an exchange that the host gave up. The time that it
// waited is a lower bound of the instance's own.
func (s *server) abandoned(began, now time.Time) {
	waited := now.Sub(began)
	if waited > s.overdue(now) {
		s.addOverdue(began, waited, now)
		// An answer after the start shows that the instance serves.
		if until := began.Add(stallHold); !s.served.After(began) && until.After(s.stalledUntil) {
			s.stalledUntil = until
		}
	}
	if waited > s.usual(now) {
		s.learn(waited, now)
	}
}

// addOverdue takes in an exchange that took at least the given time, which is
// overdue. The second one after the length of a pause shows that the instance
// is slow, and its time is believed at once.
func (s *server) addOverdue(began time.Time, took time.Duration, now time.Time) {
	apart := began.Sub(s.overdueSince)
	switch {
	case s.overdueSince.IsZero() || apart > slowSpanMax:
		s.overdueSince = began
	case apart > slowSpan:
		s.latency, s.learned = max(took, s.usual(now)), now
	}
}

func (s *server) learn(took time.Duration, now time.Time) {
	if s.latency == 0 {
		s.latency = took
	} else {
		usual := s.usual(now)
		s.latency = usual + time.Duration(latencyWeight*float64(took-usual))
	}
	s.learned = now
}

// usual returns the moving average of the exchanges' times, of which what lies
// above the unknown time is forgotten by and by.
func (s *server) usual(now time.Time) time.Duration {
	if s.latency <= unknownLatency {
		return s.latency
	}
	age := now.Sub(s.learned)
	kept := math.Exp2(-float64(age) / float64(forgetTime))
	return unknownLatency + time.Duration(kept*float64(s.latency-unknownLatency))
}

// overdue returns the age from which on an exchange without an answer shows
// that the instance does not serve at present.
func (s *server) overdue(now time.Time) time.Duration {
	return max(stallMin, stallFactor*s.usual(now))
}

// end removes an exchange in progress.
func (s *server) end(began time.Time) {
	for i, b := range s.begun {
		if b.Equal(began) {
			s.begun = append(s.begun[:i], s.begun[i+1:]...)
			return
		}
	}
}

func (s *server) failed(now time.Time) {
	hold := min(failHold<<min(s.failures, 8), failHoldMax)
	s.failures++
	s.retry = now.Add(hold)
	s.grey += greyWeight * (1 - s.grey)
}

// pauseEnd returns when the pause ends that the instance seems to be in:
// its oldest exchange is overdue, or one was given up as such a short time ago.
// Zero means that it seems to serve.
func (s *server) pauseEnd(now time.Time) time.Time {
	if now.Before(s.stalledUntil) {
		return s.stalledUntil
	}
	if len(s.begun) == 0 || now.Sub(s.begun[0]) <= s.overdue(now) {
		return time.Time{}
	}
	return s.begun[0].Add(stallHold)
}

// isHung reports whether the instance does not serve for longer than a pause.
func (s *server) isHung(now time.Time) bool {
	end := s.pauseEnd(now)
	return !end.IsZero() && !now.Before(end)
}

func (s *server) isCold(now time.Time) bool { return now.Before(s.coldUntil) }

// expected estimates the time of one more exchange, with what is left of a
// pause.
func (s *server) expected(now time.Time) time.Duration {
	latency := s.usual(now)
	if latency == 0 {
		latency = unknownLatency
	}
	slots := max(1, s.Slots)
	pause := max(0, s.pauseEnd(now).Sub(now))
	return pause + latency + latency*time.Duration(len(s.begun))/time.Duration(slots)
}
