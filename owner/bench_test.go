package owner

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"hyssophub/config"
	"hyssophub/shard"
)

// BenchmarkDecision measures all decisions on one sub-request: admission, the
// last check, and the completion with its figures.
func BenchmarkDecision(b *testing.B) {
	for _, servers := range []int{110, 1100, 4400} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			table, names := benchTable(servers)
			now := epoch
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(time.Microsecond)
				sub := testSub(uint64(i+1), names[i*7919%servers], shard.Routine, now.Add(time.Second))
				if _, ok := table.Admit(sub, now).(Dispatch); !ok {
					b.Fatal("not dispatched")
				}
				if _, _, ok := table.Check(sub, now); !ok {
					b.Fatal("stopped at dispatch")
				}
				table.Complete(sub, shard.Answered{}, time.Duration(4+i%3)*time.Millisecond, now)
			}
		})
	}
}

func benchTable(servers int) (*Table, []string) {
	table := NewTable(permitAll)
	var (
		placed []config.PlacedServer
		states []State
		names  []string
	)
	for i := range servers {
		name := fmt.Sprintf("server-%d", i)
		names = append(names, name)
		placed = append(placed, place(testService(fmt.Sprintf("service-%d", i/4), 2), name))
		states = append(states, warm(name, 5*time.Millisecond))
	}
	table.Adopt(states, epoch)
	table.Own(placed, Takeover{}, epoch)
	return table, names
}

func liveHeap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkState measures the heap of the owner's records once each server has
// a full window of latencies, and one round of state reports.
func BenchmarkState(b *testing.B) {
	for _, servers := range []int{110, 440, 1100, 4400} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			before := liveHeap()
			table, names := benchTable(servers)
			now := epoch
			for i := range servers * 128 {
				now = now.Add(time.Millisecond)
				sub := testSub(uint64(i+1), names[i%servers], shard.Routine, now.Add(time.Second))
				table.Admit(sub, now)
				table.Check(sub, now)
				table.Complete(sub, shard.Answered{}, 4*time.Millisecond, now)
			}
			held := liveHeap() - before
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Second)
				for _, name := range names {
					table.Report(shard.Report{Server: name}, now)
				}
			}
			b.ReportMetric(float64(held)/float64(servers), "held-B/server")
		})
	}
}
