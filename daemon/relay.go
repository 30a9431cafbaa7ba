package daemon

import (
	"context"
	"errors"
	"hash/fnv"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/samber/oops"

	"hyssophub/dial"
	"hyssophub/feed"
	"hyssophub/fleet"
	"hyssophub/gossip"
	"hyssophub/logs"
	"hyssophub/peer"
	"hyssophub/platform"
	"hyssophub/relay"
	"hyssophub/rules"
	"hyssophub/setup"
	"hyssophub/stats"
)

const (
	// relayWorkers is the number of exchanges in progress at once; each waits
	// for one backend server.
	relayWorkers = 512
	// relayQueue bounds the exchanges that wait for a worker, per class.
	relayQueue = 8192
	// assumedHosts is the number of hosts among which limits of the fleet are
	// shared until the real number is known.
	assumedHosts = 12
	// memoryShare is the share of the process's memory limit that the runtime
	// aims at; the rest is for the kernel's buffers.
	memoryShare = 0.6
	// phases is the number of places of hosts within an interval.
	phases = 1024
	// noticeTime is how long a stopping host goes on serving new connections:
	// the balancer asks once a second and takes a host out after two misses.
	noticeTime = 3 * time.Second
	// endMargin is left of the grace for closing.
	endMargin = 400 * time.Millisecond
	// idleTime ends clients' connections that are idle for long.
	idleTime = 5 * time.Minute
	// retainTime is the pause between two removals of connections to servers
	// that are gone.
	retainTime = 2 * time.Second
)

// Relay is an entry host on the users' platform.
type Relay struct {
	settings setup.Relay
	log      zerolog.Logger
	// requests logs lines of requests, whose number is bounded.
	requests zerolog.Logger
	stats    *stats.Metrics
	figures  *stats.RouteMetrics
	// dropped returns the number of log lines that were dropped.
	dropped func() uint64

	rules    *rules.Table
	fleet    *fleet.Table
	table    *relay.Table
	engine   *relay.Engine
	backends *dial.Client
	store    *platform.Store
	keeper   *feed.Syncer
	hosts    *gossip.Table
	peers    *peers

	clients  *listener
	balancer *listener
	metrics  *listener
	others   *listener

	started time.Time

	stopping atomic.Bool
	ctx      context.Context
	cancel   context.CancelFunc
	jobs     sync.WaitGroup
}

// NewRelay starts an entry host.
func NewRelay(settings setup.Relay, log *logs.Loggers) (*Relay, error) {
	log = log.ForHost(settings.Name)
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryMB) * (1 << 20)))
	}
	r := &Relay{settings: settings, log: log.Layer(logs.LayerRelay), dropped: log.Dropped, started: time.Now()}
	r.requests = bounded(r.log)
	r.ctx, r.cancel = context.WithCancel(context.Background())
	if err := r.build(log); err != nil {
		_ = r.Close()
		return nil, err
	}
	r.clients.http.IdleTimeout = idleTime
	r.clients.http.ConnContext = withTrip
	r.clients.serve(platform.NewFront(server{r}))
	r.balancer.serve(http.HandlerFunc(r.answerReady))
	r.metrics.serve(r.stats.Handler())
	r.others.serve(peer.NewTierHandler(tier{r}))
	r.peers.pulses.Start(r.hear)
	r.keeper.Start()
	r.jobs.Go(r.beat)
	r.jobs.Go(r.probe)
	r.jobs.Go(r.retain)
	r.log.Info().Str("zone", settings.Zone).Str("front", settings.ClientAddr).Msg("host started")
	return r, nil
}

func (r *Relay) build(log *logs.Loggers) error {
	var err error
	if r.stats, err = stats.New(); err != nil {
		return err
	}
	for _, l := range []struct {
		to      **listener
		address string
	}{{&r.clients, r.settings.ClientAddr}, {&r.balancer, r.settings.ReadinessAddr}, {&r.metrics, r.settings.MetricsAddr}, {&r.others, r.settings.PeerAddr}} {
		if *l.to, err = listen(l.address); err != nil {
			return err
		}
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(r.settings.Name))
	r.rules = rules.NewTable(hash.Sum64())
	r.fleet = fleet.NewTable(r.settings.Zone, float64(hash.Sum64()%phases)/phases)
	r.fleet.SetHosts(assumedHosts)
	if err := r.buildPeers(); err != nil {
		return err
	}
	r.table = relay.NewTable(r.rules, r.fleet, r.hosts, relay.BudgetLimits(r.settings.Budget), assumedHosts)
	r.backends = dial.NewClient()
	r.engine = relay.NewEngine(r.rules, r.table, platform.NewBackend(r.backends), r.peers.client, relay.Options{
		Host:       r.settings.Name,
		Workers:    relayWorkers,
		QueueLimit: relayQueue,
	})
	r.store = platform.NewStore(r.settings.StoreAddr)
	r.keeper = feed.NewSyncer(r.store, r.peers, r.rules, r.fleet, log.Layer(logs.LayerFeed))
	r.figures, err = r.stats.NewRouteMetrics(r.tierFigures)
	return err
}

// Lines of requests beyond logBurst a second are thinned out to one in
// logThinned, so that the volume stays bounded when many requests fail.
const (
	logBurst   = 100
	logThinned = 50
)

func bounded(log zerolog.Logger) zerolog.Logger {
	return log.Sample(&zerolog.BurstSampler{
		Burst:       logBurst,
		Period:      time.Second,
		NextSampler: &zerolog.BasicSampler{N: logThinned},
	})
}

func (r *Relay) buildPeers() error {
	pulses, err := peer.ListenPulses(r.settings.HeartbeatAddr)
	if err != nil {
		return err
	}
	_, port, err := net.SplitHostPort(r.settings.HeartbeatAddr)
	if err != nil {
		return oops.Wrapf(err, "heartbeat address %s", r.settings.HeartbeatAddr)
	}
	r.peers = &peers{client: peer.NewTierClient(), pulses: pulses, announce: make(chan struct{}, 1)}
	for _, seed := range r.settings.Seeds {
		if seed == r.settings.PeerAddr {
			continue
		}
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			return oops.Wrapf(err, "seed %s", seed)
		}
		r.peers.seeds = append(r.peers.seeds, seed)
		// All hosts listen on the same ports.
		r.peers.beats = append(r.peers.beats, net.JoinHostPort(host, port))
	}
	r.hosts = gossip.NewTable(gossip.Host{
		Name:             r.settings.Name,
		Zone:             r.settings.Zone,
		Address:          r.settings.PeerAddr,
		HeartbeatAddress: r.settings.HeartbeatAddr,
		Weight:           r.settings.MilliCores,
		Incarnation:      uint64(r.started.UnixMilli()),
	}, r.started)
	r.peers.table = r.hosts
	return nil
}

// Ready reports whether the balancer shall send clients here. A host that is cut
// off from servers that it needs is not ready, so that clients go to hosts that
// reach them.
func (r *Relay) Ready() bool {
	view := r.rules.View()
	return !r.stopping.Load() && view != nil && r.table.CanServe(view, time.Now())
}

func (r *Relay) answerReady(w http.ResponseWriter, _ *http.Request) {
	if !r.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Reload reads the settings again. The budget takes effect at once, everything
// else at the next start.
func (r *Relay) Reload(read func() (setup.Relay, error)) {
	settings, err := read()
	if err != nil {
		r.log.Error().Err(err).Msg("settings cannot be used, the present ones stay in force")
		return
	}
	budget := settings.Budget
	r.table.SetLimits(relay.BudgetLimits(budget))
	r.log.Info().Float64("ratio", budget.Ratio).Float64("burst", budget.Burst).Dur("window", budget.Window).Msg("settings read again, budget in force")
}

// retain closes connections to servers that are gone.
func (r *Relay) retain() {
	ticker := time.NewTicker(retainTime)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.backends.RetainAddresses(r.fleet.Addresses())
		case <-r.ctx.Done():
			return
		}
	}
}

// Stop is a planned stop: the host reports unready, goes on serving until the
// balancer has noticed, finishes its requests and closes.
func (r *Relay) Stop(ctx context.Context) error {
	r.stopping.Store(true)
	r.hosts.UpdateSelf(func(e *gossip.Record) { e.Leaving = true })
	r.peers.Announce()
	r.log.Info().Dur("grace", r.settings.Stop.Grace).Msg("host is stopping")
	end := time.Now().Add(r.settings.Stop.Grace - endMargin)
	notice := time.NewTimer(min(noticeTime, r.settings.Stop.Grace/2))
	defer notice.Stop()
	select {
	case <-notice.C:
	case <-ctx.Done():
	}
	err := r.clients.close(ctx, time.Until(end))
	if err != nil {
		err = oops.Wrapf(err, "clients' requests were cut at the end of the grace")
	}
	r.log.Info().Err(err).Msg("host stopped")
	return errors.Join(err, r.Close())
}

// Close ends the host without notice.
func (r *Relay) Close() error {
	r.stopping.Store(true)
	r.cancel()
	r.jobs.Wait()
	var faults []error
	for _, l := range []*listener{r.clients, r.others, r.balancer, r.metrics} {
		if l != nil {
			faults = append(faults, l.close(context.Background(), endMargin))
		}
	}
	if r.keeper != nil {
		r.keeper.Close()
		r.store.Close()
		r.engine.Close()
		r.backends.Close()
	}
	if r.peers != nil {
		faults = append(faults, r.peers.pulses.Close())
		r.peers.client.Close()
	}
	if r.stats != nil {
		faults = append(faults, r.stats.Close())
	}
	return errors.Join(faults...)
}
