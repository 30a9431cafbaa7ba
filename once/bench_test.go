package once

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRun measures an undisturbed request with in-memory ports: two store
// calls, one sub-request and three hand-overs between goroutines.
func BenchmarkRun(b *testing.B) {
	w := newCluster(make([][]callFault, 1), make([][]callFault, 1), 1e9)
	defer w.close()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if _, err := w.engines[0].Run(b.Context(), request("a", fmt.Sprintf("k%d", i), time.Second)); err != nil {
			b.Fatal(err)
		}
	}
}
