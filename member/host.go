// Package member is the aggregate of the live daemons: who they are, which of
// them owns which placement group, and until when it may dispatch.
package member

import "time"

// Host is an entry host: one daemon of the tier.
type Host struct {
	Name string
	Zone string
	// Peer is the TCP address for calls between daemons.
	Peer string
	// Beat is the UDP address for heartbeats.
	Beat string
	// Incarnation differs for each start of the daemon and increases.
	Incarnation uint64
}

// Timing holds the intervals of membership.
type Timing struct {
	// Interval is the time between two heartbeats to a peer.
	Interval time.Duration
	// Term is how long after sending a heartbeat its echo permits dispatch.
	Term time.Duration
	// Evict is the silence after which a peer is evicted. It exceeds Term, so
	// that a predecessor stops before its successor starts.
	Evict time.Duration
}

// DefaultTiming returns the intervals for zones of up to 16 daemons. A dead
// owner is replaced after Evict plus one Interval, within the 2 s target.
func DefaultTiming() Timing {
	return Timing{
		Interval: 250 * time.Millisecond,
		Term:     time.Second,
		Evict:    1300 * time.Millisecond,
	}
}
