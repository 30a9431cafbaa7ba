package daemon

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssophub/codec"
	"hyssophub/config"
	"hyssophub/fakes"
	"hyssophub/logs"
	"hyssophub/query"
	"hyssophub/setup"
	"hyssophub/shard"
)

// benchServers is the number of backend servers, all in one placement group.
const benchServers = 8

// backendProcessEnv is the environment variable that makes the test binary run the
// fake backend servers. They run in a process of their own, so that their processor
// time is not counted as the tier's.
const backendProcessEnv = "HYSSOPHUB_BENCH_CHILD"

// serveBackends runs the fake backend servers until its standard input ends.
func serveBackends() {
	for i := range benchServers {
		name := fmt.Sprintf("s%d", i)
		server, err := fakes.NewServer(fakes.ServerOptions{
			Name:    name,
			Slots:   benchServers * 64,
			Indexes: []fakes.Index{{Version: 1, All: []string{name + ".0"}, Shards: []string{name + ".0"}}},
		})
		if err != nil {
			panic(err)
		}
		fmt.Println(server.Address())
	}
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// startBackends starts the process of the fake backend servers and returns their
// addresses.
func startBackends(b *testing.B) []string {
	process := exec.Command(os.Args[0])
	process.Env = append(os.Environ(), backendProcessEnv+"=1")
	input, err := process.StdinPipe()
	require.NoError(b, err)
	output, err := process.StdoutPipe()
	require.NoError(b, err)
	require.NoError(b, process.Start())
	b.Cleanup(func() {
		_ = input.Close()
		_ = process.Wait()
	})
	var addresses []string
	lines := bufio.NewScanner(output)
	for len(addresses) < benchServers && lines.Scan() {
		addresses = append(addresses, strings.TrimSpace(lines.Text()))
	}
	require.Len(b, addresses, benchServers)
	return addresses
}

// processorTime returns the processor time of this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkSubRequestBare is the baseline: one net/http call to a fake backend
// server, with the same body as the tier's sub-request.
func BenchmarkSubRequestBare(b *testing.B) {
	addresses := startBackends(b)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	var id atomic.Uint64
	call := func(n uint64) {
		i := n % benchServers
		name := fmt.Sprintf("s%d", i)
		body, _ := json.Marshal(map[string]any{"id": n, "service": name, "version": 1, "shards": []string{name + ".0"}, "text": "plot 7", "limit": 5})
		response, err := client.Post("http://"+addresses[i]+"/v1/search", "application/json", bytes.NewReader(body))
		if err != nil {
			b.Fatal(err)
		}
		defer func() { _ = response.Body.Close() }()
		var answer struct {
			Parts []struct {
				Hits []struct{ Key, Text string }
			}
		}
		if err := json.NewDecoder(response.Body).Decode(&answer); err != nil || len(answer.Parts) != 1 {
			b.Fatal(err, answer)
		}
	}
	call(id.Add(1))
	b.ReportAllocs()
	b.ResetTimer()
	start := processorTime()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			call(id.Add(1))
		}
	})
	b.ReportMetric(float64(processorTime()-start)/float64(b.N), "cpu-ns/sub")
}

// BenchmarkSubRequestTier measures the tier's processor time for one sub-request
// from the entry host through the owner to the backend server and back.
func BenchmarkSubRequestTier(b *testing.B) {
	host := startBenchTier(b, startBackends(b))
	runQuery := func() {
		answer, err := host.core.Run(context.Background(), query.Request{
			ID: "bench", Tenant: "t", Text: "plot 7", Limit: 5, Class: shard.Urgent, Deadline: time.Now().Add(5 * time.Second),
		})
		if err != nil {
			b.Fatal(err)
		}
		if answer.Coverage.Covered != benchServers {
			b.Fatalf("coverage %+v", answer.Coverage)
		}
	}
	runQuery()
	b.ReportAllocs()
	b.ResetTimer()
	start := processorTime()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			runQuery()
		}
	})
	b.ReportMetric(float64(processorTime()-start)/float64(b.N*benchServers), "cpu-ns/sub")
}

// startBenchTier starts an entry host in zone a and the owner of all servers in
// zone b, and returns the host in zone a.
func startBenchTier(b *testing.B, addresses []string) *Daemon {
	store, err := fakes.NewStore("")
	require.NoError(b, err)
	b.Cleanup(func() { _ = store.Close() })
	manifest := config.Manifest{
		Name:    "bench",
		Zones:   []config.Zone{{Name: "a"}, {Name: "b"}},
		Tenants: []config.Tenant{{Name: "t", Class: shard.Urgent}},
	}
	for i, address := range addresses {
		name := fmt.Sprintf("s%d", i)
		manifest.Services = append(manifest.Services, config.Service{
			Name: name, Tenant: "t", Shards: []string{name + ".0"}, Slots: 64, Connections: 100, Floor: 1 << 20, Warmup: time.Millisecond,
			Servers: []config.Server{{Name: name, Zone: "b", Address: address}},
		})
	}
	var (
		hosts    []*Daemon
		hostList []fakes.Host
	)
	for _, zone := range []string{"a", "b"} {
		d, err := New(setup.Settings{
			Name: "host-" + zone, Zone: zone, CallerAddr: "127.0.0.1:0", AdminAddr: "127.0.0.1:0", PeerAddr: "127.0.0.1:0", HeartbeatAddr: "127.0.0.1:0",
			PlatformAddr: store.Address(), Stop: setup.Stop{FinishTimeout: time.Second},
		}, logs.Discard())
		require.NoError(b, err)
		b.Cleanup(func() { _ = d.Close() })
		hosts = append(hosts, d)
		hostList = append(hostList, fakes.Host{Name: "host-" + zone, Kind: "entry", Zone: zone, State: "live", Peer: d.PeerAddress()})
	}
	store.SetHosts(hostList)
	value, err := codec.EncodeValue(config.Value{Manifest: manifest})
	require.NoError(b, err)
	_, err = hosts[0].store.Swap(context.Background(), config.StoreKey, 0, value, 0)
	require.NoError(b, err)
	require.Eventually(b, func() bool {
		answer, err := hosts[0].core.Run(context.Background(), query.Request{
			ID: "warm", Tenant: "t", Text: "plot 7", Limit: 5, Class: shard.Urgent, Deadline: time.Now().Add(time.Second),
		})
		return err == nil && answer.Coverage.Covered == benchServers
	}, 10*time.Second, 20*time.Millisecond)
	return hosts[0]
}
