package member

import (
	"cmp"
	"slices"
)

// Roster lists the hosts of a zone that may own servers or that want to. It is
// held in the store, and each change is one compare-and-swap.
type Roster struct {
	// Revision is the store's revision of the roster.
	Revision uint64
	// Epoch counts the changes, so that a host detects rosters that it never
	// received.
	Epoch   uint64
	Members []Member
}

// Member is an entry of a roster.
type Member struct {
	Host Host
	Role Role
}

// Role determines whether a member may own servers and whether other hosts need
// its echo to dispatch.
type Role string

// Roles of members, as stored in the roster.
const (
	// Claiming members cannot exchange heartbeats with every active member and
	// ask through the store whether the active members are alive. An active
	// member that is alive removes the claiming one; if none does, the claiming
	// member replaces all of them. No host needs the echo of a claiming member.
	Claiming Role = "claim"
	// Standby members own nothing yet, because hosts with an older roster may
	// still dispatch without the echo of the standby member.
	Standby Role = "standby"
	// Active members own servers.
	Active Role = "active"
)

func (r Roster) member(id ID) (Member, bool) {
	for _, m := range r.Members {
		if m.Host.ID() == id {
			return m, true
		}
	}
	return Member{}, false
}

// without returns the next roster, which lacks the members for which remove
// returns true.
func (r Roster) without(remove func(Member) bool) Roster {
	next := Roster{Epoch: r.Epoch + 1}
	for _, m := range r.Members {
		if !remove(m) {
			next.Members = append(next.Members, m)
		}
	}
	return next
}

// with returns the next roster with a member added. The member replaces the
// entry of an earlier incarnation of the same host.
func (r Roster) with(m Member) Roster {
	next := r.without(func(old Member) bool { return old.Host.Name == m.Host.Name })
	next.Members = append(next.Members, m)
	slices.SortFunc(next.Members, func(a, b Member) int { return cmp.Compare(a.Host.Name, b.Host.Name) })
	return next
}
