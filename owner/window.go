package owner

import (
	"math"
	"slices"
	"time"
)

// windowSize is the number of recent service times in a LatencyWindow. It is
// small, so that the median follows a change within a few replies.
const windowSize = 32

// LatencyWindow holds the most recent service times of a server, also in sorted
// order, because sorting on every reply costs more than the rest of a decision.
// Samples are in microseconds to keep the records of many servers small.
type LatencyWindow struct {
	samples [windowSize]uint32
	sorted  [windowSize]uint32
	count   int
	next    int
}

// Add records a service time.
func (w *LatencyWindow) Add(took time.Duration) {
	if w.count == windowSize {
		w.remove(w.samples[w.next])
	}
	sample := uint32(min(took.Microseconds(), math.MaxUint32))
	w.samples[w.next] = sample
	w.next = (w.next + 1) % windowSize
	i, _ := slices.BinarySearch(w.sorted[:w.count], sample)
	copy(w.sorted[i+1:w.count+1], w.sorted[i:w.count])
	w.sorted[i] = sample
	w.count++
}

func (w *LatencyWindow) remove(sample uint32) {
	i, _ := slices.BinarySearch(w.sorted[:w.count], sample)
	copy(w.sorted[i:w.count-1], w.sorted[i+1:w.count])
	w.count--
}

// Count returns the number of recorded service times.
func (w *LatencyWindow) Count() int { return w.count }

// Median returns the recent median, or zero without samples.
func (w *LatencyWindow) Median() time.Duration { return w.quantile(1, 2) }

// Tail returns the recent 95th percentile, or zero without samples.
func (w *LatencyWindow) Tail() time.Duration { return w.quantile(19, 20) }

func (w *LatencyWindow) quantile(num, den int) time.Duration {
	if w.count == 0 {
		return 0
	}
	return time.Duration(w.sorted[min(w.count-1, w.count*num/den)]) * time.Microsecond
}
