package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Sizes of the soak's deployment.
const (
	zones        = 3
	hostsPerZone = 2
	shards       = 8
	topK         = 10
	minShare     = 0.7
)

// deployment is a tier of real processes with simulated backend servers, a
// simulated store and a simulated balancer.
type deployment struct {
	t          *testing.T
	store      *store
	storeProxy *proxy
	hosts      []*host
	executions *executions
	// accounts are the client accounts; nil if requests need none.
	accounts *accounts

	mu      sync.Mutex
	servers map[string]*server
	version uint64
	port    int
	// bodyLimit is the operators' limit on the body of a request, in bytes.
	bodyLimit int
	// connections is the operators' limit on the connections to a backend server.
	connections int
}

// recordDisturbance records the time of a fault of the store or of a host that is
// frozen. The bound on draining servers holds only for servers that start to
// drain later.
func (d *deployment) recordDisturbance() { d.executions.lastDisturbance.Store(time.Now().UnixNano()) }

// firstServerPort is the first port of the backend servers. All fixed ports of this
// package are below those that the tests of package cmds reserve, from 25000 on.
const firstServerPort = 22000

func newDeployment(t *testing.T, binary string) *deployment {
	d := &deployment{t: t, executions: &executions{runs: make(map[string]int)}, servers: make(map[string]*server), port: firstServerPort, bodyLimit: 65536, connections: 60}
	var err error
	d.store, err = newStore(loopback("0.1:21900"))
	require.NoError(t, err)
	t.Cleanup(d.store.close)
	d.storeProxy, err = newProxy(loopback("0.1:21901"), loopback("0.1:21900"))
	require.NoError(t, err)
	t.Cleanup(d.storeProxy.close)
	for s := range shards {
		for r := range 2 {
			d.addServer(fmt.Sprintf("shard-%d", s), zoneName((s+r)%zones))
		}
	}
	for r := range zones {
		d.addServer("single", zoneName(r))
	}
	d.writeRules()
	dir := t.TempDir()
	var seeds []string
	for z := range zones {
		for i := range hostsPerZone {
			h := &host{name: fmt.Sprintf("host-%d-%d", z, i), ip: loopback(fmt.Sprintf("%d.%d", 10+z, 1+i)), zone: zoneName(z), dir: dir, binary: binary, memory: 284}
			d.hosts = append(d.hosts, h)
			if i == 0 {
				seeds = append(seeds, h.address(portPeer))
			}
		}
	}
	for _, h := range d.hosts {
		require.NoError(t, h.configure(loopback("0.1:21901"), seeds))
		require.NoError(t, h.start())
	}
	t.Cleanup(func() {
		for _, h := range d.hosts {
			h.signal(syscall.SIGCONT)
			h.signal(syscall.SIGKILL)
			h.waitExit(time.Second)
		}
		for _, s := range d.serverList() {
			s.close()
		}
	})
	return d
}

func zoneName(z int) string { return fmt.Sprintf("zone-%d", z) }

// addServer starts a backend server and registers it.
func (d *deployment) addServer(service, zone string) *server {
	return d.addVersion(service, zone, "v1")
}

// addVersion starts a backend server of a software version and registers it.
func (d *deployment) addVersion(service, zone, version string) *server {
	d.mu.Lock()
	d.port += 2
	id, port := fmt.Sprintf("i-%d", d.port), d.port
	d.mu.Unlock()
	s, err := newServer(id, service, zone, loopback(fmt.Sprintf("0.1:%d", port)), loopback(fmt.Sprintf("0.1:%d", port+1)), d.executions)
	require.NoError(d.t, err)
	s.version, s.started = version, time.Now()
	d.mu.Lock()
	d.servers[id] = s
	d.mu.Unlock()
	d.register(s, "ready")
	return s
}

// register writes the registration of a server with a state and returns the time
// when the store accepted it.
func (d *deployment) register(s *server, state string) time.Time {
	return d.store.put("servers/"+s.id, map[string]any{
		"Service": s.service, "Addr": s.proxy.listener.Addr().String(), "Zone": s.zone, "Version": s.version,
		"Slots": serverSlots, "State": state, "ColdLeftMs": 0, "Seq": 1, "born": s.started.UnixMilli(),
	})
}

func (d *deployment) serverList() []*server {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []*server
	for _, s := range d.servers {
		list = append(list, s)
	}
	return list
}

// writeRules writes the next version of the rules to the store.
func (d *deployment) writeRules() {
	d.mu.Lock()
	d.version += 3
	version := d.version
	d.mu.Unlock()
	var gather []string
	services := []map[string]any{{"Name": "single", "HealthPath": "/health", "MaxConns": d.connections}}
	for s := range shards {
		name := fmt.Sprintf("shard-%d", s)
		gather = append(gather, name)
		services = append(services, map[string]any{"Name": name, "HealthPath": "/health", "MaxConns": d.connections})
	}
	route := func(name, prefix, kind string, extra map[string]any) map[string]any {
		r := map[string]any{"Name": name, "Host": "soak.example", "Prefix": prefix, "Kind": kind, "TimeoutMs": 2000, "TargetLatencyMs": 250, "Priority": 1, "MaxAttempts": 2}
		for k, v := range extra {
			r[k] = v
		}
		return r
	}
	d.store.put("op/config", map[string]any{
		"Version": version, "Tenants": d.accounts.tenants(),
		"Routes": []any{
			route("all", "/all/", "idempotent", map[string]any{"Gather": gather, "TopK": topK, "MinShare": minShare}),
			route("one", "/one/", "idempotent", map[string]any{"Service": "single"}),
			route("pay", "/pay/", "non_idempotent", map[string]any{"Service": "single"}),
		},
		"Services": services,
		"Limits":   map[string]any{"HeaderBytes": 16384, "BodyBytes": d.bodyLimit, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 60000},
	})
}

// runBalancer checks the readiness of all hosts each second, as the balancer
// does, until ctx ends.
func (d *deployment) runBalancer(ctx context.Context) {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		var group sync.WaitGroup
		for _, h := range d.hosts {
			group.Go(func() { h.checkReadiness(client) })
		}
		group.Wait()
		sleepContext(ctx, time.Second)
	}
}

// pickHost returns a random host that the balancer lists, or any host if it lists
// none.
func (d *deployment) pickHost(random *rand.Rand) *host {
	var listed []*host
	for _, h := range d.hosts {
		if h.isListed() {
			listed = append(listed, h)
		}
	}
	if len(listed) == 0 {
		listed = d.hosts
	}
	return listed[random.IntN(len(listed))]
}

// sleepContext waits until the time has passed or ctx ends.
func sleepContext(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

// sleep waits; the soak test runs in real time.
func sleep(wait time.Duration) { <-time.After(wait) }

// partSeals returns the seals of the parts that an answer lists in its header.
func partSeals(header http.Header) []string {
	var list []string
	for _, value := range header.Values("Part-Seals") {
		for _, s := range strings.Split(value, ",") {
			if s = strings.TrimSpace(s); s != "" {
				list = append(list, s)
			}
		}
	}
	return list
}
