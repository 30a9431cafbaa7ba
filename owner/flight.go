package owner

import (
	"context"
	"sync"
	"time"

	"hyssophub/shard"
)

// pendingBatch collects the results of one batch. After wait returned, it is
// detached and its late results go through the outbox.
type pendingBatch struct {
	host string

	mu       sync.Mutex
	results  []shard.Result
	pending  int
	detached bool
	done     chan struct{}
}

func newPendingBatch(host string, size int) *pendingBatch {
	return &pendingBatch{host: host, pending: size, results: make([]shard.Result, 0, size), done: make(chan struct{})}
}

// add records a result and reports whether wait will still return it.
func (f *pendingBatch) add(result shard.Result) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pending--
	if f.detached {
		return false
	}
	f.results = append(f.results, result)
	if f.pending == 0 {
		close(f.done)
	}
	return true
}

// wait returns the results that arrive within hold.
func (f *pendingBatch) wait(ctx context.Context, hold time.Duration) []shard.Result {
	timer := time.NewTimer(hold)
	defer timer.Stop()
	select {
	case <-f.done:
	case <-timer.C:
	case <-ctx.Done():
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.detached = true
	return f.results
}
