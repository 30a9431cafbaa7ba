// Package gossip tracks the live hosts by their heartbeats: which hosts are live,
// which of them watch the store for the others, which can execute parts of a
// gathered request, and which availability zones are reachable. Its table is soft
// state that is rebuilt from heartbeats; the hosts do not agree on it. Sending and
// receiving heartbeats is left to package peer.
package gossip

import (
	"time"

	"hyssophub/store"
)

// Host is what a host announces about itself in its heartbeats.
type Host struct {
	Name string
	Zone string
	// Address is the TCP address for calls, HeartbeatAddress the UDP address for
	// heartbeats.
	Address          string
	HeartbeatAddress string
	// Weight is the processor share in thousandths of a core, less while the host is
	// slower than usual.
	Weight int
	// Incarnation tells two runs of a host apart. It is greater for later runs
	// unless the clock was set back.
	Incarnation uint64
	// Position is that of the newest change in the store up to which the host has applied
	// all. Idle is the number of revisions after it that are known to bring no further
	// change.
	Position store.Position
	Idle     uint64
	// Watching means that the host watches the store itself.
	Watching bool
	// Leaving means that the host is stopping.
	Leaving bool
	// Joined means that the host has run long enough to know the other hosts, so that
	// it may own rate limits of backend servers.
	Joined bool
	// ZoneSize is the number of hosts in its zone, itself included, that the host
	// knows. Other zones know only some of them at any time.
	ZoneSize int
	// Joining means that the host has started a few seconds ago and may not know its
	// neighbours yet.
	Joining bool
}

// Record is the table entry of a host. Its times are on the clock of the local host.
type Record struct {
	Host
	// LastSeen is when the host sent the newest heartbeat that is known.
	LastSeen time.Time
	// StoreContact is when the store last answered the host; zero means never.
	StoreContact time.Time
	// StoreFailing is set while the store leaves the calls of the host without an answer.
	// StoreReturned is when the host found it back after an outage; zero if it saw none.
	StoreFailing  bool
	StoreReturned time.Time
	// lastDirect is when a heartbeat last arrived from the host itself and not
	// through another host.
	lastDirect time.Time
	// suspectUntil is the time until which the host is not called because a call
	// failed. failures is the number of consecutive failed calls.
	suspectUntil time.Time
	failures     int
}

// Heartbeat is the message by which a host announces itself and a sample of the
// hosts in its table.
type Heartbeat struct {
	Sender Record
	Others []Record
}
