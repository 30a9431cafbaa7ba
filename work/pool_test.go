package work

import (
	"sync"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"hyssophub/shard"
)

// Guards against urgent jobs that wait behind queued routine ones.
func TestPoolTakesUrgentJobsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		unblock := make(chan struct{})
		var (
			mu    sync.Mutex
			order []string
		)
		p := NewPool(1, 2, func(name string) {
			if name == "block" {
				<-unblock
				return
			}
			mu.Lock()
			defer mu.Unlock()
			order = append(order, name)
		})
		require.NoError(t, p.Submit(shard.Routine, "block"))
		synctest.Wait()
		require.NoError(t, p.Submit(shard.Routine, "routine-1"))
		require.NoError(t, p.Submit(shard.Routine, "routine-2"))
		require.ErrorIs(t, p.Submit(shard.Routine, "routine-3"), ErrFull)
		require.NoError(t, p.Submit(shard.Urgent, "urgent"))
		close(unblock)
		p.Close()
		require.Equal(t, []string{"urgent", "routine-1", "routine-2"}, order)
		require.ErrorIs(t, p.Submit(shard.Urgent, "late"), ErrClosed)
	})
}

// Guards against workers that start although none is needed: each costs memory,
// and time in each garbage collection.
func TestPoolStartsWorkersWhenNeeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		unblock := make(chan struct{})
		p := NewPool(3, 10, func(block bool) {
			if block {
				<-unblock
			}
		})
		require.Zero(t, p.started)
		for range 5 {
			require.NoError(t, p.Submit(shard.Routine, false))
			synctest.Wait()
		}
		require.Equal(t, 1, p.started)
		for range 5 {
			require.NoError(t, p.Submit(shard.Routine, true))
			synctest.Wait()
		}
		require.Equal(t, 3, p.started)
		close(unblock)
		p.Close()
	})
}
