// Package fleet is the aggregate of the registered backend servers: which
// instances serve a service, what recent exchanges show of each, and which of
// them the next request goes to.
package fleet

import "time"

// State is what a registered instance says of itself. The interface is
// sealed.
type State interface{ state() }

type (
	// Ready instances take work.
	Ready struct{}
	// Draining instances are about to leave and get no new work.
	Draining struct{}
)

func (Ready) state()    {}
func (Draining) state() {}

// Instance is one start of a backend server, as it registered itself.
type Instance struct {
	ID      string
	Service string
	// Address is an IP number and port.
	Address string
	Zone    string
	Slots   int
	State   State
	// ColdFor is how much longer the instance stays cold after the
	// registration was written.
	ColdFor time.Duration
	// StartMs is the Unix millisecond of the start, and tells two starts under
	// one ID apart.
	StartMs int64
	// Revision is the store's revision of the registration.
	Revision uint64
}
