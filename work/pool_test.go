package work

import (
	"sync"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"hyssophub/shard"
)

// Guards against urgent jobs waiting behind queued routine ones.
func TestPoolTakesUrgentJobsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := make(chan struct{})
		var (
			mu    sync.Mutex
			order []string
		)
		p := NewPool(1, 2, func(name string) {
			if name == "block" {
				<-gate
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
		close(gate)
		p.Close()
		require.Equal(t, []string{"urgent", "routine-1", "routine-2"}, order)
		require.ErrorIs(t, p.Submit(shard.Urgent, "late"), ErrClosed)
	})
}
