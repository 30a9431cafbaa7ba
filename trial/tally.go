package trial

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hyssophub/shard"
)

// Indexes of tally.windows.
const (
	windowBefore = iota
	windowDuring
	windowCount
)

// Range of the histograms in microseconds, and their precision in significant
// digits.
const (
	minLatency        = 1
	maxLatency        = int64(time.Minute / time.Microsecond)
	significantDigits = 3
)

// tally accumulates the results of the queries in each window.
type tally struct {
	mu      sync.Mutex
	windows [windowCount]windowSums
}

type windowSums struct {
	all     *hdrhistogram.Histogram
	classes [shard.ClassCount]*hdrhistogram.Histogram
	queries int
	refused int
	overdue int
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
		t.windows[i].all = hdrhistogram.New(minLatency, maxLatency, significantDigits)
		for c := range t.windows[i].classes {
			t.windows[i].classes[c] = hdrhistogram.New(minLatency, maxLatency, significantDigits)
		}
	}
	return t
}

func (t *tally) add(window int, r record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := &t.windows[window]
	s.queries++
	s.overdue += boolToInt(r.overdue)
	if r.refused {
		s.refused++
		return
	}
	us := r.latency.Microseconds()
	_ = s.all.RecordValue(us)
	_ = s.classes[r.class].RecordValue(us)
	s.mixed += boolToInt(r.mixed)
	s.inexact += boolToInt(r.inexact)
	s.covered += r.answer.Coverage.Covered
	s.total += r.answer.Coverage.Total
	s.subs += r.answer.Subs
	s.extra += r.answer.Extra
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Result holds the figures of one run. Extra is the ratio of extra
// sub-requests to the others.
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

// String returns the line that a trial prints.
func (r Result) String() string {
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	return fmt.Sprintf("trial %s policy=%s deployment=%s p50_ms=%.1f p99_ms=%.1f coverage=%.5f extra=%.4f breaches=%d",
		r.Trial, r.Policy, r.Deployment, ms(r.P50), ms(r.P99), r.Coverage, r.Extra, r.Breaches)
}

// MissedTargets returns one line for each target that the run did not meet.
func (r Result) MissedTargets(targets []Target) []string {
	var missed []string
	for _, t := range targets {
		got, ok := r.Figures[t.Figure]
		if !ok || got > t.Max {
			missed = append(missed, fmt.Sprintf("%s/%s %s: %s is %.4f, target is at most %.4f",
				r.Trial, r.Deployment, r.Policy, t.Figure, got, t.Max))
		}
	}
	return missed
}

// result computes the figures of a run. Counters of servers cover the whole
// run, those of queries the measured window, and the counts of mixed, inexact
// and overdue answers both windows.
func (t *tally) result(counts Counts) Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	b, d := &t.windows[windowBefore], &t.windows[windowDuring]
	r := Result{
		P50:      percentile(d.all, 50),
		P99:      percentile(d.all, 99),
		Coverage: ratio(d.covered, d.total),
		Extra:    ratio(d.extra, d.subs-d.extra),
		Breaches: counts.Breaches,
	}
	r.Figures = map[string]float64{
		"p99":         relative(r.P99, percentile(b.all, 99)),
		"urgent":      relative(percentile(d.classes[shard.Urgent], 99), percentile(b.classes[shard.Urgent], 99)),
		"urgent_ms":   float64(percentile(d.classes[shard.Urgent], 99).Microseconds()) / 1000,
		"before_ms":   float64(percentile(b.all, 99).Microseconds()) / 1000,
		"extra":       r.Extra,
		"missing":     float64(d.total - d.covered),
		"mixed":       float64(b.mixed + d.mixed),
		"inexact":     float64(b.inexact + d.inexact),
		"overdue":     float64(b.overdue + d.overdue),
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

func percentile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

func relative(a, b time.Duration) float64 {
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
