package owner

import (
	"context"
	"sync"
	"time"

	"hyssophub/shard"
)

// pendingBatch collects the results of one batch for its Submit call. After
// wait has returned, the batch is detached, and later results are delivered by
// the ResultSender.
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

// add records a result and reports whether wait will return it.
func (b *pendingBatch) add(result shard.Result) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pending--
	if b.detached {
		return false
	}
	b.results = append(b.results, result)
	if b.pending == 0 {
		close(b.done)
	}
	return true
}

// wait returns the results that arrive within the given time.
func (b *pendingBatch) wait(ctx context.Context, hold time.Duration) []shard.Result {
	timer := time.NewTimer(hold)
	defer timer.Stop()
	select {
	case <-b.done:
	case <-timer.C:
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.detached = true
	return b.results
}
