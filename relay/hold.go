package relay

import "hyssophub/fleet"

// Hold is why no further exchange was started for a part. The interface is sealed.
type Hold interface{ hold() }

type (
	// HeldByBudget means that this host's share of the extra requests is used up.
	HeldByBudget struct{}
	// HeldByConnections means that this host uses its share of the connections of an
	// instance that would have been chosen.
	HeldByConnections struct{}
	// HeldByBound means that the instances bound their requests.
	HeldByBound struct{}
	// HeldByServers means that no other instance is left.
	HeldByServers struct{}
)

func (HeldByBudget) hold()      {}
func (HeldByConnections) hold() {}
func (HeldByBound) hold()       {}
func (HeldByServers) hold()     {}

// holdOf returns the hold that a refusal of the fleet stands for.
func holdOf(refusal fleet.Refusal) Hold {
	switch {
	case refusal.Full:
		return HeldByConnections{}
	case refusal.RetryAfter > 0:
		return HeldByBound{}
	default:
		return HeldByServers{}
	}
}
