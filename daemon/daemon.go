// Package daemon wires the aggregates and adapters of one entry host together
// and runs its control jobs.
package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"hyssophub/config"
	"hyssophub/dial"
	"hyssophub/entry"
	"hyssophub/event"
	"hyssophub/fault"
	"hyssophub/kvhttp"
	"hyssophub/logs"
	"hyssophub/member"
	"hyssophub/owner"
	"hyssophub/peer"
	"hyssophub/query"
	"hyssophub/route"
	"hyssophub/setup"
	"hyssophub/stats"
	"hyssophub/work"

	"github.com/rs/zerolog"
	"github.com/samber/oops"
)

// Workers and queue bounds of the entry side.
const (
	queryWorkers = 64
	queryQueue   = 4096
)

// Daemon is one entry host.
type Daemon struct {
	settings setup.Settings
	log      zerolog.Logger

	config  *config.Table
	members *member.Table
	routes  *route.Table
	owned   *owner.Table
	owners  *owner.Engine
	queries *query.Engine
	bus     *event.Bus
	stats   *stats.Stats

	platform *kvhttp.Client
	peers    *peer.Client
	backends *dial.Client

	control   *work.Pool[controlJob]
	ctx       context.Context
	cancel    context.CancelFunc
	ready     atomic.Bool
	listeners []*listener

	mu    sync.Mutex
	value []byte
}

// New starts an entry host: its listeners, workers and control jobs.
func New(settings setup.Settings, log *logs.Logs) (*Daemon, error) {
	instruments, err := stats.New()
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		settings: settings,
		log:      log.Layer(logs.LayerConfig),
		config:   config.NewTable(),
		members:  member.NewTable(member.Host{Name: settings.Name, Zone: settings.Zone, Peer: settings.Peer, Beat: settings.Beat}),
		routes:   route.NewTable(settings.Zone),
		bus:      event.NewBus(),
		stats:    instruments,
		platform: kvhttp.NewClient(settings.Platform),
		backends: dial.NewClient(),
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.peers = peer.NewClient(d.resolve)
	d.owned = owner.NewTable(d.permit)
	d.owners = owner.NewEngine(d.owned, d.backends, courier{d}, owner.DefaultOptions())
	d.queries = query.NewEngine(d.config, d.routes, link{d}, directory{d}, query.Options{
		Host:    settings.Name,
		Workers: queryWorkers,
		Queue:   queryQueue,
	})
	d.control = work.NewPool(controlWorkers, controlQueue, d.handle)
	if err := d.listen(log); err != nil {
		_ = d.Close()
		return nil, err
	}
	d.startControl()
	d.ready.Store(true)
	return d, nil
}

// CallerAddress returns the address that callers use.
func (d *Daemon) CallerAddress() string { return d.listeners[0].address() }

// PeerAddress returns the address that other daemons use.
func (d *Daemon) PeerAddress() string { return d.listeners[1].address() }

// Revision returns the revision of the configuration in force here.
func (d *Daemon) Revision() uint64 { return d.config.View().Value.Revision }

// Close stops the host at once, but lets requests in progress finish.
func (d *Daemon) Close() error {
	d.ready.Store(false)
	d.queries.Close()
	d.owners.Close()
	d.cancel()
	d.control.Close()
	var first error
	for _, l := range d.listeners {
		if err := l.close(d.settings.Stop.Finish); err != nil && first == nil {
			first = err
		}
	}
	d.peers.Close()
	d.backends.Close()
	d.platform.Close()
	if err := d.bus.Close(); err != nil && first == nil {
		first = err
	}
	if err := d.stats.Close(); err != nil && first == nil {
		first = err
	}
	return first
}

// permit is the owner's check before each dispatch.
func (d *Daemon) permit(server string, _ time.Time) (fault.Reason, bool) {
	view := d.config.View()
	placed, ok := view.Server(server)
	if !ok {
		return fault.ReasonUnknown, false
	}
	if view.IsOut(placed.Server.Zone) {
		return fault.ReasonZoneOut, false
	}
	return "", true
}

func (d *Daemon) resolve(host string) (string, bool) {
	h, ok := d.members.Host(host)
	return h.Peer, ok
}

func (d *Daemon) listen(log *logs.Logs) error {
	callers := entry.NewHandler(d.queries, d.config, d.stats, log.Layer(logs.LayerQuery), d.ready.Load)
	for _, l := range []struct {
		address string
		handler http.Handler
	}{
		{d.settings.Caller, callers},
		{d.settings.Peer, peer.NewHandler(handler{d})},
		{d.settings.Admin, d.adminHandler()},
	} {
		started, err := startListener(l.address, l.handler)
		if err != nil {
			return err
		}
		d.listeners = append(d.listeners, started)
	}
	return nil
}

func (d *Daemon) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", d.stats.Handler())
	return mux
}

// listener is an HTTP server on one address.
type listener struct {
	net     net.Listener
	http    *http.Server
	serving sync.WaitGroup
}

// headerTimeout ends connections that never send a request.
const headerTimeout = 10 * time.Second

func startListener(address string, handler http.Handler) (*listener, error) {
	n, err := net.Listen("tcp", address)
	if err != nil {
		return nil, oops.Wrapf(err, "listen on %s", address)
	}
	l := &listener{net: n, http: &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}}
	l.serving.Go(func() { _ = l.http.Serve(n) })
	return l, nil
}

func (l *listener) address() string { return l.net.Addr().String() }

// close refuses new connections and waits for requests in progress.
func (l *listener) close(limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	err := l.http.Shutdown(ctx)
	if err != nil {
		_ = l.http.Close()
	}
	l.serving.Wait()
	return err
}
