package fakes

import "time"

const (
	// coldFactor is the multiple of the service time that a request takes on
	// a cold server; it falls to 1 while the server warms up.
	coldFactor = 4
	// breachFactor is the multiple for a request above the rate that the cold
	// server bears.
	breachFactor = 20
	// warmStep bounds the warm-up that one request brings, so that an idle
	// server does not warm up.
	maxWarmStep = time.Second
	// fallTime is how long a server that fell over refuses work.
	outageTime = time.Second
)

// cold is the cold start of a server: the rate that it bears rises from the
// floor to the full rate while it serves requests.
type coldStart struct {
	options     ServerOptions
	warmth      float64
	lastRequest time.Time
	// next is the time at which the next request is due at the allowed rate.
	nextDue     time.Time
	breaches    int
	outageUntil time.Time
}

func newColdStart(options ServerOptions) coldStart {
	c := coldStart{options: options}
	if options.Floor <= 0 {
		c.warmth = 1
	}
	return c
}

// arrive records a request and returns the multiple of the service time that
// it takes, and whether it breaks the rate.
func (c *coldStart) recordRequest(now time.Time) (float64, bool) {
	if c.warmth >= 1 {
		return 1, false
	}
	floor := float64(c.options.Floor)
	full := max(floor, float64(c.options.Slots)/max(c.options.ServiceTime, time.Microsecond).Seconds())
	interval := time.Duration(float64(time.Second) / (floor + c.warmth*(full-floor)))
	// Half an interval is left for jitter on the way.
	if now.Before(c.nextDue.Add(-interval / 2)) {
		if c.breaches++; c.breaches == c.options.MaxBreaches {
			c.breaches = 0
			c.outageUntil = now.Add(outageTime)
		}
		return breachFactor, true
	}
	if c.nextDue.Before(now) {
		c.nextDue = now
	}
	c.nextDue = c.nextDue.Add(interval)
	if !c.lastRequest.IsZero() && c.options.Warmup > 0 {
		c.warmth = min(1, c.warmth+float64(min(now.Sub(c.lastRequest), maxWarmStep))/float64(c.options.Warmup))
	}
	c.lastRequest = now
	return coldFactor - c.warmth*(coldFactor-1), false
}
