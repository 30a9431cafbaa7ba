package once

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRun measures an undisturbed request with in-memory ports: two store
// calls, one sub-request and three jobs passed between goroutines.
func BenchmarkRun(b *testing.B) {
	c := newCluster(make([][]callFault, 1), make([][]callFault, 1), 1e9)
	defer c.close()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if _, err := c.engines[0].Run(b.Context(), request("a", fmt.Sprintf("k%d", i), time.Second)); err != nil {
			b.Fatal(err)
		}
	}
}
