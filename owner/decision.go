// Package owner is the aggregate of the backend servers that a daemon owns.
// Only the owner of a server dispatches to it, so the server's limits hold for
// the whole fleet.
package owner

import (
	"time"

	"hyssophub/fault"
)

// Decision is what admission decides on a sub-request. The interface is
// sealed.
type Decision interface{ decision() }

type (
	// Dispatch means that the sub-request holds a slot and goes out now.
	Dispatch struct{}
	// Queued means that the sub-request waits for a slot.
	Queued struct {
		// WakeAt is the time at which the server's queue must be looked at
		// again; zero means that no new wake-up is needed.
		WakeAt time.Time
	}
	// Refuse means that the sub-request was not taken and did not run.
	Refuse struct {
		Reason     fault.Reason
		RetryAfter time.Duration
	}
)

func (Dispatch) decision() {}
func (Queued) decision()   {}
func (Refuse) decision()   {}

// PermitFunc reports whether this daemon may dispatch to a backend server at the
// given time, and the reason if not. It covers the owner's term, the zone's
// state and the freshness of the configuration.
type PermitFunc func(server string, now time.Time) (fault.Reason, bool)
