// Package owner admits sub-requests to the backend servers that a host owns,
// queues and dispatches them, and tracks the health of each server. Only the
// owner of a server dispatches to it, so the server's limits hold for all hosts
// together. Which host owns which server is decided elsewhere, and so is the
// exchange with a server, which Backend performs.
package owner

import (
	"time"

	"hyssophub/fault"
)

// Decision is the result of the admission of a sub-request. The interface is
// sealed.
type Decision interface{ decision() }

type (
	// Dispatch means that the sub-request occupies a slot and is sent
	// immediately.
	Dispatch struct{}
	// Queued means that the sub-request waits for a slot.
	Queued struct {
		// WakeAt is the time at which the server must be reevaluated; zero
		// means that no new wake-up is needed.
		WakeAt time.Time
	}
	// Refuse means that the sub-request was not accepted and did not run.
	Refuse struct {
		Reason     fault.Reason
		RetryAfter time.Duration
	}
)

func (Dispatch) decision() {}
func (Queued) decision()   {}
func (Refuse) decision()   {}

// PermitFunc reports whether this host may dispatch to a backend server at the
// given time, and the reason if not. It covers the validity of the ownership,
// the state of the zone and the freshness of the configuration.
type PermitFunc func(server string, now time.Time) (fault.Reason, bool)
