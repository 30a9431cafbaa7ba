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
// last check before dispatch, and the completion with its statistics.
func BenchmarkDecision(b *testing.B) {
	for _, servers := range []int{110, 1100, 4400} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			table, names := benchTable(servers)
			now := startTime
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(time.Microsecond)
				sub := testSub(uint64(i+1), names[i*7919%servers], shard.Routine, now.Add(time.Second))
				if _, ok := table.Admit(sub, now).(Dispatch); !ok {
					b.Fatal("sub-request was not admitted for dispatch")
				}
				if _, _, ok := table.CheckDispatch(sub, now); !ok {
					b.Fatal("sub-request was refused by the check before dispatch")
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
		states []HandoverState
		names  []string
	)
	for i := range servers {
		name := fmt.Sprintf("server-%d", i)
		names = append(names, name)
		placed = append(placed, testPlaced(testService(fmt.Sprintf("service-%d", i/4), 2), name))
		states = append(states, warmState(name, 5*time.Millisecond))
	}
	table.ImportStates(states, startTime)
	table.SetOwned(placed, Takeover{}, startTime)
	return table, names
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkState measures the heap in use per server once each server has a
// full latency window, and the time for one round of state reports.
func BenchmarkState(b *testing.B) {
	for _, servers := range []int{110, 440, 1100, 4400} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			before := heapInUse()
			table, names := benchTable(servers)
			now := startTime
			for i := range servers * 128 {
				now = now.Add(time.Millisecond)
				sub := testSub(uint64(i+1), names[i%servers], shard.Routine, now.Add(time.Second))
				table.Admit(sub, now)
				table.CheckDispatch(sub, now)
				table.Complete(sub, shard.Answered{}, 4*time.Millisecond, now)
			}
			held := heapInUse() - before
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Second)
				for _, name := range names {
					table.ApplyReport(shard.StateReport{Server: name}, now)
				}
			}
			b.ReportMetric(float64(held)/float64(servers), "held-B/server")
		})
	}
}
