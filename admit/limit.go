package admit

import "time"

// Bounds and steps of a Limit.
const (
	// minLimit is the least number of requests in progress. Most of them wait for backend
	// servers and take no processor time. startLimit is the limit before any lag is
	// known, and maxLimit the greatest.
	minLimit   = 16
	startLimit = 128
	maxLimit   = 1024
	// targetLag is the lag that a host may always have. A gathered request meets it on two
	// hosts in a row. It does not follow the response-time objectives of the routes.
	targetLag = 20 * time.Millisecond
	// leastSamples is the number of lags that an interval needs. The lag of a single timer
	// may be due to other processes on the machine.
	leastSamples = 4
	// lagInterval is the time within which the lag must fall below targetLag once. A
	// burst that a host works off within it is no overload.
	lagInterval = 100 * time.Millisecond
	// decrease is the factor of a lowered limit.
	decrease = 0.8
)

// Limit is the number of requests that a host may have in progress. It follows the lag of
// the host: the delay between the time at which one of its timers was due and the time at
// which it ran. Additive increase and multiplicative decrease (Chiu and Jain, 1989) bring
// hosts that share a processor to equal parts of it. Overload is told from a burst by the
// least lag of an interval, as CoDel does for a queue (Nichols and Jacobson, 2012).
type Limit struct {
	value float64
	// least is the least lag since the interval began, and samples the number of lags.
	least   time.Duration
	samples int
	began   time.Time
	// full is set if the limit was reached in the interval.
	full bool
}

// Value returns the limit in requests.
func (l *Limit) Value() int {
	if l.value == 0 {
		return startLimit
	}
	return int(l.value)
}

// Observe applies a lag. inProgress is the number of requests in progress.
func (l *Limit) Observe(lag time.Duration, inProgress int, now time.Time) {
	if l.value == 0 {
		l.value = startLimit
	}
	if l.samples == 0 || lag < l.least {
		l.least = lag
	}
	if l.samples == 0 {
		l.began = now
	}
	l.samples++
	l.full = l.full || inProgress >= l.Value()
	if now.Sub(l.began) < lagInterval || l.samples < leastSamples {
		return
	}
	switch {
	case l.least > targetLag:
		// Requests that wait for backend servers take no processor time: the limit comes
		// down from what is in progress, not from a value that was never reached.
		l.value = max(minLimit, decrease*min(l.value, float64(max(inProgress, minLimit))))
	case l.full || l.value < startLimit:
		l.value = min(maxLimit, l.value+1)
	}
	l.samples, l.full = 0, false
}
