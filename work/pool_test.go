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
		}, Recovery[string]{})
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
		}, Recovery[bool]{})
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

// TestPanicEndsOnlyItsJob guards against one unexpected error that takes down the
// process, and against a worker or a caller that is lost with the job.
func TestPanicEndsOnlyItsJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var reported, ended []string
		p := NewPool(1, 10, func(name string) {
			if name != "sound" {
				panic(name)
			}
			ended = append(ended, name)
		}, Recovery[string]{
			Report: func(p Panic) {
				require.NotEmpty(t, p.Stack)
				reported = append(reported, p.Value.(string))
			},
			End: func(name string) {
				ended = append(ended, name)
				if name == "twice" {
					panic("end")
				}
			},
		})
		for _, name := range []string{"once", "twice", "sound"} {
			require.NoError(t, p.Submit(shard.Routine, name))
		}
		p.Close()
		require.Equal(t, []string{"once", "twice", "end"}, reported)
		require.Equal(t, []string{"once", "twice", "sound"}, ended)
	})
}
