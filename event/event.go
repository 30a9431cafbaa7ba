// Package event carries events between aggregates, and between daemons of a
// zone, over watermill's in-process channel.
package event

// Event is something that happened in an aggregate. The interface is sealed.
type Event interface{ event() }

type (
	// ConfigAccepted says that a newer configuration is in force here.
	ConfigAccepted struct{ Revision uint64 }
	// MembersChanged says that the live hosts of a zone changed.
	MembersChanged struct{ Zone string }
	// ServerDraining says that a backend server began to leave.
	ServerDraining struct{ Server string }
	// ServerCold says that a backend server turned cold.
	ServerCold struct{ Server string }
	// HostLeaving says that an entry host began a planned stop.
	HostLeaving struct{ Host string }
)

func (ConfigAccepted) event() {}
func (MembersChanged) event() {}
func (ServerDraining) event() {}
func (ServerCold) event()     {}
func (HostLeaving) event()    {}
