// Package store is the port to the platform: its key-value service and its
// list of hosts. Adapters implement the interfaces.
package store

import (
	"context"
	"errors"
	"time"
)

// MaxValueBytes is the largest value that the platform's service holds, in bytes.
const MaxValueBytes = 1 << 20

// Errors of a KV. All others mean that the call's effect is unknown.
var (
	// ErrConflict means that the key's revision was not the expected one, so
	// that the swap had no effect.
	ErrConflict = errors.New("store: revision conflict")
	// ErrUnavailable means that the service did not take the call, so that it
	// had no effect.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrUnknown means that the answer was lost and the call may have taken
	// effect.
	ErrUnknown = errors.New("store: answer lost")
	// ErrTooLarge means that a value exceeds MaxValue; it had no effect.
	ErrTooLarge = errors.New("store: value exceeds one megabyte")
	// ErrLease means that the lease is unknown or has lapsed.
	ErrLease = errors.New("store: lease lapsed")
)

// Entry is the value of a key. Revision 0 means that the key is absent.
type Entry struct {
	Key      string
	Value    []byte
	Revision uint64
}

// LeaseID identifies a lease; zero means none.
type LeaseID uint64

// KV is the platform's key-value service. The service counts each call and
// each waiting watch.
type KV interface {
	// Get returns the entry of a key.
	Get(ctx context.Context, key string) (Entry, error)
	// Swap writes value if the key's revision is still revision, and returns
	// the new entry. On ErrConflict it returns the current entry. A key bound
	// to a lease disappears when the lease lapses.
	Swap(ctx context.Context, key string, revision uint64, value []byte, lease LeaseID) (Entry, error)
	// Watch waits until the key's revision is above after, or until the
	// service's own wait limit, and returns the entry.
	Watch(ctx context.Context, key string, after uint64) (Entry, error)
	// GrantLease creates a lease.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease extends a lease by its time to live.
	RenewLease(ctx context.Context, lease LeaseID) error
}

// HostState is what the platform's list says of a host.
type HostState string

// States of listed hosts.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// HostInfo is an entry of the platform's lagging list. Kind tells entry hosts
// from backend servers.
type HostInfo struct {
	Name  string
	Kind  HostKind
	Zone  string
	State HostState
	// PeerAddr is the TCP address for twirp and Beat the UDP address for
	// heartbeats; both are empty for backend servers.
	PeerAddr      string
	HeartbeatAddr string
}

// HostKind tells what a listed host runs.
type HostKind string

// Kinds of listed hosts.
const (
	KindEntry   HostKind = "entry"
	KindBackend HostKind = "backend"
)

// HostLister is the platform's list of live and leaving hosts. It lags by seconds.
type HostLister interface {
	List(ctx context.Context) ([]HostInfo, error)
}
