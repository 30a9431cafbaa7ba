// Package daemon builds the process of an entry host from the tables, engines and
// adapters of the other packages. It owns the listeners, the control jobs that
// update those tables, and the order of start and stop. All other decisions
// are made by the packages that it connects.
//
// Daemon is the entry host that answers queries and non-idempotent requests;
// Core is the same without sockets, for package trial. Relay is the entry host that
// serves operators' routes.
package daemon

import (
	"errors"
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

// Number of query workers, and the bound of their queue.
const (
	queryWorkers = 64
	queryQueue   = 4096
)

// Daemon is an entry host: a Core with its listeners and network clients.
type Daemon struct {
	settings setup.Settings
	core     *Core
	stats    *stats.Metrics

	store    *kvhttp.Client
	peers    *peer.Client
	backends *dial.Client

	heartbeats *peer.HeartbeatSocket

	ready          atomic.Bool
	adminAPI       http.Handler
	callerListener *listener
	peerListener   *listener
	adminListener  *listener
	intake         bounds
}

// New starts an entry host.
func New(settings setup.Settings, log *logs.Loggers) (*Daemon, error) {
	d := &Daemon{settings: settings}
	if err := d.build(log); err != nil {
		_ = d.Close()
		return nil, err
	}
	d.callerListener.serve(entry.NewHandler(d.core, d.core, d.core.config, d.stats, log.Layer(logs.LayerQuery), d.Ready))
	d.peerListener.serve(peer.NewHandler(peerHandler{d.core}))
	d.adminListener.serve(d.adminAPI)
	d.heartbeats.Start(d.core.HandleHeartbeat, d.core.reportPanic)
	d.core.Start()
	d.ready.Store(true)
	return d, nil
}

// build opens the listeners and creates the host's components.
func (d *Daemon) build(log *logs.Loggers) error {
	var err error
	if d.stats, err = stats.New(); err != nil {
		return err
	}
	if d.callerListener, err = listen(d.settings.CallerAddr); err != nil {
		return err
	}
	if d.peerListener, err = listen(d.settings.PeerAddr); err != nil {
		return err
	}
	if d.adminListener, err = listen(d.settings.AdminAddr); err != nil {
		return err
	}
	if err := d.limitListeners(); err != nil {
		return err
	}
	if d.heartbeats, err = peer.ListenHeartbeats(d.settings.HeartbeatAddr, d.settings.Zone); err != nil {
		return err
	}
	d.store = kvhttp.NewClient(d.settings.PlatformAddr)
	d.backends = dial.NewClient()
	d.peers = peer.NewClient(func(host string) (string, bool) { return d.core.Resolve(host) })
	d.core = NewCore(
		member.Host{
			Name:          d.settings.Name,
			Zone:          d.settings.Zone,
			PeerAddr:      d.peerListener.address(),
			HeartbeatAddr: d.heartbeats.Address(),
			Incarnation:   uint64(time.Now().UnixMilli()),
		},
		Ports{KV: d.store, Hosts: d.store, Peers: d.peers, Heartbeats: d.heartbeats, Backend: d.backends},
		log,
	)
	if d.adminAPI, err = d.newAdminHandler(log); err != nil {
		return err
	}
	return errors.Join(
		d.stats.Observe(metricSources{core: d.core, store: d.store}),
		d.stats.ObserveIntake(d.intake.readIntake(d.callerListener, d.peerListener, d.adminListener)),
	)
}

// Ready reports whether the balancer should send callers to this host.
func (d *Daemon) Ready() bool { return d.ready.Load() && d.core.Ready() }

// CallerAddress returns the address of the API for callers.
func (d *Daemon) CallerAddress() string { return d.callerListener.address() }

// PeerAddress returns the address of the API for other daemons.
func (d *Daemon) PeerAddress() string { return d.peerListener.address() }

// HeartbeatAddress returns the address that other daemons send heartbeats to.
func (d *Daemon) HeartbeatAddress() string { return d.heartbeats.Address() }

// Revision returns the revision of the configuration in force on this host.
func (d *Daemon) Revision() uint64 { return d.core.Revision() }
