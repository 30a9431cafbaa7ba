package daemon

import (
	"context"
	"errors"
	"hash/fnv"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/samber/oops"

	"hyssophub/admit"
	"hyssophub/canary"
	"hyssophub/dial"
	"hyssophub/feed"
	"hyssophub/fleet"
	"hyssophub/flow"
	"hyssophub/gossip"
	"hyssophub/logs"
	"hyssophub/peer"
	"hyssophub/platform"
	"hyssophub/quota"
	"hyssophub/relay"
	"hyssophub/rules"
	"hyssophub/setup"
	"hyssophub/stats"
	"hyssophub/work"
)

const (
	// relayWorkers is the number of concurrent exchanges; each waits for one
	// backend server.
	relayWorkers = 512
	// relayQueue bounds the exchanges that wait for a worker, per class.
	relayQueue = 8192
	// assumedHosts is the number of hosts that share the limits of the backend
	// servers and the retry budgets, until the real number is known.
	assumedHosts = 12
	// unreadyNotice is how long a stopping host still accepts connections after
	// it reports not ready. The balancer checks once a second and removes a host
	// after two failed checks.
	unreadyNotice = 3 * time.Second
	// closeMargin is the part of the grace period that is reserved for closing.
	closeMargin = 400 * time.Millisecond
	// finalAnswerMargin is the time before the closing of the clients' connections at
	// which requests get their final answer.
	finalAnswerMargin = 200 * time.Millisecond
	// clientIdleTimeout is the time after which idle connections of clients are
	// closed.
	clientIdleTimeout = 5 * time.Minute
	// staleConnectionInterval is the time between removals of connections to
	// servers that no longer exist.
	staleConnectionInterval = 2 * time.Second
)

// Relay is an entry host that serves operators' routes.
type Relay struct {
	settings setup.Relay
	log      zerolog.Logger
	// requestLog logs requests. It is sampled to bound the volume.
	requestLog     zerolog.Logger
	stats          *stats.Metrics
	requestMetrics *stats.RouteMetrics
	accountMetrics *stats.AccountMetrics
	// droppedLines returns the number of log lines that were dropped.
	droppedLines func() uint64

	rules      *rules.Table
	fleet      *fleet.Table
	bounds     *flow.Table
	rollouts   *canary.Table
	admission  *admit.Table
	caps       *quota.Table
	relayTable *relay.Table
	engine     *relay.Engine
	backends   *dial.Client
	store      *platform.Store
	syncer     *feed.Syncer
	hosts      *gossip.Table
	peers      *peers
	permits    *peer.PermitSocket

	clientListener  *listener
	readyListener   *listener
	metricsListener *listener
	peerListener    *listener
	intake          bounds

	started time.Time
	// speedBlock is the input and speedSum the last result of measureSpeed.
	speedBlock [64 << 10]byte
	speedSum   uint64
	// announceAt is when this host may next write its address to the store.
	announceAt time.Time
	// capsVersion is the version of the rules whose caps updateCaps has set.
	capsVersion uint64
	// panics counts the panics of requests and jobs.
	panics atomic.Uint64

	stopping atomic.Bool
	ctx      context.Context
	cancel   context.CancelFunc
	jobs     sync.WaitGroup
}

// NewRelay starts an entry host. If the settings contain a memory limit, it sets the
// soft memory limit of the Go runtime, which applies to the whole process.
func NewRelay(settings setup.Relay, log *logs.Loggers) (*Relay, error) {
	log = log.ForHost(settings.Name)
	if settings.MemoryMB > 0 {
		LimitMemory(settings.MemoryMB)
	}
	r := &Relay{settings: settings, log: log.Layer(logs.LayerRelay), droppedLines: log.Dropped, started: time.Now()}
	r.requestLog = sampleRequests(r.log)
	r.ctx, r.cancel = context.WithCancel(context.Background())
	if err := r.build(log); err != nil {
		_ = r.Close()
		return nil, err
	}
	r.clientListener.server.IdleTimeout = clientIdleTimeout
	r.clientListener.server.ConnContext = withClientConn
	r.clientListener.serve(recoverPanics(r.reportPanic, platform.NewHandler(server{r})))
	r.readyListener.serve(http.HandlerFunc(r.serveReadiness))
	r.metricsListener.serve(r.stats.Handler())
	r.peerListener.serve(recoverPanics(r.reportPanic, peer.NewRelayHandler(relayHandler{r})))
	r.peers.heartbeats.Start(r.receiveHeartbeat, r.reportPanic)
	r.permits.Start(permitHandler{r}, r.reportPanic)
	r.syncer.Start(r.settings.Together)
	r.jobs.Go(r.sendHeartbeats)
	r.jobs.Go(r.askForPermits)
	if r.settings.Rollouts {
		r.jobs.Go(r.followRollouts)
	}
	if r.caps.IsEnforced() {
		r.jobs.Go(r.expirePermits)
	}
	r.jobs.Go(r.probeZones)
	r.jobs.Go(r.closeStaleConnections)
	r.log.Info().Str("zone", settings.Zone).Str("front", settings.ClientAddr).Msg("host started")
	return r, nil
}

func (r *Relay) build(log *logs.Loggers) error {
	var err error
	if r.stats, err = stats.New(); err != nil {
		return err
	}
	for _, listening := range []struct {
		target  **listener
		address string
	}{{&r.clientListener, r.settings.ClientAddr}, {&r.readyListener, r.settings.ReadinessAddr}, {&r.metricsListener, r.settings.MetricsAddr}, {&r.peerListener, r.settings.PeerAddr}} {
		if *listening.target, err = listen(listening.address); err != nil {
			return err
		}
	}
	if err := r.limitListeners(); err != nil {
		return err
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(r.settings.Name))
	r.rules = rules.NewTable(hash.Sum64())
	r.bounds = flow.NewTable(r.settings.Name, r.started)
	r.caps = quota.NewTable(r.settings.Name, quota.Bounds(r.settings.Caps), r.started)
	r.fleet = fleet.NewTable(r.settings.Zone, r.bounds)
	r.fleet.SetHosts(assumedHosts)
	if err := r.buildPeers(); err != nil {
		return err
	}
	r.rollouts = canary.NewTable(r.settings.Name, r.settings.Zone, uint64(r.started.UnixMilli()), r.fleet)
	r.relayTable = relay.NewTable(r.rules, r.fleet, r.hosts, relay.BudgetLimits(r.settings.Budget), assumedHosts)
	if r.settings.Rollouts {
		r.relayTable.UseRollouts(r.rollouts)
	}
	r.admission = admit.NewTable()
	r.backends = dial.NewClient()
	r.backends.SetMemory(int64(r.settings.MemoryMB) << 20)
	r.engine = relay.NewEngine(r.rules, r.relayTable, newLoggedBackend(platform.NewBackend(r.backends), r.log), r.peers.client, relay.Options{
		Host:       r.settings.Name,
		Workers:    relayWorkers,
		QueueLimit: relayQueue,
		Admission:  r.admission,
		OnNotice:   r.logNotice,
		OnPanic:    r.reportPanic,
	})
	r.store = platform.NewStore(r.settings.StoreAddr)
	r.syncer = feed.NewSyncer(r.store, r.peers, r.rules, r.fleet, log.Layer(logs.LayerFeed), feed.Options{ReportInterval: r.settings.ReportInterval, OnPanic: r.reportPanic})
	if r.accountMetrics, err = r.stats.NewAccountMetrics(); err != nil {
		return err
	}
	if r.settings.Rollouts {
		r.store.FollowRollouts()
		r.syncer.UseRollouts(r.rollouts)
	}
	if r.requestMetrics, err = r.stats.NewRouteMetrics(r.readTierStats); err != nil {
		return err
	}
	return r.stats.ObserveIntake(r.intake.readIntake(r.clientListener, r.readyListener, r.metricsListener, r.peerListener))
}

// Beyond requestLogBurst lines a second, one in requestLogSampling lines about
// requests is logged, so that the volume stays bounded when many requests fail.
const (
	requestLogBurst    = 100
	requestLogSampling = 50
)

func sampleRequests(log zerolog.Logger) zerolog.Logger {
	return log.Sample(&zerolog.BurstSampler{
		Burst:       requestLogBurst,
		Period:      time.Second,
		NextSampler: &zerolog.BasicSampler{N: requestLogSampling},
	})
}

func (r *Relay) buildPeers() error {
	heartbeats, err := peer.ListenGossip(r.settings.HeartbeatAddr)
	if err != nil {
		return err
	}
	if r.permits, err = peer.ListenPermits(r.settings.Name, r.settings.PermitAddr); err != nil {
		return errors.Join(err, heartbeats.Close())
	}
	r.peers = &peers{client: peer.NewRelayClient(), heartbeats: heartbeats, wake: make(chan struct{}, 1)}
	if r.peers.seeds, err = readSeeds(r.settings); err != nil {
		return err
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

// Ready reports whether the balancer should send clients to this host. A host that
// cannot reach enough backend servers is not ready, so that the balancer sends
// clients to hosts that can.
func (r *Relay) Ready() bool {
	view := r.rules.View()
	return !r.stopping.Load() && view != nil && r.relayTable.CanServe(view, time.Now())
}

func (r *Relay) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !r.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Reload reads the settings again. The budget and the seeds take effect at once, all other
// settings at the next start.
func (r *Relay) Reload(read func() (setup.Relay, error)) {
	settings, err := read()
	if err != nil {
		r.log.Error().Err(err).Msg("settings cannot be reloaded, keeping the current ones")
		return
	}
	list, err := readSeeds(settings)
	if err != nil {
		r.log.Error().Err(err).Msg("seeds cannot be reloaded, keeping the current ones")
		return
	}
	r.peers.setSeeds(list)
	budget := settings.Budget
	r.relayTable.SetLimits(relay.BudgetLimits(budget))
	r.log.Info().Float64("ratio", budget.Ratio).Float64("burst", budget.Burst).Dur("window", budget.Window).Strs("seeds", list.calls).Msg("settings reloaded, new budget and seeds in force")
}

// closeStaleConnections closes connections to servers that no longer exist, until
// the host closes.
func (r *Relay) closeStaleConnections() {
	ticker := time.NewTicker(staleConnectionInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			work.Guard(r.reportPanic, func() { r.backends.RetainAddresses(r.fleet.Addresses()) })
		case <-r.ctx.Done():
			return
		}
	}
}

// Stop performs a planned stop: the host reports not ready, serves until the
// balancer has removed it, finishes its requests and closes. The end of ctx cuts
// the waiting short.
func (r *Relay) Stop(ctx context.Context) error {
	r.stopping.Store(true)
	r.hosts.UpdateSelf(func(record *gossip.Record) { record.Leaving = true })
	r.peers.Announce()
	r.log.Info().Dur("grace", r.settings.Stop.Grace).Msg("host is stopping")
	deadline := time.Now().Add(r.settings.Stop.Grace - closeMargin)
	r.engine.EndBy(deadline.Add(-finalAnswerMargin))
	noticeTimer := time.NewTimer(min(unreadyNotice, r.settings.Stop.Grace/2))
	defer noticeTimer.Stop()
	select {
	case <-noticeTimer.C:
	case <-ctx.Done():
	}
	err := r.clientListener.close(ctx, time.Until(deadline))
	if err != nil {
		err = oops.Wrapf(err, "clients' requests interrupted at the end of the grace period")
	}
	r.log.Info().Err(err).Msg("host stopped")
	return errors.Join(err, r.Close())
}

// Close stops the host without a notice period.
func (r *Relay) Close() error {
	r.stopping.Store(true)
	r.cancel()
	r.jobs.Wait()
	var errs []error
	for _, l := range []*listener{r.clientListener, r.peerListener, r.readyListener, r.metricsListener} {
		if l != nil {
			errs = append(errs, l.close(context.Background(), closeMargin))
		}
	}
	if r.syncer != nil {
		r.syncer.Close()
		r.store.Close()
		r.engine.Close()
		r.backends.Close()
	}
	if r.permits != nil {
		errs = append(errs, r.permits.Close())
	}
	if r.peers != nil {
		errs = append(errs, r.peers.heartbeats.Close())
		r.peers.client.Close()
	}
	if r.stats != nil {
		errs = append(errs, r.stats.Close())
	}
	return errors.Join(errs...)
}
