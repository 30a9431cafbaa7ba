// Package daemon wires the aggregates and adapters of one entry host together
// and runs its control jobs.
package daemon

import (
	"errors"
	"net/http"
	"sync/atomic"

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
	stats    *stats.Stats

	platform *kvhttp.Client
	peers    *peer.Client
	backends *dial.Client

	ready     atomic.Bool
	listeners []*listener
}

// New starts an entry host.
func New(settings setup.Settings, log *logs.Logs) (*Daemon, error) {
	instruments, err := stats.New()
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		settings: settings,
		stats:    instruments,
		platform: kvhttp.NewClient(settings.Platform),
		backends: dial.NewClient(),
	}
	d.peers = peer.NewClient(func(host string) (string, bool) { return d.core.Resolve(host) })
	d.core = NewCore(
		member.Host{Name: settings.Name, Zone: settings.Zone, Peer: settings.Peer, Beat: settings.Beat},
		Ports{KV: d.platform, Hosts: d.platform, Peers: d.peers, Backend: d.backends},
		log,
	)
	if err := errors.Join(d.stats.Observe(sources{core: d.core, platform: d.platform}), d.listen(log)); err != nil {
		_ = d.Close()
		return nil, err
	}
	d.core.Start()
	d.ready.Store(true)
	return d, nil
}

// CallerAddress returns the address that callers use.
func (d *Daemon) CallerAddress() string { return d.listeners[0].address() }

// PeerAddress returns the address that other daemons use.
func (d *Daemon) PeerAddress() string { return d.listeners[1].address() }

// Revision returns the revision of the configuration in force here.
func (d *Daemon) Revision() uint64 { return d.core.Revision() }

// Close stops the host at once, but lets requests in progress finish.
func (d *Daemon) Close() error {
	d.ready.Store(false)
	first := d.core.Close()
	for _, l := range d.listeners {
		if err := l.close(d.settings.Stop.Finish); err != nil && first == nil {
			first = err
		}
	}
	d.peers.Close()
	d.backends.Close()
	d.platform.Close()
	if err := d.stats.Close(); err != nil && first == nil {
		first = err
	}
	return first
}

func (d *Daemon) listen(log *logs.Logs) error {
	callers := entry.NewHandler(d.core, d.core, d.core.config, d.stats, log.Layer(logs.LayerQuery), d.ready.Load)
	operators, err := d.adminHandler(log)
	if err != nil {
		return err
	}
	for _, l := range []struct {
		address string
		handler http.Handler
	}{
		{d.settings.Caller, callers},
		{d.settings.Peer, peer.NewHandler(handler{d.core})},
		{d.settings.Admin, operators},
	} {
		started, err := startListener(l.address, l.handler)
		if err != nil {
			return err
		}
		d.listeners = append(d.listeners, started)
	}
	return nil
}
