// Package event defines the events that aggregates publish, a bus that delivers
// them within a daemon over the in-process channel of watermill, and the kind
// and subject under which some events are sent to the other daemons of the
// zone. Sending them there is left to package peer.
package event

// Event is a state change in an aggregate that other aggregates react to. The
// interface is sealed.
type Event interface{ event() }

type (
	// ConfigAccepted reports that a newer configuration is in force on this
	// host.
	ConfigAccepted struct{ Revision uint64 }
	// MembersChanged reports that the live hosts of a zone changed.
	MembersChanged struct{ Zone string }
	// ServerDraining reports that a backend server started to drain.
	ServerDraining struct{ Server string }
	// ServerCold reports that a backend server became cold.
	ServerCold struct{ Server string }
	// HostLeaving reports that an entry host started a planned stop.
	HostLeaving struct{ Host string }
)

func (ConfigAccepted) event() {}
func (MembersChanged) event() {}
func (ServerDraining) event() {}
func (ServerCold) event()     {}
func (HostLeaving) event()    {}
