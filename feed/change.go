// Package feed keeps the rules and the registered backend servers of a host in
// step with the platform's store, through its outages and lost histories.
package feed

import (
	"context"
	"errors"
	"time"

	"hyssophub/fleet"
	"hyssophub/rules"
)

// Change is a change in the store. The interface is sealed.
type Change interface{ change() }

type (
	// RulesChanged carries a version of the operators' rules.
	RulesChanged struct{ Set rules.Set }
	// ZoneChanged says that an availability zone is out or in again.
	ZoneChanged struct {
		Zone string
		Out  bool
	}
	// ServerRegistered carries a registration of a backend server.
	ServerRegistered struct{ Instance fleet.Instance }
	// ServerRemoved says that a registration went.
	ServerRemoved struct {
		ID       string
		Revision uint64
	}
	// Malformed is an entry that cannot be read. ID is the instance whose
	// registration it would be; empty for other entries.
	Malformed struct {
		Key      string
		ID       string
		Revision uint64
		Err      error
	}
)

func (RulesChanged) change()     {}
func (ZoneChanged) change()      {}
func (ServerRegistered) change() {}
func (ServerRemoved) change()    {}
func (Malformed) change()        {}

// Item is an entry of the store, or the end of one.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64
	Deleted  bool
	// MayReturn says that the item went while the store was away, so that its
	// server may live and register again.
	MayReturn bool
}

// Update is what the store held at a revision, or what changed up to it.
type Update struct {
	Items    []Item
	Revision uint64
	// Full says that the items are all that there were.
	Full bool
}

// ErrCompacted means that the store no longer has the changes after a revision,
// so that the whole state must be read again.
var ErrCompacted = errors.New("feed: history is gone")

// Source reads the store. Every error other than ErrHistory means that the
// store did not answer.
type Source interface {
	// Load returns the present state. Unless exact is set, registrations may be
	// some seconds old, which is cheaper.
	Load(ctx context.Context, exact bool) (Update, error)
	// Wait returns the changes after a revision as soon as there are any, or
	// none after a while.
	Wait(ctx context.Context, after uint64) (Update, error)
	// Decode converts an item, and returns nil for one without a meaning here.
	Decode(item Item) Change
}

// Peers are the other hosts, from which a host that does not follow the store
// itself hears of changes.
type Peers interface {
	// ShouldWatch decides whether this host follows the store itself.
	ShouldWatch(now time.Time) bool
	// NewestPeer returns a host that knows of changes after those applied here.
	NewestPeer(now time.Time) (address string, ok bool)
	// Seeds returns the addresses of hosts to ask at the start.
	Seeds(now time.Time) []string
	// Changes asks a host for the changes after a revision.
	Changes(ctx context.Context, address string, after uint64) (Update, error)
	// Suspect records that a host did not answer.
	Suspect(address string, now time.Time)
	// ReportApplied says which change is the newest one applied here, and up to
	// which revision there is no other. contact is the time of the store's last
	// answer; zero if it was not the store that answered.
	ReportApplied(revision, position uint64, watching bool, contact time.Time)
	// Progress returns up to which revision other hosts with the same newest
	// change know that there is no other.
	Progress(revision uint64) uint64
	// Announce passes a change on to the other hosts at once.
	Announce()
}
