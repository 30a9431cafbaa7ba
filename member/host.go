// Package member is the aggregate of the live daemons: who they are, which of
// them owns which placement group, and until when it may dispatch.
package member

import "time"

// Host is an entry host: one daemon of the tier.
type Host struct {
	Name string
	Zone string
	// PeerAddr is the TCP address for calls between daemons.
	PeerAddr string
	// HeartbeatAddr is the UDP address for heartbeats.
	HeartbeatAddr string
	// Incarnation differs for each start of the daemon and increases.
	Incarnation uint64
}

// ID identifies one start of a host.
type ID struct {
	Name        string
	Incarnation uint64
}

// ID returns the identity of this start of the host.
func (h Host) ID() ID { return ID{Name: h.Name, Incarnation: h.Incarnation} }

// Timing holds the intervals of membership.
type Timing struct {
	// HeartbeatInterval is the time between two heartbeats to a peer.
	HeartbeatInterval time.Duration
	// SlowHeartbeatInterval is the interval in zones of more than wideZone members and between
	// zones.
	SlowHeartbeatInterval time.Duration
	// LeaseDuration is how long after sending a heartbeat its echo permits dispatch.
	LeaseDuration time.Duration
	// SuspectAfter is the silence after which a peer is written out of the roster.
	// It is below Term, so that a dead peer's missing echo stops nobody.
	SuspectAfter time.Duration
	// EvictAfter is the silence after which a peer is evicted. It exceeds Term, so
	// that a predecessor stops before its successor starts.
	EvictAfter time.Duration
	// StoreTimeout is how long the store may take to answer before heartbeats
	// alone decide.
	StoreTimeout time.Duration
}

// wideZone is the number of members above which heartbeats use Timing.Wide.
const wideZone = 16

// DefaultTiming returns the product's intervals. A dead owner is replaced
// after Evict plus one tick, within the 2 s target.
func DefaultTiming() Timing {
	return Timing{
		HeartbeatInterval:     250 * time.Millisecond,
		SlowHeartbeatInterval: 500 * time.Millisecond,
		LeaseDuration:         time.Second,
		SuspectAfter:          700 * time.Millisecond,
		EvictAfter:            1300 * time.Millisecond,
		StoreTimeout:          300 * time.Millisecond,
	}
}

// TickInterval is how often Table.Tick is due. It bounds the delay of an
// eviction, and a gap of half a term between ticks means that the host paused.
const TickInterval = 100 * time.Millisecond
