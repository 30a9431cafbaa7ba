package owner

import (
	"slices"
	"time"
)

// windowSize is the number of recent service times that a Window keeps. It is
// small, so that figures follow a change within a few replies.
const windowSize = 32

// Window keeps the most recent service times of a server.
type Window struct {
	samples [windowSize]time.Duration
	count   int
	next    int
	sorted  [windowSize]time.Duration
	stale   bool
}

// Add records a service time.
func (w *Window) Add(took time.Duration) {
	w.samples[w.next] = took
	w.next = (w.next + 1) % windowSize
	w.count = min(w.count+1, windowSize)
	w.stale = true
}

// Median returns the recent median, or zero without samples.
func (w *Window) Median() time.Duration { return w.quantile(1, 2) }

// Tail returns the recent 95th percentile, or zero without samples.
func (w *Window) Tail() time.Duration { return w.quantile(19, 20) }

func (w *Window) quantile(num, den int) time.Duration {
	if w.count == 0 {
		return 0
	}
	if w.stale {
		copy(w.sorted[:w.count], w.samples[:w.count])
		slices.Sort(w.sorted[:w.count])
		w.stale = false
	}
	return w.sorted[min(w.count-1, w.count*num/den)]
}
