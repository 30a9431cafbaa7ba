package owner

import "time"

// State is the part of a server's record that its next owner continues with.
type State struct {
	Server string
	// Warm is the progress of the ramp, from 0 (cold) to 1 (warm).
	Warm     float64
	Draining bool
	// Busy holds, for each slot in use, the time until it is free at the
	// latest.
	Busy []time.Duration
	// Latency is the recent median service time.
	Latency time.Duration
}
