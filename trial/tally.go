package trial

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hyssophub/shard"
)

// Windows of a tally.
const (
	before = iota
	during
	windows
)

// Bounds and precision of the histograms, in microseconds and digits.
const (
	shortest = 1
	longest  = int64(time.Minute / time.Microsecond)
	digits   = 3
)

// tally adds up the queries of each window.
type tally struct {
	mu      sync.Mutex
	windows [windows]sums
}

type sums struct {
	all     *hdrhistogram.Histogram
	classes [shard.ClassCount]*hdrhistogram.Histogram
	queries int
	refused int
	late    int
	mixed   int
	inexact int
	covered int
	total   int
	subs    int
	extra   int
}

func newTally() *tally {
	t := &tally{}
	for i := range t.windows {
		t.windows[i].all = hdrhistogram.New(shortest, longest, digits)
		for c := range t.windows[i].classes {
			t.windows[i].classes[c] = hdrhistogram.New(shortest, longest, digits)
		}
	}
	return t
}

func (t *tally) add(window int, r record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := &t.windows[window]
	s.queries++
	s.late += count(r.late)
	if r.refused {
		s.refused++
		return
	}
	us := r.took.Microseconds()
	_ = s.all.RecordValue(us)
	_ = s.classes[r.class].RecordValue(us)
	s.mixed += count(r.mixed)
	s.inexact += count(r.inexact)
	s.covered += r.answer.Coverage.Covered
	s.total += r.answer.Coverage.Total
	s.subs += r.answer.Subs
	s.extra += r.answer.Extra
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Result holds the figures of one run.
type Result struct {
	Trial      string
	Policy     string
	Deployment string
	P50        time.Duration
	P99        time.Duration
	Coverage   float64
	Extra      float64
	Breaches   int
	Figures    map[string]float64
}

// String returns the result's line.
func (r Result) String() string {
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	return fmt.Sprintf("trial %s policy=%s deployment=%s p50_ms=%.1f p99_ms=%.1f coverage=%.5f extra=%.4f breaches=%d",
		r.Trial, r.Policy, r.Deployment, ms(r.P50), ms(r.P99), r.Coverage, r.Extra, r.Breaches)
}

// Misses returns a line for each target that the run did not meet.
func (r Result) MissedTargets(targets []Target) []string {
	var misses []string
	for _, t := range targets {
		got, ok := r.Figures[t.Figure]
		if !ok || got > t.Max {
			misses = append(misses, fmt.Sprintf("%s/%s %s: %s is %.4f, target is at most %.4f",
				r.Trial, r.Deployment, r.Policy, t.Figure, got, t.Max))
		}
	}
	return misses
}

// result computes the figures of a run. Counts of the servers cover the whole
// run, those of the queries the measured window, and mixed, inexact and late
// answers both windows.
func (t *tally) result(counts Counts) Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	b, d := &t.windows[before], &t.windows[during]
	r := Result{
		P50:      quantile(d.all, 50),
		P99:      quantile(d.all, 99),
		Coverage: ratio(d.covered, d.total),
		Extra:    ratio(d.extra, d.subs-d.extra),
		Breaches: counts.Breaches,
	}
	r.Figures = map[string]float64{
		"p99":         over(r.P99, quantile(b.all, 99)),
		"urgent":      over(quantile(d.classes[shard.Urgent], 99), quantile(b.classes[shard.Urgent], 99)),
		"urgent_ms":   float64(quantile(d.classes[shard.Urgent], 99).Microseconds()) / 1000,
		"before_ms":   float64(quantile(b.all, 99).Microseconds()) / 1000,
		"extra":       r.Extra,
		"missing":     float64(d.total - d.covered),
		"mixed":       float64(b.mixed + d.mixed),
		"inexact":     float64(b.inexact + d.inexact),
		"overdue":     float64(b.late + d.late),
		"refused":     float64(d.refused),
		"queries":     float64(d.queries),
		"breaches":    float64(counts.Breaches),
		"unknowable":  float64(counts.Unavoidable),
		"notice":      counts.AnnounceDelay.Seconds(),
		"late":        float64(counts.LateRequests),
		"interrupted": float64(counts.Interrupted),
	}
	return r
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

func over(a, b time.Duration) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
