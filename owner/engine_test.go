package owner

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"hyssophub/config"
	"hyssophub/fault"
	"hyssophub/shard"
)

// timedBackend answers after a random service time of 8 ms to 12 ms.
type timedBackend struct {
	mu     sync.Mutex
	random *rand.Rand
	busy   int
	peak   int
	down   bool
}

func (b *timedBackend) Do(_ context.Context, _ config.PlacedServer, _ shard.SubRequest) shard.Outcome {
	b.mu.Lock()
	if b.down {
		b.mu.Unlock()
		return shard.Refused{Reason: fault.ReasonDown}
	}
	b.busy++
	b.peak = max(b.peak, b.busy)
	takes := 8*time.Millisecond + time.Duration(b.random.IntN(4000))*time.Microsecond
	b.mu.Unlock()
	time.Sleep(takes)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.busy--
	return shard.Answered{}
}

func (b *timedBackend) State(context.Context, config.PlacedServer) (shard.StateReport, error) {
	return shard.StateReport{}, nil
}

type discardSender struct{}

func (discardSender) Deliver(context.Context, string, []shard.Result) error { return nil }

// TestUrgentUnderRoutineLoad guards against routine work that delays urgent
// work: with routine work at twice the capacity, the p99 of urgent requests
// stays within 1.2 times the unloaded p99.
func TestUrgentUnderRoutineLoad(t *testing.T) {
	for _, slots := range []int{2, 3, 6} {
		unloaded, _ := urgentP99(t, slots, 0)
		loaded, peak := urgentP99(t, slots, 2)
		t.Logf("slots=%d unloaded p99=%v loaded p99=%v", slots, unloaded, loaded)
		require.LessOrEqual(t, peak, slots)
		require.LessOrEqual(t, loaded.Seconds(), 1.2*unloaded.Seconds())
	}
}

// urgentP99 returns the p99 of urgent requests, which arrive every 25 ms, and
// the peak number of requests in progress. Routine work arrives at loadFactor
// times the server's capacity.
func urgentP99(t *testing.T, slots, loadFactor int) (p99 time.Duration, peak int) {
	synctest.Test(t, func(t *testing.T) {
		b := &timedBackend{random: rand.New(rand.NewPCG(1, 2))}
		options := DefaultOptions()
		options.SubmitWait = time.Second
		e := NewEngine(NewTable(permitAll), b, discardSender{}, options)
		e.ImportStates([]HandoverState{warmState("s1", 10*time.Millisecond)})
		e.SetOwned([]config.PlacedServer{testPlaced(testService("entries", slots), "s1")})
		var (
			mu    sync.Mutex
			took  []time.Duration
			calls sync.WaitGroup
		)
		submit := func(id uint64, class shard.Class) {
			start := time.Now()
			sub := testSub(id, "s1", class, start.Add(300*time.Millisecond))
			results := e.Submit(t.Context(), shard.Batch{Sender: "host", Class: class, Subs: []shard.SubRequest{sub}})
			if class != shard.Urgent {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if len(results) != 1 || shard.VerdictOf(results[0].Outcome) != (fault.Ran{}) {
				t.Errorf("urgent request %d: %v", id, results)
			}
			took = append(took, time.Since(start))
		}
		for id := uint64(1); id <= 20000; id++ {
			now := time.Duration(id) * 500 * time.Microsecond
			time.Sleep(500 * time.Microsecond)
			if id%50 == 0 {
				calls.Go(func() { submit(id, shard.Urgent) })
			}
			// A slot serves one request in 10 ms. Routine work starts after the
			// first urgent request, which makes the server reserve slots.
			every := uint64(20)
			if now > 30*time.Millisecond && loadFactor > 0 && id%every < uint64(slots*loadFactor) {
				calls.Go(func() { submit(1<<32+id, shard.Routine) })
			}
		}
		calls.Wait()
		e.Close()
		slices.Sort(took)
		p99, peak = took[len(took)*99/100], b.peak
	})
	return p99, peak
}

// TestServerReturnsThroughRamp guards against sending full load to a server
// that refused a connection and is reachable again: it must start cold.
func TestServerReturnsThroughRamp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &timedBackend{random: rand.New(rand.NewPCG(1, 2)), down: true}
		options := DefaultOptions()
		options.SubmitWait = time.Second
		table := NewTable(permitAll)
		e := NewEngine(table, b, discardSender{}, options)
		defer e.Close()
		e.ImportStates([]HandoverState{warmState("s1", 10*time.Millisecond)})
		e.SetOwned([]config.PlacedServer{testPlaced(testService("entries", 2), "s1")})
		time.Sleep(time.Millisecond)
		sub := testSub(1, "s1", shard.Routine, time.Now().Add(time.Second))
		results := e.Submit(t.Context(), shard.Batch{Sender: "host", Subs: []shard.SubRequest{sub}})
		require.Equal(t, shard.Refused{Reason: fault.ReasonDown}, results[0].Outcome)
		health, _ := table.Health("s1")
		require.Equal(t, Unreachable{}, health)
		time.Sleep(options.PollInterval)
		health, _ = table.Health("s1")
		require.Equal(t, Cold{}, health)
	})
}
