package config_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"hyssophub/codec"
	"hyssophub/config"
)

// sizes are the numbers of backend servers at which the growth of time and memory
// is measured.
var sizes = []int{110, 440, 1100, designServers}

// encodedValue returns an encoded configuration with the given number of servers
// and a full list of changes.
func encodedValue(b *testing.B, servers int) []byte {
	change := config.Change{ID: "00000000-0000-0000-0000-000000000000", Author: "office", At: start, Note: "manifest design"}
	value := config.Value{Manifest: designManifest(servers)}
	for range 64 {
		value.Changes = append(value.Changes, change)
	}
	data, err := codec.EncodeValue(value)
	require.NoError(b, err)
	return data
}

// liveHeap returns the size of the heap in bytes after a garbage collection.
func liveHeap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkValue measures the work of each host for a change: to decode the stored
// value and to build the view.
func BenchmarkValue(b *testing.B) {
	for _, servers := range sizes {
		data := encodedValue(b, servers)
		b.Run(fmt.Sprintf("decode/servers=%d", servers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, err := codec.DecodeValue(data, 1)
				require.NoError(b, err)
			}
			b.ReportMetric(float64(len(data)), "stored-B")
		})
		b.Run(fmt.Sprintf("view/servers=%d", servers), func(b *testing.B) {
			before := liveHeap()
			value, err := codec.DecodeValue(data, 1)
			require.NoError(b, err)
			view := config.NewView(value)
			held := liveHeap() - before
			b.ReportAllocs()
			for b.Loop() {
				config.NewView(value)
			}
			runtime.KeepAlive(view)
			b.ReportMetric(float64(held), "held-B")
		})
	}
}
