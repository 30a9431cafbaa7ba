package work

import (
	"sync"
	"testing"

	"hyssophub/shard"
)

// BenchmarkPool measures the overhead of one job: submitting it, running it on
// a worker and waiting for its end.
func BenchmarkPool(b *testing.B) {
	var done sync.WaitGroup
	p := NewPool(8, 1<<16, func(int) { done.Done() }, Recovery[int]{})
	b.ReportAllocs()
	for b.Loop() {
		done.Add(1)
		if err := p.Submit(shard.Urgent, 1); err != nil {
			b.Fatal(err)
		}
		done.Wait()
	}
	p.Close()
}
