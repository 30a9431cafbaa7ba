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

// benchServers is the number of backend servers, one placement group.
const benchServers = 8

// childVariable makes the test binary run the stand-in servers, so that their
// processor time is not counted as the tier's.
const childVariable = "HYSSOPHUB_BENCH_CHILD"

// runChild serves until its standard input ends.
func runChild() {
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

func startChild(b *testing.B) []string {
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), childVariable+"=1")
	input, err := child.StdinPipe()
	require.NoError(b, err)
	output, err := child.StdoutPipe()
	require.NoError(b, err)
	require.NoError(b, child.Start())
	b.Cleanup(func() {
		_ = input.Close()
		_ = child.Wait()
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

// BenchmarkSubRequestBare is the yardstick: one net/http call to a stand-in
// server, with the same body as the tier's sub-request.
func BenchmarkSubRequestBare(b *testing.B) {
	addresses := startChild(b)
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

// BenchmarkSubRequestTier measures the tier's processor time for one
// sub-request through both hops: entry host, owner, backend server and back.
func BenchmarkSubRequestTier(b *testing.B) {
	entryHost := startBenchTier(b, startChild(b))
	ask := func() {
		answer, err := entryHost.core.Run(context.Background(), query.Request{
			ID: "bench", Tenant: "t", Text: "plot 7", Limit: 5, Class: shard.Urgent, Deadline: time.Now().Add(5 * time.Second),
		})
		if err != nil {
			b.Fatal(err)
		}
		if answer.Coverage.Covered != benchServers {
			b.Fatalf("coverage %+v", answer.Coverage)
		}
	}
	ask()
	b.ReportAllocs()
	b.ResetTimer()
	start := processorTime()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			ask()
		}
	})
	b.ReportMetric(float64(processorTime()-start)/float64(b.N*benchServers), "cpu-ns/sub")
}

// startBenchTier starts an entry host in zone a and the owner of all servers
// in zone b, and returns the entry host.
func startBenchTier(b *testing.B, addresses []string) *Daemon {
	platform, err := fakes.NewStore("")
	require.NoError(b, err)
	b.Cleanup(func() { _ = platform.Close() })
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
		hosts  []*Daemon
		listed []fakes.Host
	)
	for _, zone := range []string{"a", "b"} {
		d, err := New(setup.Settings{
			Name: "host-" + zone, Zone: zone, CallerAddr: "127.0.0.1:0", AdminAddr: "127.0.0.1:0", PeerAddr: "127.0.0.1:0", HeartbeatAddr: "127.0.0.1:0",
			PlatformAddr: platform.Address(), Stop: setup.Stop{FinishTimeout: time.Second},
		}, logs.Discard())
		require.NoError(b, err)
		b.Cleanup(func() { _ = d.Close() })
		hosts = append(hosts, d)
		listed = append(listed, fakes.Host{Name: "host-" + zone, Kind: "entry", Zone: zone, State: "live", Peer: d.PeerAddress()})
	}
	platform.SetHosts(listed)
	value, err := codec.EncodeValue(config.Value{Manifest: manifest})
	require.NoError(b, err)
	_, err = hosts[0].platform.Swap(context.Background(), config.StoreKey, 0, value, 0)
	require.NoError(b, err)
	require.Eventually(b, func() bool {
		answer, err := hosts[0].core.Run(context.Background(), query.Request{
			ID: "warm", Tenant: "t", Text: "plot 7", Limit: 5, Class: shard.Urgent, Deadline: time.Now().Add(time.Second),
		})
		return err == nil && answer.Coverage.Covered == benchServers
	}, 10*time.Second, 20*time.Millisecond)
	return hosts[0]
}
