// Package feed synchronizes a host's routing rules and backend server
// registrations with the platform's store, also through outages and compactions of
// the store. It owns the order of changes and the decision when a deleted
// registration is final. Access to the store and to other hosts is left to the
// implementations of Source and Peers.
package feed

import (
	"bytes"
	"context"
	"errors"
	"math"
	"time"

	"hyssophub/fleet"
	"hyssophub/rules"
	"hyssophub/store"
)

// Change is a decoded change in the store. The interface is sealed.
type Change interface{ change() }

type (
	// RulesChanged is a new version of the operators' rules.
	RulesChanged struct{ Set rules.Set }
	// ZoneChanged means that an availability zone went out of service or is back.
	ZoneChanged struct {
		Zone string
		Out  bool
	}
	// ServerRegistered is a new or changed registration of a backend server.
	ServerRegistered struct{ Instance fleet.Instance }
	// ServerRemoved means that a registration was deleted. ID is that of the
	// instance.
	ServerRemoved struct {
		ID       string
		Position store.Position
	}
	// Malformed is an entry that cannot be decoded. ID is that of the instance if
	// the key is one of a registration, and empty otherwise.
	Malformed struct {
		Key      string
		ID       string
		Position store.Position
		Err      error
	}
)

func (RulesChanged) change()     {}
func (ZoneChanged) change()      {}
func (ServerRegistered) change() {}
func (ServerRemoved) change()    {}
func (Malformed) change()        {}

// Item is an entry of the store or the deletion of one.
type Item struct {
	Key      string
	Value    []byte
	Position store.Position
	Deleted  bool
	// MayReturn marks a deletion that may be an expiry during an outage of the
	// store. The backend server may still run and register again.
	MayReturn bool
}

// isEqual reports whether two versions of an item have the same content.
func (i *Item) isEqual(other Item) bool {
	return i.Deleted == other.Deleted && bytes.Equal(i.Value, other.Value)
}

// PresentEra stands for the present era of the host that is asked for changes.
const PresentEra = math.MaxUint64

// Era is what is known of the beginning of an era of the store.
type Era struct {
	// Start is the revision at which the era was first read. Every change above it was
	// made in the era, every other one there or before. Zero means that it is not known.
	Start uint64
	// Since is when a host first read the era.
	Since time.Time
	// Before is the latest era before it that contributed to the state.
	Before uint64
}

// Update is the content of the store at a position, or the changes up to it.
type Update struct {
	Items    []Item
	Position store.Position
	// Full means that Items is the whole content of the store, not only changes.
	Full bool
	// Differs means that Items are those that differ from the state at the position of the
	// request, which is of an earlier era, deletions included.
	Differs bool
	// Era is the beginning of the era, and Lost holds the versions that the store has
	// lost with the era before and that are still in force. Only hosts set them.
	Era  Era
	Lost []Item
	// CheckedAt is when the store was last known to hold nothing newer; zero if that
	// is not known. Updates of the store itself do not set it.
	CheckedAt time.Time
}

// Answer is the answer of the store to a watch.
type Answer struct {
	Update
	// Hosts are the heartbeat addresses of hosts that others may not know.
	Hosts []string
}

// ErrCompacted means that the store no longer has the changes after a revision, so
// that the full state must be loaded again.
var ErrCompacted = errors.New("feed: store revision is compacted")

// ErrUnreadable means that the store answered with something that cannot be read whole: it
// is too large, breaks off or has another format. The same call may fail again.
var ErrUnreadable = errors.New("feed: answer of the store is unreadable")

// ErrEraChanged means that the store answered in a later era, so that the full state must
// be loaded again.
var ErrEraChanged = errors.New("feed: era of the store has changed")

// errEarlierEra means that an answer of the store is of an era that has passed.
var errEarlierEra = errors.New("feed: answer is of an earlier era of the store")

// errNotCovered means that what differs from an earlier era does not yield the full state.
var errNotCovered = errors.New("feed: changes do not cover what is known")

// Source reads the store. Every error other than ErrCompacted, ErrUnreadable and
// ErrEraChanged means that the store did not answer.
type Source interface {
	// Load returns the full state, of one era.
	Load(ctx context.Context) (Update, error)
	// Wait returns the changes after a revision as soon as there are any, or no
	// items once the store has waited for them for the given time. The answer may be of
	// another era than the revision. The call fails if no answer has begun after the time
	// timeout, and the next one then uses a fresh connection.
	Wait(ctx context.Context, after uint64, wait, timeout time.Duration) (Answer, error)
	// Decode converts an item. It returns nil for an item that is neither rules, a
	// zone nor a registration.
	Decode(item Item) Change
}

// Peers gives access to the other hosts. A host that does not watch the store
// itself gets the changes from them.
type Peers interface {
	// ShouldWatch reports whether this host must watch the store itself.
	ShouldWatch(now time.Time) bool
	// NewestPeer returns the address of a host with newer changes than this one.
	NewestPeer(now time.Time) (address string, ok bool)
	// Seeds returns the addresses of hosts to load the full state from if the store
	// does not answer.
	Seeds(now time.Time) []string
	// Neighbours returns the addresses of the live hosts of the own zone in random
	// order, and whether the local host precedes all of them.
	Neighbours(now time.Time) (addresses []string, isFirst bool)
	// AddHost records the heartbeat address of a host that others may not know.
	AddHost(heartbeatAddress string)
	// Changes asks a host for the changes after a position.
	Changes(ctx context.Context, address string, after store.Position) (Update, error)
	// CheckedAt returns when the store was last known to hold nothing newer than the
	// given position; zero if that is not known.
	CheckedAt(position store.Position) time.Time
	// Suspect records that a call to a host failed.
	Suspect(address string, now time.Time)
	// ReportApplied records for the heartbeats the position of the newest change up to
	// which this host knows all, the number of revisions after it that are known to bring
	// no further change, and whether this host watches the store. contact is the time of
	// the store's answer; zero if the store did not answer.
	ReportApplied(position store.Position, idle uint64, watching bool, contact time.Time)
	// ReportStore records for the heartbeats whether the store leaves the calls of this
	// host without an answer, and when it returned after an outage; zero means never.
	ReportStore(failing bool, returned time.Time)
	// LastContact returns when the store last answered any host, and IsStoreFailing whether
	// it leaves the calls of another host without an answer.
	LastContact() time.Time
	IsStoreFailing() bool
	// StoreReturned returns when another host last found the store back after it had
	// answered no host for a time; zero if none did.
	StoreReturned(silence time.Duration) time.Time
	// Idle returns the greatest number of revisions after a position that are known to
	// bring no further change to any host whose newest change is at the position.
	Idle(position store.Position) uint64
	// Announce sends the newest applied position to the other hosts at once.
	Announce()
}
