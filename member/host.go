// Package member decides which entry hosts of a zone are alive, which of them
// owns each placement group, and until when an owner may dispatch. It owns the
// roster of the zone, the state of the peers and the lease of this host. It
// performs no I/O: the daemon passes in heartbeats, store answers and clock
// ticks, and carries out the returned actions.
//
// A host may dispatch while every other member of its roster has echoed a
// heartbeat that this host sent less than Timing.LeaseDuration ago. A host that
// is dead, paused or cut off gets no echoes, so after Timing.EvictAfter the
// other hosts may take over its groups.
package member

import "time"

// Host is an entry host: one daemon of the entry tier.
type Host struct {
	Name string
	Zone string
	// PeerAddr is the TCP address for calls between daemons.
	PeerAddr string
	// HeartbeatAddr is the UDP address for heartbeats.
	HeartbeatAddr string
	// Incarnation identifies one start of the daemon; a later start has a
	// higher one.
	Incarnation uint64
}

// ID identifies one incarnation of a host.
type ID struct {
	Name        string
	Incarnation uint64
}

// ID returns the identity of this incarnation of the host.
func (h Host) ID() ID { return ID{Name: h.Name, Incarnation: h.Incarnation} }

// Timing holds the intervals and time limits of failure detection and leases.
type Timing struct {
	// HeartbeatInterval is the time between two heartbeats to a peer in a zone
	// of at most largeZone members.
	HeartbeatInterval time.Duration
	// SlowHeartbeatInterval is the heartbeat interval in larger zones and
	// between zones.
	SlowHeartbeatInterval time.Duration
	// LeaseDuration is how long after sending a heartbeat the echo of that
	// heartbeat permits dispatch.
	LeaseDuration time.Duration
	// SuspectAfter is the time without a heartbeat after which a host requests
	// the removal of a peer from the roster. It is below LeaseDuration, so that
	// the missing echoes of a dead peer interrupt the dispatch of no other
	// host.
	SuspectAfter time.Duration
	// EvictAfter is the time without a heartbeat after which the groups of a
	// peer may move. It exceeds LeaseDuration, so that the previous owner stops
	// before the next one starts.
	EvictAfter time.Duration
	// StoreTimeout is how long a store call may take before the store counts as
	// unavailable, so that heartbeats alone decide which members are excluded.
	StoreTimeout time.Duration
}

// largeZone is the number of members above which a zone uses
// Timing.SlowHeartbeatInterval.
const largeZone = 16

// DefaultTiming returns the intervals for production. A dead owner is replaced
// after EvictAfter plus one TickInterval, within the 2 s target.
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

// TickInterval is the interval at which Table.Tick must be called. It bounds
// the delay of an eviction. A gap of more than half of Timing.LeaseDuration
// between ticks shows that the host paused.
const TickInterval = 100 * time.Millisecond
