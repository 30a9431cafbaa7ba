package daemon

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"hyssophub/codec"
	"hyssophub/config"
	"hyssophub/event"
	"hyssophub/kvhttp"
	"hyssophub/logs"
	"hyssophub/member"
	"hyssophub/owner"
	"hyssophub/shard"
	"hyssophub/store"
)

// networkDelay is the one-way delay of the in-memory network.
const networkDelay = 2 * time.Millisecond

// serverCount is the number of backend servers.
const serverCount = 64

var errUnreachable = errors.New("no route to host")

// cluster is a deployment of several cores in one process.
type cluster struct {
	zones []string

	mu      sync.Mutex
	cores   []*Core
	stopped []bool
	// isolated hosts reach only each other, and not the store.
	isolated []bool
	// paused holds a channel for each paused host, which is closed when the host
	// resumes, and nil for the others.
	paused  []chan struct{}
	entries map[string]store.Entry
	// changed is closed and replaced at each write to the store.
	changed   chan struct{}
	storeDown bool
	// incarnation is the one of the host that started last.
	incarnation uint64
	// storeCalls counts the calls to the platform by kind.
	storeCalls map[string]int
	// leavingServers are the backend servers that the host list shows as leaving.
	leavingServers []string
}

func newCluster(zones []string) *cluster {
	return &cluster{
		zones:      zones,
		cores:      make([]*Core, len(zones)),
		stopped:    make([]bool, len(zones)),
		isolated:   make([]bool, len(zones)),
		paused:     make([]chan struct{}, len(zones)),
		entries:    make(map[string]store.Entry),
		changed:    make(chan struct{}),
		storeCalls: make(map[string]int),
	}
}

func (c *cluster) count(kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeCalls[kind]++
}

func hostName(i int) string { return fmt.Sprintf("h%d", i) }

func (c *cluster) start(i int) {
	c.mu.Lock()
	c.incarnation++
	name := hostName(i)
	self := member.Host{Name: name, Zone: c.zones[i], PeerAddr: name, HeartbeatAddr: name, Incarnation: c.incarnation}
	p := fakePorts{cluster: c, host: i}
	core := NewCore(self, Ports{KV: p, Hosts: p, Peers: p, Heartbeats: p, Backend: p}, logs.Discard())
	c.cores[i], c.stopped[i] = core, false
	c.mu.Unlock()
	core.Start()
}

// kill stops a host without a planned stop.
func (c *cluster) kill(i int) error {
	c.mu.Lock()
	core, stopped := c.cores[i], c.stopped[i]
	c.stopped[i] = true
	c.mu.Unlock()
	if stopped {
		return nil
	}
	return core.Close()
}

// write stores a configuration whose backend servers are all in the first zone.
func (c *cluster) write() error {
	m := config.Manifest{Name: "test", Tenants: []config.Tenant{{Name: "t"}}}
	for _, z := range c.zones {
		if len(m.Zones) == 0 || m.Zones[len(m.Zones)-1].Name != z {
			m.Zones = append(m.Zones, config.Zone{Name: z, Hosts: 1})
		}
	}
	s := config.Service{Name: "s", Tenant: "t", Shards: []string{"s.0"}, Slots: 2, Connections: 25, Floor: 5}
	for i := range serverCount {
		s.Servers = append(s.Servers, config.Server{Name: fmt.Sprintf("s-%d", i), Zone: c.zones[0], Address: fmt.Sprintf("10.0.0.1:%d", 1000+i)})
	}
	m.Services = []config.Service{s}
	value, err := codec.EncodeValue(config.Value{Manifest: m})
	if err != nil {
		return err
	}
	p := fakePorts{cluster: c}
	_, err = p.Swap(context.Background(), config.StoreKey, c.entry(config.StoreKey).Revision, value, 0)
	return err
}

func (c *cluster) entry(key string) store.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entries[key]
}

func (c *cluster) target(host string) (*Core, error) {
	time.Sleep(networkDelay)
	c.mu.Lock()
	defer c.mu.Unlock()
	i, err := strconv.Atoi(strings.TrimPrefix(host, "h"))
	if err != nil || i >= len(c.cores) || c.stopped[i] {
		return nil, errUnreachable
	}
	return c.cores[i], nil
}

// fakePorts implements the interfaces in Ports for one host of a cluster.
type fakePorts struct {
	cluster *cluster
	host    int
}

func (p fakePorts) storeUnreachable() bool {
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	return p.cluster.storeDown || p.cluster.isolated[p.host]
}

// target returns the core of another host, or an error if this host does not reach
// it.
func (p fakePorts) target(host string) (*Core, error) {
	core, err := p.cluster.target(host)
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	if err == nil && p.cluster.isolated[p.host] != p.cluster.isolated[slices.Index(p.cluster.cores, core)] {
		return nil, errUnreachable
	}
	return core, err
}

func (p fakePorts) Get(_ context.Context, key string) (store.Entry, error) {
	p.cluster.count("get")
	return p.read(key)
}

func (p fakePorts) read(key string) (store.Entry, error) {
	time.Sleep(networkDelay)
	if p.storeUnreachable() {
		return store.Entry{}, store.ErrUnavailable
	}
	return p.cluster.entry(key), nil
}

func (p fakePorts) Swap(_ context.Context, key string, revision uint64, value []byte, _ store.LeaseID) (store.Entry, error) {
	p.cluster.count("swap")
	time.Sleep(networkDelay)
	c := p.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.entries[key]
	switch {
	case c.storeDown || c.isolated[p.host]:
		return store.Entry{}, store.ErrUnavailable
	case old.Revision != revision:
		return old, store.ErrConflict
	}
	c.entries[key] = store.Entry{Key: key, Value: value, Revision: revision + 1}
	close(c.changed)
	c.changed = make(chan struct{})
	return c.entries[key], nil
}

func (p fakePorts) Watch(ctx context.Context, key string, after uint64) (store.Entry, error) {
	p.cluster.count("watch")
	limit := time.NewTimer(kvhttp.DefaultWatchWait)
	defer limit.Stop()
	for {
		e, err := p.read(key)
		if err != nil || e.Revision > after {
			return e, err
		}
		p.cluster.mu.Lock()
		changed := p.cluster.changed
		p.cluster.mu.Unlock()
		select {
		case <-changed:
		case <-limit.C:
			return e, nil
		case <-ctx.Done():
			return e, ctx.Err()
		}
	}
}

func (p fakePorts) GrantLease(context.Context, time.Duration) (store.LeaseID, error) {
	return 0, store.ErrLease
}

func (p fakePorts) RenewLease(context.Context, store.LeaseID) error { return store.ErrLease }

func (p fakePorts) List(context.Context) ([]store.HostInfo, error) {
	p.cluster.count("hosts")
	if p.storeUnreachable() {
		return nil, store.ErrUnavailable
	}
	var list []store.HostInfo
	for i, z := range p.cluster.zones {
		name := hostName(i)
		list = append(list, store.HostInfo{Name: name, Kind: store.KindEntry, Zone: z, State: store.HostLive, PeerAddr: name, HeartbeatAddr: name})
	}
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	for _, name := range p.cluster.leavingServers {
		list = append(list, store.HostInfo{Name: name, Kind: store.KindBackend, Zone: p.cluster.zones[0], State: store.HostLeaving})
	}
	return list, nil
}

// Send implements HeartbeatSender. It blocks while this host is paused, which stops
// the host's ticks and its handling of heartbeats.
func (p fakePorts) Send(to member.Host, heartbeat member.Heartbeat) error {
	p.cluster.mu.Lock()
	paused := p.cluster.paused[p.host]
	p.cluster.mu.Unlock()
	if paused != nil {
		<-paused
	}
	go func() {
		if core, err := p.target(to.Name); err == nil {
			core.HandleHeartbeat(heartbeat)
		}
	}()
	return nil
}

func (p fakePorts) Submit(ctx context.Context, host string, batch shard.Batch) ([]shard.Result, error) {
	core, err := p.target(host)
	if err != nil {
		return nil, err
	}
	return peerHandler{core}.Submit(ctx, batch), nil
}

func (p fakePorts) Deliver(_ context.Context, host string, results []shard.Result) error {
	core, err := p.target(host)
	if err == nil {
		peerHandler{core}.Deliver(results)
	}
	return err
}

func (p fakePorts) FetchConfig(_ context.Context, host string, revision uint64) ([]byte, uint64, error) {
	core, err := p.target(host)
	if err != nil {
		return nil, 0, err
	}
	value, newest := peerHandler{core}.FetchConfig(revision)
	return value, newest, nil
}

func (p fakePorts) Catalogs(_ context.Context, host string) ([]shard.Catalog, error) {
	core, err := p.target(host)
	if err != nil {
		return nil, err
	}
	return peerHandler{core}.Catalogs(), nil
}

func (p fakePorts) Handover(_ context.Context, host, from string, states []owner.HandoverState) error {
	core, err := p.target(host)
	if err == nil {
		peerHandler{core}.Handover(from, states)
	}
	return err
}

func (p fakePorts) Notify(_ context.Context, host, from string, e event.Event) error {
	core, err := p.target(host)
	if err == nil {
		peerHandler{core}.Notify(from, e)
	}
	return err
}

func (p fakePorts) Do(context.Context, config.PlacedServer, shard.SubRequest) shard.Outcome {
	time.Sleep(networkDelay)
	return shard.Answered{}
}

func (p fakePorts) State(context.Context, config.PlacedServer) (shard.StateReport, error) {
	return shard.StateReport{}, errUnreachable
}
