package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"hyssophub/config"
	"hyssophub/event"
	"hyssophub/fault"
	"hyssophub/logs"
	"hyssophub/member"
	"hyssophub/once"
	"hyssophub/owner"
	"hyssophub/peer"
	"hyssophub/query"
	"hyssophub/route"
	"hyssophub/shard"
	"hyssophub/store"
	"hyssophub/work"
)

// Peers calls the other daemons.
type Peers interface {
	Submit(ctx context.Context, host string, batch shard.Batch) ([]shard.Result, error)
	Deliver(ctx context.Context, host string, results []shard.Result) error
	FetchConfig(ctx context.Context, host string, revision uint64) (value []byte, newest uint64, err error)
	Catalogs(ctx context.Context, host string) ([]shard.Catalog, error)
	Handover(ctx context.Context, host, from string, states []owner.HandoverState) error
	Notify(ctx context.Context, host, from string, e event.Event) error
}

// HeartbeatSender sends heartbeats. Send does not wait for the receiver.
type HeartbeatSender interface {
	Send(to member.Host, heartbeat member.Heartbeat) error
}

// Ports are the interfaces through which a Core uses other systems. Package trial
// passes in-memory fakes, so that the whole core runs in virtual time.
type Ports struct {
	KV         store.KV
	Hosts      store.HostLister
	Peers      Peers
	Heartbeats HeartbeatSender
	Backend    owner.Backend
}

// Core is an entry host without sockets: its tables, engines and control jobs.
type Core struct {
	self  member.Host
	ports Ports
	log   loggers

	config      *config.Table
	members     *member.Table
	routes      *route.Table
	ownership   *owner.Table
	ownerEngine *owner.Engine
	queryEngine *query.Engine
	onceEngine  *once.Engine
	eventBus    *event.Bus

	controlPool   *work.Pool[controlJob]
	heartbeatPool *work.Pool[heartbeatJob]
	ctx           context.Context
	cancel        context.CancelFunc

	// started is the time of Start. catalogsLoaded becomes true once the host
	// has enough catalogs to become ready.
	started        time.Time
	catalogsLoaded atomic.Bool

	// ownershipMu serialises changes of ownership. It comes before mu and all
	// tables in the lock order.
	ownershipMu sync.Mutex
	// fetchLock is held from the scheduling of a fetchConfigJob until its end.
	fetchLock tryLock
	// hostListReadAt is the time of the last attempt to read the host list.
	// Only the hostListJob uses it, of which there is one at a time.
	hostListReadAt time.Time
	// ownersChanged requests a read of the host list.
	ownersChanged atomic.Bool
	// hostListUpdatedAt is the time of the last successful read of the host
	// list, less a random part, and leavingServers are the backend servers
	// that were leaving in it. Only the hostListJob uses them.
	hostListUpdatedAt time.Time
	leavingServers    map[string]bool
	// mu protects the fields below. It comes after ownershipMu and before all
	// tables in the lock order.
	mu sync.Mutex
	// encodedConfig is the configuration in force, as stored.
	encodedConfig []byte
	// confirmedAt is the latest time at which the store is known to have held
	// nothing newer than the configuration in force.
	confirmedAt time.Time
}

// NewCore returns a core that runs no jobs before Start.
func NewCore(self member.Host, ports Ports, log *logs.Loggers) *Core {
	c := &Core{
		self:     self,
		ports:    ports,
		log:      newLoggers(log),
		config:   config.NewTable(),
		members:  member.NewTable(self, member.DefaultTiming()),
		routes:   route.NewTable(self.Zone),
		eventBus: event.NewBus(),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	options := owner.DefaultOptions()
	options.Publish = c.publishToZone
	options.OnPanic = c.reportPanic
	c.ownership = owner.NewTable(c.checkDispatch)
	c.ownerEngine = owner.NewEngine(c.ownership, ports.Backend, resultSender{c}, options)
	c.queryEngine = query.NewEngine(c.config, c.routes, transport{c}, directory{c}, query.Options{
		Host:    self.Name,
		Workers: queryWorkers,
		Queue:   queryQueue,
		OnPanic: c.reportPanic,
	})
	c.onceEngine = c.newOnceEngine()
	c.controlPool = work.NewPool(controlWorkers, controlQueue, c.runControlJob, work.Recovery[controlJob]{Report: c.reportPanic, End: c.endPanicked})
	c.heartbeatPool = work.NewPool(1, heartbeatQueue, c.runHeartbeatJob, work.Recovery[heartbeatJob]{Report: c.reportPanic, End: c.endPanickedHeartbeat})
	return c
}

// reportPanic logs a panic that ended a job.
func (c *Core) reportPanic(p work.Panic) {
	c.log.member.Error().Interface("panic", p.Value).Bytes("stack", p.Stack).Msg("job ended by a panic")
}

// Start starts the control jobs and the heartbeats.
func (c *Core) Start() {
	c.started = time.Now()
	c.startControlJobs()
	c.scheduleTick(0)
}

// Run answers a query. It implements entry.QueryRunner.
func (c *Core) Run(ctx context.Context, request query.Request) (query.Answer, error) {
	return c.queryEngine.Run(ctx, request)
}

// PeerHandler returns the handler of calls from other hosts, so that package trial
// can connect cores without sockets.
func (c *Core) PeerHandler() peer.Handler { return peerHandler{c} }

// Resolve returns the peer address of a live host.
func (c *Core) Resolve(host string) (string, bool) {
	h, ok := c.members.Host(host)
	return h.PeerAddr, ok
}

// Revision returns the revision of the configuration in force on this host.
func (c *Core) Revision() uint64 { return c.config.View().Value.Revision }

// Drain rejects new queries and waits for those in progress.
func (c *Core) Drain() { c.queryEngine.Close() }

// Close rejects new work and waits for the requests in progress.
func (c *Core) Close() error {
	c.queryEngine.Close()
	c.onceEngine.Close()
	c.ownerEngine.Close()
	c.cancel()
	c.controlPool.Close()
	c.heartbeatPool.Close()
	return c.eventBus.Close()
}

// checkDispatch reports whether this host may send work to a backend server now,
// and the reason if not. The owner calls it before each dispatch.
func (c *Core) checkDispatch(server string, now time.Time) (fault.Reason, bool) {
	view := c.config.View()
	placed, ok := view.Server(server)
	if !ok {
		return fault.ReasonUnknownService, false
	}
	if view.IsOutOfService(placed.Server.Zone) {
		return fault.ReasonZoneOut, false
	}
	if placed.Server.Zone != c.self.Zone && !c.config.Fresh(now) {
		return fault.ReasonStaleConfiguration, false
	}
	if !c.members.MayDispatch(placed.Group, now) {
		return fault.ReasonTermLapsed, false
	}
	return "", true
}
