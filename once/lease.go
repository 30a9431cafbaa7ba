package once

import (
	"context"
	"sync"
	"time"

	"hyssophub/store"
)

// Times of the leases that request keys are bound to. All keys that a host
// writes within leaseUse share one lease, which costs one store call an hour
// in place of one for each request. Every key lives for at least leaseKeep.
const (
	minKeyLifetime = 24 * time.Hour
	leaseUsePeriod = time.Hour
)

// leases holds the lease that new keys are bound to.
type leases struct {
	kv store.KV

	mu      sync.Mutex
	id      store.LeaseID
	granted time.Time
	// pending is closed at the end of a grant in progress.
	granting chan struct{}
}

// get returns the lease for new keys. One caller asks the store for a new one,
// the others wait for it.
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

func (l *leases) grant(ctx context.Context) (store.LeaseID, error) {
	// The age counts from before the call, since the store may have granted
	// the lease at any time since.
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

// drop forgets a lease that the store no longer knows.
func (l *leases) invalidate(id store.LeaseID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id == id {
		l.id = 0
	}
}
