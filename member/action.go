package member

// Action is what membership wants done. The interface is sealed.
type Action interface{ action() }

type (
	// SendHeartbeat sends a heartbeat.
	SendHeartbeat struct {
		To        Host
		Heartbeat Heartbeat
	}
	// ReadRoster reads the zone's roster from the store. Call numbers the
	// calls, so that late answers do not count as current ones.
	ReadRoster struct{ Call uint64 }
	// SwapRoster writes the zone's roster if its revision in the store is
	// still Revision.
	SwapRoster struct {
		Call     uint64
		Revision uint64
		Roster   Roster
	}
	// OwnershipChanged says that other groups may be this host's now.
	OwnershipChanged struct{}
	// FetchConfig asks a host for a configuration newer than the one here.
	FetchConfig struct{ From string }
	// ForwardConfirmation passes on a store confirmation of a peer at equal revision.
	ForwardConfirmation struct{ Heartbeat Heartbeat }
)

func (SendHeartbeat) action()       {}
func (ReadRoster) action()          {}
func (SwapRoster) action()          {}
func (OwnershipChanged) action()    {}
func (FetchConfig) action()         {}
func (ForwardConfirmation) action() {}
