package member

// Action is a side effect that a decision of Table requests; the daemon carries
// it out. The interface is sealed.
type Action interface{ action() }

type (
	// SendHeartbeat sends a heartbeat to one host.
	SendHeartbeat struct {
		To        Host
		Heartbeat Heartbeat
	}
	// ReadRoster reads the zone's roster from the store. Call numbers the store
	// calls, so that a late answer is not taken for that of the newest call.
	ReadRoster struct{ Call uint64 }
	// SwapRoster writes the roster of the zone if its revision in the store is
	// still Revision.
	SwapRoster struct {
		Call     uint64
		Revision uint64
		Roster   Roster
	}
	// OwnershipChanged reports that the set of placement groups that this host
	// owns may have changed.
	OwnershipChanged struct{}
	// FetchConfig fetches a configuration newer than the one in force on this
	// host from the named host.
	FetchConfig struct{ From string }
	// ForwardConfirmation passes a peer's store confirmation to the
	// configuration aggregate. The peer has at most this host's configuration
	// revision.
	ForwardConfirmation struct{ Heartbeat Heartbeat }
)

func (SendHeartbeat) action()       {}
func (ReadRoster) action()          {}
func (SwapRoster) action()          {}
func (OwnershipChanged) action()    {}
func (FetchConfig) action()         {}
func (ForwardConfirmation) action() {}
