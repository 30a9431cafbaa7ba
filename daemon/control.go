package daemon

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"hyssophub/event"
	"hyssophub/fault"
	"hyssophub/member"
	"hyssophub/shard"
	"hyssophub/store"
)

// Workers, queue bound and intervals of the control jobs.
const (
	// controlWorkers exceeds the number of jobs that may wait for a silent
	// store or peer at one time.
	controlWorkers = 8
	controlQueue   = 1024
	// hostInterval is how often watchers and hosts without ownership read the
	// host list, and hostSoon the least time before the others read it again
	// after a change of owners. hostTick is how often a host looks whether a
	// read is due.
	hostReadInterval      = time.Second
	hostReadAfterChange   = 300 * time.Millisecond
	hostReadCheckInterval = 100 * time.Millisecond
	// hostCalm is how often the others read it away from changes. Each second
	// would be 660 reads at the design size, a third of what the store handles.
	hostReadIdleInterval = 10 * time.Second
	catalogInterval      = 200 * time.Millisecond
	// idleWatch is how often a host that does not watch the store looks
	// whether it should.
	watchCheckInterval = 250 * time.Millisecond
	controlTimeout     = time.Second
)

// Retries of control jobs wait from retryFirst to retryMost.
const (
	retryMinDelay = 100 * time.Millisecond
	retryMaxDelay = 2 * time.Second
)

// retry returns the pause before a retry. It doubles with each failure, and
// its random half keeps the hosts from retrying together.
func retryDelay(failures int) time.Duration {
	limit := min(retryMinDelay<<min(failures, 10), retryMaxDelay)
	return limit/2 + rand.N(limit/2)
}

// controlJob is what a control worker does. The interface is sealed.
type controlJob interface{ controlJob() }

type (
	watchConfigJob struct{ failures int }
	hostListJob    struct{ failures int }
	catalogJob     struct{}
	ownershipJob   struct{}
	fetchConfigJob struct{ from string }
	rosterJob      struct{ action member.Action }
)

func (watchConfigJob) controlJob() {}
func (hostListJob) controlJob()    {}
func (catalogJob) controlJob()     {}
func (ownershipJob) controlJob()   {}
func (fetchConfigJob) controlJob() {}
func (rosterJob) controlJob()      {}

func (c *Core) startControlJobs() {
	for _, j := range []controlJob{watchConfigJob{}, hostListJob{}, catalogJob{}} {
		c.schedule(0, j)
	}
}

// schedule runs a control job after a delay unless the host stops before.
func (c *Core) schedule(delay time.Duration, j controlJob) {
	time.AfterFunc(delay, func() { _ = c.controlPool.Submit(shard.Routine, j) })
}

func (c *Core) runControlJob(j controlJob) {
	if c.ctx.Err() != nil {
		return
	}
	switch j := j.(type) {
	case watchConfigJob:
		c.watchConfig(j)
	case hostListJob:
		c.refreshHosts(j)
	case catalogJob:
		c.refreshCatalogs()
		c.schedule(catalogInterval, j)
	case ownershipJob:
		c.ownersChanged.Store(true)
		c.updateOwnership()
		c.updateRouteOwners()
		c.log.member.Info().Int("members", len(c.members.LiveHosts(c.self.Zone))).Msg("members changed")
		c.publishEvent(event.MembersChanged{Zone: c.self.Zone})
	case fetchConfigJob:
		c.fetchConfig(j.from)
	case rosterJob:
		c.callRoster(j.action)
	case broadcastJob:
		c.broadcast(j.event)
	}
}

// hostsDue reports whether this host reads the host list now.
func (c *Core) isHostReadDue(now time.Time) bool {
	age := now.Sub(c.hostListRead)
	switch {
	case c.ownersChanged.Load() && age >= hostReadAfterChange:
		c.ownersChanged.Store(false)
		return true
	case c.members.IsWatcher() || !c.members.Active():
		return age >= hostReadInterval
	default:
		return now.Sub(c.hostListUpdated) >= hostReadIdleInterval
	}
}

// noteRefusals asks for a read of the host list if a host refused because it
// does not own a server: the owners of its zone have changed.
func (c *Core) checkRefusals(results []shard.Result) {
	for _, r := range results {
		if refused, ok := r.Outcome.(shard.Refused); ok && refused.Reason == fault.ReasonNotOwner {
			c.ownersChanged.Store(true)
			return
		}
	}
}

// refreshHosts reads the platform's host list. Leaving hosts stay in it: they
// own servers until their zone's heartbeats say that they do not.
func (c *Core) refreshHosts(job hostListJob) {
	if !c.isHostReadDue(time.Now()) {
		c.schedule(hostReadCheckInterval, hostListJob{})
		return
	}
	c.hostListRead = time.Now()
	ctx, cancel := context.WithTimeout(c.ctx, controlTimeout)
	defer cancel()
	list, err := c.ports.Hosts.List(ctx)
	if err != nil {
		c.log.member.Debug().Err(err).Msg("host list unavailable")
		c.ownersChanged.Store(true)
		c.schedule(retryDelay(job.failures), hostListJob{failures: job.failures + 1})
		return
	}
	// The random part keeps hosts that started together from reading together.
	c.hostListUpdated = time.Now().Add(-rand.N(hostReadIdleInterval / 5))
	var hosts []member.Host
	for _, h := range list {
		if h.Kind == store.KindEntry {
			hosts = append(hosts, member.Host{Name: h.Name, Zone: h.Zone, PeerAddr: h.Peer, HeartbeatAddr: h.Beat})
		}
	}
	c.members.SetDiscoveredHosts(hosts)
	c.handleLeavingServers(list)
	c.schedule(hostReadCheckInterval, hostListJob{})
}

// noteLeaving stops new work for the backend servers that the host list calls
// leaving. Their owners may read the list more seldom, so a watcher tells them;
// an owner passes the event on to its zone.
func (c *Core) handleLeavingServers(list []store.HostInfo) {
	leaving := make(map[string]bool)
	for _, h := range list {
		if h.Kind != store.KindBackend || h.State != store.HostLeaving {
			continue
		}
		leaving[h.Name] = true
		c.markDraining(h.Name)
		if !c.leavingServers[h.Name] && c.members.IsWatcher() {
			c.notifyOwner(h.Name)
		}
	}
	c.leavingServers = leaving
}

// tellOwner tells the owner of a server in the own zone that it leaves.
func (c *Core) notifyOwner(server string) {
	placed, ok := c.config.View().Server(server)
	if !ok || placed.Home != c.self.Zone {
		return
	}
	host, ok := (directory{c}).OwnerOf(server)
	if !ok || host == c.self.Name {
		return
	}
	c.notifyHost(host, event.ServerDraining{Server: server})
}

// refreshCatalogs asks the owners of servers whose catalog is unknown or
// outdated.
func (c *Core) refreshCatalogs() {
	view := c.config.View()
	stale := c.routes.StaleCatalogs(serverNames(view))
	c.checkCatalogs(view, len(stale))
	hosts := make(map[string]bool)
	for _, name := range stale {
		if host, ok := (directory{c}).OwnerOf(name); ok {
			hosts[host] = true
		}
	}
	for host := range hosts {
		c.refreshCatalogsOf(host)
	}
}

func (c *Core) refreshCatalogsOf(host string) {
	if host == c.self.Name {
		c.routes.UpdateCatalogs(withVersions(c.ownerEngine.Catalogs()))
		return
	}
	if h, ok := c.members.Host(host); !ok || (h.Zone != c.self.Zone && !c.config.Fresh(time.Now())) {
		return
	}
	ctx, cancel := context.WithTimeout(c.ctx, controlTimeout)
	defer cancel()
	catalogs, err := c.ports.Peers.Catalogs(ctx, host)
	if err != nil {
		c.log.peer.Debug().Err(err).Str("host", host).Msg("catalog unavailable")
		return
	}
	c.routes.UpdateCatalogs(withVersions(catalogs))
}

// known drops the catalogs of servers that have not reported yet.
func withVersions(catalogs []shard.Catalog) []shard.Catalog {
	var list []shard.Catalog
	for _, c := range catalogs {
		if len(c.Versions) > 0 {
			list = append(list, c)
		}
	}
	return list
}

// gate lets one job at a time through.
type tryLock struct{ held atomic.Bool }

func (g *tryLock) tryAcquire() bool { return g.held.CompareAndSwap(false, true) }
func (g *tryLock) release()         { g.held.Store(false) }
