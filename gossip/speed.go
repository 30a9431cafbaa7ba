package gossip

import (
	"slices"
	"time"
)

const (
	// speedSamples is the number of measurements of which the shortest counts, so that
	// a garbage collection or another process does not make a host look slow.
	speedSamples = 3
	// maxDivisor bounds the divisor of the weight of a slow host. A host that is slower
	// gets next to no parts anyway.
	maxDivisor = 16
	// slowFactor is how many times longer than at best a measurement must take for the
	// host to count as slow. Above it, the announced weight falls in halves, so that
	// small changes do not move work between hosts.
	slowFactor = 2.5
	// speedDrift is the factor by which the best measurement grows with each new one,
	// so that a host is compared with its speed of the last minutes.
	speedDrift = 1.002
)

// speed is what a host knows of its own processor speed. best is the least median of
// speedSamples measurements in a row: a single one may be far too short, as after a step
// of the clock, and would make the host look slow for minutes.
type speed struct {
	recent []time.Duration
	best   time.Duration
}

// record adds the time that a fixed amount of work took.
func (s *speed) record(took time.Duration) {
	s.recent = append(s.recent, took)
	if len(s.recent) > speedSamples {
		s.recent = s.recent[1:]
	}
	if len(s.recent) < speedSamples {
		return
	}
	sorted := slices.Sorted(slices.Values(s.recent))
	typical := sorted[speedSamples/2]
	s.best = time.Duration(speedDrift * float64(s.best))
	if s.best == 0 || typical < s.best {
		s.best = typical
	}
}

// divisor returns the power of two by which the weight of the host is divided.
func (s *speed) divisor() int {
	if s.best == 0 {
		return 1
	}
	divisor := 1
	for ratio := float64(slices.Min(s.recent)) / float64(s.best); ratio >= slowFactor; ratio /= 2 {
		divisor *= 2
	}
	return min(divisor, maxDivisor)
}

// RecordSpeed records how long a fixed amount of work took on the local host, which is
// measured before each heartbeat. A host that became slow announces a smaller weight, so
// that the others delegate less to it. RecordSpeed reports whether the weight changed.
func (t *Table) RecordSpeed(took time.Duration) (weight int, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.speed.record(took)
	before := t.self.Weight
	t.self.Weight = max(1, t.fullWeight/t.speed.divisor())
	return t.self.Weight, t.self.Weight != before
}
