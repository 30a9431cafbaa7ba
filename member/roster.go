package member

import (
	"cmp"
	"slices"
)

// Roster lists the hosts of a zone that may own servers. The store holds it,
// and each change is one compare-and-swap.
type Roster struct {
	// Revision is the store's revision of the roster.
	Revision uint64
	// Epoch counts the changes, so that a host notices skipped ones.
	Epoch   uint64
	Members []Member
}

// Member is an entry of a roster.
type Member struct {
	Host Host
	Role Role
}

// Role is what a member may do.
type Role string

// Roles of members.
const (
	// Claiming members reach none or not all of the active ones and ask
	// through the store whether these are alive. An active member removes
	// them; if none does, they take over. Nobody needs their echo.
	Claiming Role = "claim"
	// Standby members own nothing yet, because hosts with an older roster may
	// still dispatch without their echo.
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

// without returns the next roster without the members that drop selects.
func (r Roster) without(drop func(Member) bool) Roster {
	next := Roster{Epoch: r.Epoch + 1}
	for _, m := range r.Members {
		if !drop(m) {
			next.Members = append(next.Members, m)
		}
	}
	return next
}

// with returns the next roster with a member, which replaces the entry of an
// earlier start of the same host.
func (r Roster) with(m Member) Roster {
	next := r.without(func(old Member) bool { return old.Host.Name == m.Host.Name })
	next.Members = append(next.Members, m)
	slices.SortFunc(next.Members, func(a, b Member) int { return cmp.Compare(a.Host.Name, b.Host.Name) })
	return next
}
