package owner

import (
	"fmt"
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
		placed []config.Placed
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
