package fakes

import "time"

const (
	// coldFactor multiplies the service time of a fully cold server. The factor
	// decreases to 1 while the server warms up.
	coldFactor = 4
	// breachFactor multiplies the service time of a request above the allowed
	// rate of a cold server.
	breachFactor = 20
	// maxWarmStep bounds the time that one request adds to the warm-up, so that an
	// idle server does not warm up.
	maxWarmStep = time.Second
	// outageTime is the time during which a server refuses all requests after
	// ServerOptions.MaxBreaches breaches.
	outageTime = time.Second
)

// coldStart models the cold start of a server: the allowed rate of requests
// rises from the floor to the full rate while the server processes requests.
type coldStart struct {
	options ServerOptions
	// warmth rises from 0 (cold) to 1 (warm).
	warmth      float64
	lastRequest time.Time
	// nextDue is the earliest time of the next request at the allowed rate.
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

// recordRequest records a request. It returns the factor that multiplies the
// service time, and whether the request exceeds the allowed rate.
func (c *coldStart) recordRequest(now time.Time) (float64, bool) {
	if c.warmth >= 1 {
		return 1, false
	}
	floor := float64(c.options.Floor)
	full := max(floor, float64(c.options.Slots)/max(c.options.ServiceTime, time.Microsecond).Seconds())
	interval := time.Duration(float64(time.Second) / (floor + c.warmth*(full-floor)))
	// A request may arrive half an interval early, because of network jitter.
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
