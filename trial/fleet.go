package trial

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"hyssophub/codec"
	"hyssophub/config"
	"hyssophub/daemon"
	"hyssophub/logs"
	"hyssophub/member"
	"hyssophub/query"
	"hyssophub/store"
)

// Policy answers queries at the entry hosts. Fleet and Baseline implement it.
type Policy interface {
	// Query runs a request at one of the live hosts.
	Query(ctx context.Context, rng *rand.Rand, request query.Request) (query.Answer, error)
	// Apply performs an action on hosts, the network or the store.
	Apply(action Action)
	// Close stops the hosts.
	Close()
}

// Fleet is the product: it runs a daemon.Core for each entry host of the
// manifest.
type Fleet struct {
	manifest config.Manifest
	backends *Backends
	network  *Network
	platform *Platform

	mu sync.Mutex
	// hosts, cores, live and leaving have one element for each entry host.
	hosts    []member.Host
	cores    []*daemon.Core
	live     []bool
	leaving  []bool
	zonesOut []string
	// restarts tracks the host restarts in progress.
	restarts sync.WaitGroup
}

func newFleet(manifest config.Manifest, backends *Backends, network *Network, seed uint64) *Fleet {
	network.onAnnounce = backends.recordAnnouncement
	f := &Fleet{manifest: manifest, backends: backends, network: network, platform: newPlatform(seed)}
	for _, z := range manifest.Zones {
		for i := range z.Hosts {
			name := z.Name + strconv.Itoa(i+1)
			f.hosts = append(f.hosts, member.Host{Name: name, Zone: z.Name, PeerAddr: name, HeartbeatAddr: name})
		}
	}
	f.cores = make([]*daemon.Core, len(f.hosts))
	f.live = make([]bool, len(f.hosts))
	f.leaving = make([]bool, len(f.hosts))
	f.writeConfig()
	for i := range f.hosts {
		f.startHost(i)
	}
	return f
}

// writeConfig writes the manifest and the zones that are out of service to the
// store, without any entry host.
func (f *Fleet) writeConfig() {
	value, err := codec.EncodeValue(config.Value{Manifest: f.manifest, ZonesOut: f.zonesOut})
	if err != nil {
		panic(err)
	}
	f.platform.mu.Lock()
	revision := f.platform.entry("config").Revision
	f.platform.mu.Unlock()
	if _, err := f.platform.swap("config", revision, value); err != nil {
		panic(err)
	}
}

func (f *Fleet) startHost(i int) {
	h := f.hosts[i]
	platform := platformClient{platform: f.platform, network: f.network, host: h.Name}
	h.Incarnation = uint64(time.Now().UnixMilli())
	peers := peerClient{network: f.network, host: h.Name}
	core := daemon.NewCore(h, daemon.Ports{
		KV:         platform,
		Hosts:      platform,
		Peers:      peers,
		Heartbeats: peers,
		Backend:    backendClient{backends: f.backends, network: f.network, host: h.Name},
	}, logs.Discard())
	f.network.attach(h.Name, h.Zone, core.PeerHandler(), core.HandleHeartbeat)
	f.mu.Lock()
	f.cores[i], f.live[i] = core, true
	f.mu.Unlock()
	f.publishHosts()
	core.Start()
}

// publishHosts sets the platform's host list to the live and leaving hosts.
func (f *Fleet) publishHosts() {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []store.HostInfo
	for i, h := range f.hosts {
		state := store.HostLive
		switch {
		case f.live[i]:
		case f.leaving[i]:
			state = store.HostLeaving
		default:
			continue
		}
		list = append(list, store.HostInfo{
			Name: h.Name, Kind: store.KindEntry, Zone: h.Zone, State: state, PeerAddr: h.PeerAddr, HeartbeatAddr: h.HeartbeatAddr,
		})
	}
	f.platform.setHosts(list)
}

// Query implements Policy.
func (f *Fleet) Query(ctx context.Context, rng *rand.Rand, request query.Request) (query.Answer, error) {
	f.mu.Lock()
	core := f.pickHost(rng.IntN(len(f.cores)))
	f.mu.Unlock()
	return core.Run(ctx, request)
}

// pickHost returns the first ready host at or after a position, as the
// platform's load balancer does. If no host is ready, it returns the first
// live one. The caller holds f.mu.
func (f *Fleet) pickHost(first int) *daemon.Core {
	var fallback *daemon.Core
	for n := range f.cores {
		i := (first + n) % len(f.cores)
		switch {
		case !f.live[i]:
		case f.cores[i].Ready():
			return f.cores[i]
		case fallback == nil:
			fallback = f.cores[i]
		}
	}
	return fallback
}

// Apply implements Policy.
func (f *Fleet) Apply(action Action) {
	switch a := action.(type) {
	case KillHost:
		f.network.kill(f.hosts[a.Host].Name)
		f.removeFromBalancer(a.Host, false)
	case PauseHost:
		f.network.pause(f.hosts[a.Host].Name)
	case ResumeHost:
		f.network.resume(f.hosts[a.Host].Name)
	case RestartHost:
		f.restarts.Go(func() { f.restartHost(a.Host) })
	case IsolateZone:
		f.network.setIsolated(a.Zone, true)
	case ReconnectZone:
		f.network.setIsolated(a.Zone, false)
	case StoreState:
		f.platform.setState(a)
	case SetZone:
		f.zonesOut = nil
		if a.Out {
			f.zonesOut = []string{a.Name}
		}
		f.writeConfig()
	}
}

// removeFromBalancer stops new queries to a host. With leaving, as in a planned
// stop, the host list names the host as leaving; a killed host is removed from
// the list.
func (f *Fleet) removeFromBalancer(i int, leaving bool) {
	f.mu.Lock()
	f.live[i], f.leaving[i] = false, leaving
	f.mu.Unlock()
	f.publishHosts()
}

// Close implements Policy.
func (f *Fleet) Close() {
	f.restarts.Wait()
	for _, h := range f.hosts {
		f.network.resume(h.Name)
	}
	var closing sync.WaitGroup
	for _, c := range f.cores {
		closing.Go(func() { _ = c.Close() })
	}
	closing.Wait()
	// Timers of the cores may still be pending. They fire here without effect,
	// since the worker pools of the cores are closed.
	time.Sleep(time.Second)
}
