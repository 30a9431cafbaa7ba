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

// timedBackend answers after a service time in virtual time.
type timedBackend struct {
	mu     sync.Mutex
	random *rand.Rand
	busy   int
	peak   int
	down   bool
}

func (b *timedBackend) Do(_ context.Context, _ config.PlacedServer, _ shard.Sub) shard.Outcome {
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

func (b *timedBackend) State(context.Context, config.PlacedServer) (shard.Report, error) {
	return shard.Report{}, nil
}

type noCourier struct{}

func (noCourier) Deliver(context.Context, string, []shard.Result) error { return nil }

// TestUrgentUnderRoutineLoad guards the latency of urgent work against routine
// work at twice the capacity: its p99 stays within 1.2 times the unloaded one.
func TestUrgentUnderRoutineLoad(t *testing.T) {
	for _, slots := range []int{2, 3, 6} {
		unloaded, _ := urgentTail(t, slots, 0)
		loaded, peak := urgentTail(t, slots, 2)
		t.Logf("slots=%d unloaded p99=%v loaded p99=%v", slots, unloaded, loaded)
		require.LessOrEqual(t, peak, slots)
		require.LessOrEqual(t, loaded.Seconds(), 1.2*unloaded.Seconds())
	}
}

// urgentTail returns the p99 of urgent requests, which arrive every 25 ms,
// beside routine work at a multiple of the server's capacity.
func urgentTail(t *testing.T, slots, multiple int) (p99 time.Duration, peak int) {
	synctest.Test(t, func(t *testing.T) {
		b := &timedBackend{random: rand.New(rand.NewPCG(1, 2))}
		options := DefaultOptions()
		options.Hold = time.Second
		e := NewEngine(NewTable(permitAll), b, noCourier{}, options)
		e.Adopt([]State{warm("s1", 10*time.Millisecond)})
		e.Own([]config.PlacedServer{place(testService("entries", slots), "s1")})
		var (
			mu    sync.Mutex
			took  []time.Duration
			calls sync.WaitGroup
		)
		submit := func(id uint64, class shard.Class) {
			start := time.Now()
			sub := testSub(id, "s1", class, start.Add(300*time.Millisecond))
			results := e.Submit(t.Context(), shard.Batch{From: "host", Class: class, Subs: []shard.Sub{sub}})
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
			// A slot serves one request in 10 ms; the first urgent request
			// turns the reservation on.
			every := uint64(20)
			if now > 30*time.Millisecond && multiple > 0 && id%every < uint64(slots*multiple) {
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

// TestServerReturnsThroughRamp guards against a server that refused a
// connection getting its full load at once when it returns.
func TestServerReturnsThroughRamp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &timedBackend{random: rand.New(rand.NewPCG(1, 2)), down: true}
		options := DefaultOptions()
		options.Hold = time.Second
		table := NewTable(permitAll)
		e := NewEngine(table, b, noCourier{}, options)
		defer e.Close()
		e.Adopt([]State{warm("s1", 10*time.Millisecond)})
		e.Own([]config.PlacedServer{place(testService("entries", 2), "s1")})
		time.Sleep(time.Millisecond)
		sub := testSub(1, "s1", shard.Routine, time.Now().Add(time.Second))
		results := e.Submit(t.Context(), shard.Batch{From: "host", Subs: []shard.Sub{sub}})
		require.Equal(t, shard.Refused{Reason: fault.ReasonDown}, results[0].Outcome)
		health, _ := table.Health("s1")
		require.Equal(t, Gone{}, health)
		time.Sleep(options.Poll)
		health, _ = table.Health("s1")
		require.Equal(t, Cold{}, health)
	})
}
