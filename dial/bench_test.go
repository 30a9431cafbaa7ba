package dial

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssophub/fakes"
	"hyssophub/shard"
)

// reportCPU reports the allocations and, when the returned function is called,
// the CPU time of the process, which includes that of the fake server.
func reportCPU(b *testing.B) func() {
	b.ReportAllocs()
	start := cpuTime(b)
	return func() {
		b.ReportMetric(float64((cpuTime(b)-start).Nanoseconds())/float64(b.N), "cpu-ns/op")
	}
}

func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkExchange compares Do with a plain net/http call to the same fake
// server. The fake runs in this process, so that both figures include its cost.
func BenchmarkExchange(b *testing.B) {
	_, placed := startServer(b, fakes.ServerOptions{})
	b.Run("dial", func(b *testing.B) {
		c := startClient(b)
		defer reportCPU(b)()
		for i := range b.N {
			outcome := c.Do(b.Context(), placed, testSub(uint64(i+1), time.Second))
			if _, ok := outcome.(shard.Answered); !ok {
				b.Fatalf("outcome %v", outcome)
			}
		}
	})
	b.Run("nethttp", func(b *testing.B) {
		transport := &http.Transport{}
		defer transport.CloseIdleConnections()
		plain := &http.Client{Transport: transport}
		defer reportCPU(b)()
		for i := range b.N {
			sub := testSub(uint64(i+1), time.Second)
			var search wireSearch
			search.fill(&sub)
			body, err := json.Marshal(search)
			require.NoError(b, err)
			response, err := plain.Post("http://"+placed.Server.Address+pathSearch, "application/json", bytes.NewReader(body))
			require.NoError(b, err)
			data, err := io.ReadAll(response.Body)
			require.NoError(b, err)
			_ = response.Body.Close()
			var answer wireAnswer
			require.NoError(b, json.Unmarshal(data, &answer))
		}
	})
}

// BenchmarkState measures one state request over an open connection. The fake
// server runs in this process, so that the figures include its cost.
func BenchmarkState(b *testing.B) {
	_, placed := startServer(b, fakes.ServerOptions{})
	c := startClient(b)
	defer reportCPU(b)()
	for b.Loop() {
		_, err := c.State(b.Context(), placed)
		require.NoError(b, err)
	}
}
