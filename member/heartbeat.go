package member

import "time"

// Heartbeat is the message that entry hosts exchange to detect failures, extend
// leases and spread rosters, configuration revisions and zone reports.
type Heartbeat struct {
	From Host
	// Seq increases with each heartbeat round of this incarnation.
	Seq uint64
	// EchoIncarnation and EchoSeq identify the newest heartbeat that the sender
	// received from the recipient. Both are zero for a recipient that is not in
	// the roster of the sender.
	EchoIncarnation uint64
	EchoSeq         uint64
	// RecipientAlive reports whether the sender received a heartbeat from the
	// recipient within Timing.SuspectAfter.
	RecipientAlive bool
	// Epoch is the epoch of the roster that the sender has adopted.
	Epoch uint64
	// Roster is the roster of the sender; it is set only if the recipient has
	// an older one.
	Roster *Roster
	// Revision is the revision of the configuration in force on the sender.
	Revision uint64
	// ConfirmationAge is the time since the store last confirmed the
	// configuration of the sender as the newest one. It is negative if the
	// store never did.
	ConfirmationAge time.Duration
	// Leaving reports that the sender has stopped dispatching permanently.
	Leaving bool
	// ZoneReports is set only by watchers. Heartbeats within a zone carry the
	// reports of the other zones; heartbeats between zones carry the report of
	// the zone of the sender.
	ZoneReports []ZoneReport
}

// ZoneReport is the state of a zone as its watchers see it.
type ZoneReport struct {
	Zone string
	// Age is the time since the report was made. A host that relays the report
	// adds the time for which it held the report.
	Age time.Duration
	// StoreReachable reports whether the store recently confirmed the
	// configuration to the zone's watchers.
	StoreReachable bool
	// NonOwners names the hosts of the zone that the platform lists but that
	// may not own servers.
	NonOwners []string
}

// ConfigStatus is the state of the configuration that heartbeats carry. The
// configuration aggregate supplies it.
type ConfigStatus struct {
	Revision uint64
	// ConfirmedAt is the time of the last store confirmation, or zero if there
	// was none.
	ConfirmedAt time.Time
}
