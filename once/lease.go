package once

import (
	"context"
	"sync"
	"time"

	"hyssophub/store"
)

// Durations of the leases that request keys are bound to. All keys that a host
// writes within leaseUsePeriod share one lease, which costs one store call an
// hour instead of one for each request. Every key is stored for at least
// minKeyLifetime.
const (
	minKeyLifetime = 24 * time.Hour
	leaseUsePeriod = time.Hour
)

// leases caches the lease that new keys are bound to. mu guards the fields
// below it and is not held during store calls.
type leases struct {
	kv store.KV

	mu      sync.Mutex
	id      store.LeaseID
	granted time.Time
	// granting is closed at the end of a call of GrantLease in progress, and
	// nil if there is none.
	granting chan struct{}
}

// get returns the lease for new keys. If a new lease is needed, one caller
// requests it from the store and the other callers wait.
func (l *leases) get(ctx context.Context) (store.LeaseID, error) {
	for {
		l.mu.Lock()
		if l.id != 0 && time.Since(l.granted) < leaseUsePeriod {
			defer l.mu.Unlock()
			return l.id, nil
		}
		wait := l.granting
		if wait == nil {
			l.granting = make(chan struct{})
			l.mu.Unlock()
			return l.grant(ctx)
		}
		l.mu.Unlock()
		select {
		case <-wait:
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
}

// grant requests a new lease and wakes the callers that wait for it.
func (l *leases) grant(ctx context.Context) (store.LeaseID, error) {
	// The age of the lease counts from before the call, since the store may
	// grant the lease at any time during the call.
	asked := time.Now()
	id, err := l.kv.GrantLease(ctx, minKeyLifetime+leaseUsePeriod)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		l.id, l.granted = id, asked
	}
	close(l.granting)
	l.granting = nil
	return id, err
}

// invalidate removes a lease from the cache after the store reported the lease
// as unknown or expired.
func (l *leases) invalidate(id store.LeaseID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id == id {
		l.id = 0
	}
}
