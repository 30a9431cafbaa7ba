// Package fleet chooses the backend server for a request. It owns the table of
// registered instances and the latency and failure statistics of this host's
// exchanges with them. Reading registrations from the store is left to package
// feed, and sending the requests to package dial.
package fleet

import (
	"time"

	"hyssophub/store"
)

// State is the state that an instance declares in its registration. The interface
// is sealed.
type State interface{ state() }

type (
	// Ready instances accept requests.
	Ready struct{}
	// Draining instances are shutting down and get no new requests.
	Draining struct{}
)

func (Ready) state()    {}
func (Draining) state() {}

// Instance is the registration of one run of a backend server.
type Instance struct {
	ID      string
	Service string
	// Address is an IP address and port.
	Address string
	Zone    string
	// Version is the version of the instance's software.
	Version string
	// Slots is the number of requests that the instance executes concurrently.
	Slots int
	State State
	// ColdFor is how long the instance stays cold after the registration was
	// written.
	ColdFor time.Duration
	// StartMs is the start time in milliseconds of Unix time. It tells two runs
	// under one ID apart.
	StartMs int64
	// Position is that of the registration in the store.
	Position store.Position
}
