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

// Policy answers queries at the entry hosts. The interface has two
// implementations, the product and the baseline.
type Policy interface {
	// Ask sends a query to one of the live hosts.
	Query(ctx context.Context, rng *rand.Rand, request query.Request) (query.Answer, error)
	// Apply performs an action on the hosts.
	Apply(action Action)
	Close()
}

// Fleet is the product: a real core for each entry host of the manifest.
type Fleet struct {
	manifest config.Manifest
	backends *Backends
	network  *Network
	platform *Platform

	mu      sync.Mutex
	hosts   []member.Host
	cores   []*daemon.Core
	live    []bool
	leaving []bool
	out     []string
	// changes are the configuration writes in progress.
	changes sync.WaitGroup
}

func newFleet(manifest config.Manifest, backends *Backends, network *Network, seed uint64) *Fleet {
	network.announced = backends.notice
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
	f.write()
	for i := range f.hosts {
		f.start(i)
	}
	return f
}

// write stores the manifest with the zones that are out, as an administrator
// in another place would.
func (f *Fleet) write() {
	value, err := codec.EncodeValue(config.Value{Manifest: f.manifest, ZonesOut: f.out})
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

func (f *Fleet) start(i int) {
	h := f.hosts[i]
	platform := view{platform: f.platform, network: f.network, host: h.Name}
	h.Incarnation = uint64(time.Now().UnixMilli())
	others := peers{network: f.network, host: h.Name}
	core := daemon.NewCore(h, daemon.Ports{
		KV:      platform,
		Hosts:   platform,
		Peers:   others,
		Beats:   others,
		Backend: port{backends: f.backends, network: f.network, host: h.Name},
	}, logs.Discard())
	f.network.join(h.Name, h.Zone, core.Handler(), core.Beat)
	f.mu.Lock()
	f.cores[i], f.live[i] = core, true
	f.mu.Unlock()
	f.publish()
	core.Start()
}

// publish puts the live hosts on the platform's list.
func (f *Fleet) publish() {
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
			Name: h.Name, Kind: store.KindEntry, Zone: h.Zone, State: state, Peer: h.PeerAddr, Beat: h.HeartbeatAddr,
		})
	}
	f.platform.list(list)
}

// Ask implements Policy.
func (f *Fleet) Query(ctx context.Context, rng *rand.Rand, request query.Request) (query.Answer, error) {
	f.mu.Lock()
	core := f.balance(rng.IntN(len(f.cores)))
	f.mu.Unlock()
	return core.Run(ctx, request)
}

// balance returns the first ready host from a position on, as the platform's
// balancer does; without a ready host, the first live one. The caller holds
// the lock.
func (f *Fleet) balance(first int) *daemon.Core {
	var spare *daemon.Core
	for n := range f.cores {
		i := (first + n) % len(f.cores)
		switch {
		case !f.live[i]:
		case f.cores[i].Ready():
			return f.cores[i]
		case spare == nil:
			spare = f.cores[i]
		}
	}
	return spare
}

// Apply implements Policy.
func (f *Fleet) Apply(action Action) {
	switch a := action.(type) {
	case KillHost:
		f.network.kill(f.hosts[a.Host].Name)
		f.leave(a.Host, false)
	case PauseHost:
		f.network.pause(f.hosts[a.Host].Name)
	case ResumeHost:
		f.network.resume(f.hosts[a.Host].Name)
	case RestartHost:
		f.changes.Go(func() { f.restart(a.Host) })
	case IsolateZone:
		f.network.setCut(a.Zone, true)
	case ReconnectZone:
		f.network.setCut(a.Zone, false)
	case StoreState:
		f.platform.set(a)
	case SetZone:
		f.out = nil
		if a.Out {
			f.out = []string{a.Name}
		}
		f.write()
	}
}

// leave takes a host off the balancer. A host that stops as planned is listed
// as leaving until it has ended; a killed one disappears from the list.
func (f *Fleet) leave(i int, leaving bool) {
	f.mu.Lock()
	f.live[i], f.leaving[i] = false, leaving
	f.mu.Unlock()
	f.publish()
}

// Close implements Policy.
func (f *Fleet) Close() {
	f.changes.Wait()
	for _, h := range f.hosts {
		f.network.resume(h.Name)
	}
	var closing sync.WaitGroup
	for _, c := range f.cores {
		closing.Go(func() { _ = c.Close() })
	}
	closing.Wait()
	// Timers of the cores may still be pending; their pools are closed, so
	// that they do nothing.
	time.Sleep(time.Second)
}
