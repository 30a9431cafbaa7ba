// Package store declares the interfaces to the platform: its key-value service
// and its list of hosts. It owns their types and errors. Adapters such as
// package kvhttp implement the interfaces; the callers own the encoding of
// values and the retries.
package store

import (
	"context"
	"errors"
	"time"
)

// MaxValueBytes is the largest value that the key-value service stores, in bytes.
const MaxValueBytes = 1 << 20

// Errors of a KV. Any other error means that the call may have taken effect.
var (
	// ErrConflict means that the key's revision was not the expected one, so
	// that the swap had no effect.
	ErrConflict = errors.New("store: revision conflict")
	// ErrUnavailable means that the service did not accept the call, so that
	// the call had no effect.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrUnknown means that the answer was lost and the call may have taken
	// effect.
	ErrUnknown = errors.New("store: answer lost")
	// ErrTooLarge means that a value exceeds MaxValueBytes. The call had no
	// effect.
	ErrTooLarge = errors.New("store: value exceeds one megabyte")
	// ErrLease means that the lease is unknown or has expired.
	ErrLease = errors.New("store: lease unknown or expired")
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
// each pending watch.
type KV interface {
	// Get returns the entry of a key.
	Get(ctx context.Context, key string) (Entry, error)
	// Swap is a compare-and-swap: it writes value if the key's revision equals
	// revision, and returns the new entry. On ErrConflict it returns the
	// current entry. A key bound to a lease is removed when the lease expires.
	Swap(ctx context.Context, key string, revision uint64, value []byte, lease LeaseID) (Entry, error)
	// Watch waits until the key's revision is above after, or until the wait
	// limit of the service is reached, and returns the current entry.
	Watch(ctx context.Context, key string, after uint64) (Entry, error)
	// GrantLease creates a lease that expires after ttl unless it is renewed.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease extends a lease by its time to live, the ttl of GrantLease.
	RenewLease(ctx context.Context, lease LeaseID) error
}

// HostState is the state of a host in the platform's list.
type HostState string

// States of listed hosts.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// HostInfo is an entry of the platform's list of hosts, which lags by seconds.
// Kind distinguishes entry hosts from backend servers.
type HostInfo struct {
	Name  string
	Kind  HostKind
	Zone  string
	State HostState
	// PeerAddr is the TCP address for twirp calls and HeartbeatAddr the UDP
	// address for heartbeats; both are empty for backend servers.
	PeerAddr      string
	HeartbeatAddr string
}

// HostKind is the kind of a listed host.
type HostKind string

// Kinds of listed hosts.
const (
	KindEntry   HostKind = "entry"
	KindBackend HostKind = "backend"
)

// HostLister returns the platform's list of live and leaving hosts. The list
// lags by seconds.
type HostLister interface {
	List(ctx context.Context) ([]HostInfo, error)
}
