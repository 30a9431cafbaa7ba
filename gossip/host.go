// Package gossip is the aggregate of the tier's live hosts as heartbeats show
// them: who lives, who follows the store for the others, and who can take a
// share of a gathered request. All of it is soft state that is rebuilt from
// heartbeats; nothing here is agreed.
package gossip

import "time"

// Host is what a host says of itself.
type Host struct {
	Name string
	Zone string
	// Address is the TCP address of calls, Beat the UDP address of heartbeats.
	Address          string
	HeartbeatAddress string
	// Weight is the processor share in thousandths of a core.
	Weight int
	// Incarnation tells two starts of a host apart; later ones are greater.
	Incarnation uint64
	// Revision is the store's revision of the newest change that the host has
	// applied, and Position the revision up to which it knows that there is no
	// other.
	Revision uint64
	Progress uint64
	// Watching hosts follow the store themselves.
	Watching bool
	// Leaving hosts are stopping.
	Leaving bool
}

// Record is a host with the times at which it was heard, on the clock of the
// host that holds the entry.
type Record struct {
	Host
	// LastSeen is when the host sent the newest heartbeat known.
	LastSeen time.Time
	// StoreContact is when the host last heard from the store; zero means never.
	StoreContact time.Time
	// direct is when a heartbeat last came from the host itself.
	direct time.Time
	// suspectUntil is how long the host is not asked, after a call failed, and
	// failures the number of calls that failed in a row.
	suspectUntil time.Time
	failures     int
}

// Heartbeat is a heartbeat: the sender and some of the hosts that it knows.
type Heartbeat struct {
	Sender Record
	Others []Record
}
