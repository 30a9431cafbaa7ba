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
	warmStep = time.Second
	// fallTime is how long a server that fell over refuses work.
	fallTime = time.Second
)

// cold is the cold start of a server: the rate that it bears rises from the
// floor to the full rate while it serves requests.
type cold struct {
	options ServerOptions
	warmth  float64
	last    time.Time
	// next is the time at which the next request is due at the allowed rate.
	next     time.Time
	breaches int
	fallen   time.Time
}

func newCold(options ServerOptions) cold {
	c := cold{options: options}
	if options.Floor <= 0 {
		c.warmth = 1
	}
	return c
}

// arrive records a request and returns the multiple of the service time that
// it takes, and whether it breaks the rate.
func (c *cold) arrive(now time.Time) (float64, bool) {
	if c.warmth >= 1 {
		return 1, false
	}
	floor := float64(c.options.Floor)
	full := max(floor, float64(c.options.Slots)/max(c.options.ServiceTime, time.Microsecond).Seconds())
	interval := time.Duration(float64(time.Second) / (floor + c.warmth*(full-floor)))
	// Half an interval is left for jitter on the way.
	if now.Before(c.next.Add(-interval / 2)) {
		if c.breaches++; c.breaches == c.options.MaxBreaches {
			c.breaches = 0
			c.fallen = now.Add(fallTime)
		}
		return breachFactor, true
	}
	if c.next.Before(now) {
		c.next = now
	}
	c.next = c.next.Add(interval)
	if !c.last.IsZero() && c.options.Warmup > 0 {
		c.warmth = min(1, c.warmth+float64(min(now.Sub(c.last), warmStep))/float64(c.options.Warmup))
	}
	c.last = now
	return coldFactor - c.warmth*(coldFactor-1), false
}
