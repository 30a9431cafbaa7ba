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

// reportProcessor reports the allocations and the processor time of the
// process, which includes that of the fake.
func reportProcessor(b *testing.B) func() {
	b.ReportAllocs()
	begin := processorTime(b)
	return func() {
		b.ReportMetric(float64((processorTime(b)-begin).Nanoseconds())/float64(b.N), "cpu-ns/op")
	}
}

func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkExchange compares Do with a bare net/http call to the same fake in
// the same run. The fake runs in this process, so that both include its cost.
func BenchmarkExchange(b *testing.B) {
	_, placed := startServer(b, fakes.ServerOptions{})
	b.Run("dial", func(b *testing.B) {
		c := startClient(b)
		defer reportProcessor(b)()
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
		bare := &http.Client{Transport: transport}
		defer reportProcessor(b)()
		for i := range b.N {
			sub := testSub(uint64(i+1), time.Second)
			var search wireSearch
			search.fill(&sub)
			body, err := json.Marshal(search)
			require.NoError(b, err)
			response, err := bare.Post("http://"+placed.Server.Address+pathSearch, "application/json", bytes.NewReader(body))
			require.NoError(b, err)
			data, err := io.ReadAll(response.Body)
			require.NoError(b, err)
			_ = response.Body.Close()
			var answer wireAnswer
			require.NoError(b, json.Unmarshal(data, &answer))
		}
	})
}

// BenchmarkState is one state poll over a kept connection. The fake runs in
// this process, so that the figures include its cost.
func BenchmarkState(b *testing.B) {
	_, placed := startServer(b, fakes.ServerOptions{})
	c := startClient(b)
	defer reportProcessor(b)()
	for b.Loop() {
		_, err := c.State(b.Context(), placed)
		require.NoError(b, err)
	}
}
