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
	Fetch(ctx context.Context, host string, revision uint64) (value []byte, newest uint64, err error)
	Catalogs(ctx context.Context, host string) ([]shard.Catalog, error)
	Handover(ctx context.Context, host, from string, states []owner.HandoverState) error
	Notify(ctx context.Context, host, from string, e event.Event) error
}

// Beats sends heartbeats. Send does not wait for the receiver.
type Beats interface {
	Send(to member.Host, beat member.Heartbeat) error
}

// Ports are the outside systems as a Core sees them. Trials put in-memory
// fakes here, so that the whole core runs in virtual time.
type Ports struct {
	KV      store.KV
	Hosts   store.HostLister
	Peers   Peers
	Beats   Beats
	Backend owner.Backend
}

// Core is an entry host without sockets: its aggregates, engines and control
// jobs.
type Core struct {
	self  member.Host
	ports Ports
	log   layers

	config  *config.Table
	members *member.Table
	routes  *route.Table
	owned   *owner.Table
	owners  *owner.Engine
	queries *query.Engine
	onces   *once.Engine
	bus     *event.Bus

	control *work.Pool[controlJob]
	pulse   *work.Pool[pulseJob]
	ctx     context.Context
	cancel  context.CancelFunc

	// started is when the control jobs began, and learned becomes true once
	// the host knows the catalogs.
	started time.Time
	learned atomic.Bool

	// owning serialises changes of ownership. It comes before all tables in
	// the lock order.
	owning   sync.Mutex
	fetching gate
	// read is when the host list was last asked for; only the one hostsJob
	// uses it.
	read time.Time
	// moved asks for a read of the host list after a change of owners.
	moved atomic.Bool
	// listed is the time of the last read of the host list and leaving the
	// servers that left then. Only the one hostsJob uses them.
	listed  time.Time
	leaving map[string]bool
	// mu comes after owning and before all tables in the lock order.
	mu        sync.Mutex
	value     []byte
	confirmed time.Time
}

// NewCore returns a core that does nothing before Start.
func NewCore(self member.Host, ports Ports, log *logs.Loggers) *Core {
	c := &Core{
		self:    self,
		ports:   ports,
		log:     newLayers(log),
		config:  config.NewTable(),
		members: member.NewTable(self, member.DefaultTiming()),
		routes:  route.NewTable(self.Zone),
		bus:     event.NewBus(),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	options := owner.DefaultOptions()
	options.Publish = c.spread
	c.owned = owner.NewTable(c.permit)
	c.owners = owner.NewEngine(c.owned, ports.Backend, courier{c}, options)
	c.queries = query.NewEngine(c.config, c.routes, link{c}, directory{c}, query.Options{
		Host:    self.Name,
		Workers: queryWorkers,
		Queue:   queryQueue,
	})
	c.onces = c.newOnce()
	c.control = work.NewPool(controlWorkers, controlQueue, c.handle)
	c.pulse = work.NewPool(1, pulseQueue, c.handlePulse)
	return c
}

// Start begins the control jobs and the heartbeats.
func (c *Core) Start() {
	c.started = time.Now()
	c.startControl()
	c.tickAfter(0)
}

// Run answers a query. It implements entry.Runner.
func (c *Core) Run(ctx context.Context, request query.Request) (query.Answer, error) {
	return c.queries.Run(ctx, request)
}

// Handler returns the calls of other hosts that the core answers, so that
// trials can connect cores without sockets.
func (c *Core) Handler() peer.Handler { return handler{c} }

// Resolve returns the peer address of a live host.
func (c *Core) Resolve(host string) (string, bool) {
	h, ok := c.members.Host(host)
	return h.PeerAddr, ok
}

// Revision returns the revision of the configuration in force here.
func (c *Core) Revision() uint64 { return c.config.View().Value.Revision }

// Drain refuses new queries and waits for those in progress.
func (c *Core) Drain() { c.queries.Close() }

// Close refuses new work, lets requests in progress finish and waits.
func (c *Core) Close() error {
	c.queries.Close()
	c.onces.Close()
	c.owners.Close()
	c.cancel()
	c.control.Close()
	c.pulse.Close()
	return c.bus.Close()
}

// permit is the owner's check before each dispatch.
func (c *Core) permit(server string, now time.Time) (fault.Reason, bool) {
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
