// Package daemon wires the aggregates and adapters of one entry host together
// and runs its control jobs.
package daemon

import (
	"net/http"
	"sync/atomic"
	"time"

	"hyssophub/dial"
	"hyssophub/entry"
	"hyssophub/kvhttp"
	"hyssophub/logs"
	"hyssophub/member"
	"hyssophub/peer"
	"hyssophub/setup"
	"hyssophub/stats"
)

// Workers and queue bounds of the entry side.
const (
	queryWorkers = 64
	queryQueue   = 4096
)

// Daemon is one entry host: a Core with its listeners and adapters.
type Daemon struct {
	settings setup.Settings
	core     *Core
	stats    *stats.Metrics

	platform *kvhttp.Client
	peers    *peer.Client
	backends *dial.Client

	beats *peer.Beats

	ready     atomic.Bool
	operators http.Handler
	callers   *listener
	others    *listener
	admin     *listener
}

// New starts an entry host.
func New(settings setup.Settings, log *logs.Loggers) (*Daemon, error) {
	d := &Daemon{settings: settings}
	if err := d.build(log); err != nil {
		_ = d.Close()
		return nil, err
	}
	d.callers.serve(entry.NewHandler(d.core, d.core, d.core.config, d.stats, log.Layer(logs.LayerQuery), d.Ready))
	d.others.serve(peer.NewHandler(handler{d.core}))
	d.admin.serve(d.operators)
	d.beats.Start(d.core.Beat)
	d.core.Start()
	d.ready.Store(true)
	return d, nil
}

// build takes the addresses and makes the parts of the host.
func (d *Daemon) build(log *logs.Loggers) error {
	var err error
	if d.stats, err = stats.New(); err != nil {
		return err
	}
	if d.callers, err = listen(d.settings.CallerAddr); err != nil {
		return err
	}
	if d.others, err = listen(d.settings.PeerAddr); err != nil {
		return err
	}
	if d.admin, err = listen(d.settings.AdminAddr); err != nil {
		return err
	}
	if d.beats, err = peer.ListenBeats(d.settings.HeartbeatAddr, d.settings.Zone); err != nil {
		return err
	}
	d.platform = kvhttp.NewClient(d.settings.PlatformAddr)
	d.backends = dial.NewClient()
	d.peers = peer.NewClient(func(host string) (string, bool) { return d.core.Resolve(host) })
	d.core = NewCore(
		member.Host{
			Name:          d.settings.Name,
			Zone:          d.settings.Zone,
			PeerAddr:      d.others.address(),
			HeartbeatAddr: d.beats.Address(),
			Incarnation:   uint64(time.Now().UnixMilli()),
		},
		Ports{KV: d.platform, Hosts: d.platform, Peers: d.peers, Beats: d.beats, Backend: d.backends},
		log,
	)
	if d.operators, err = d.adminHandler(log); err != nil {
		return err
	}
	return d.stats.Observe(sources{core: d.core, platform: d.platform})
}

// Ready reports whether the balancer shall send callers here.
func (d *Daemon) Ready() bool { return d.ready.Load() && d.core.Ready() }

// CallerAddress returns the address that callers use.
func (d *Daemon) CallerAddress() string { return d.callers.address() }

// PeerAddress returns the address that other daemons use.
func (d *Daemon) PeerAddress() string { return d.others.address() }

// BeatAddress returns the address that other daemons send heartbeats to.
func (d *Daemon) BeatAddress() string { return d.beats.Address() }

// Revision returns the revision of the configuration in force here.
func (d *Daemon) Revision() uint64 { return d.core.Revision() }
