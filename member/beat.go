package member

import "time"

// Heartbeat is a heartbeat.
type Heartbeat struct {
	From Host
	// Seq increases with each round of heartbeats of this start.
	Seq uint64
	// Echo names the newest heartbeat received from the recipient. It is
	// absent (zero) for hosts that are not in the sender's roster.
	EchoIncarnation uint64
	EchoSeq         uint64
	// RecipientAlive says that the sender has recently heard from the recipient.
	RecipientAlive bool
	// Epoch is the roster that the sender has adopted.
	Epoch uint64
	// Roster is sent to hosts that have an older one.
	Roster *Roster
	// Revision is the configuration in force at the sender.
	Revision uint64
	// ConfirmationAge is the age of the sender's store confirmation, and negative
	// if it has none.
	ConfirmationAge time.Duration
	// Leaving says that the sender dispatches nothing any more.
	Leaving bool
	// ZoneReports are what watchers know of the zones.
	ZoneReports []ZoneReport
}

// ZoneReport is what a zone's watchers say of it.
type ZoneReport struct {
	Zone string
	// Age is the time since the report was made; a receiver adds its own.
	Age time.Duration
	// StoreReachable says that the zone's watchers reach the store.
	StoreReachable bool
	// NonOwners names listed hosts of the zone that own nothing.
	NonOwners []string
}

// ConfigStatus is what the configuration aggregate tells membership to send.
type ConfigStatus struct {
	Revision uint64
	// ConfirmedAt is the time of the last store confirmation, or zero.
	ConfirmedAt time.Time
}
