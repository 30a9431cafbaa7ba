package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"hyssophub/event"
	"hyssophub/fault"
	"hyssophub/member"
	"hyssophub/shard"
	"hyssophub/store"
	"hyssophub/work"
)

// Workers, queue bound and intervals of the control jobs.
const (
	// controlWorkers exceeds the number of jobs that can wait at the same time
	// for a store or peer that does not answer.
	controlWorkers = 8
	controlQueue   = 1024
	// hostListInterval is the time between reads of the host list on watchers
	// and on hosts that may not own servers. After a change of owners, any host
	// reads the list again, but no sooner than hostListChangeInterval after the
	// previous read. hostListCheckInterval is the time between checks whether
	// a read is due.
	hostListInterval       = time.Second
	hostListChangeInterval = 300 * time.Millisecond
	hostListCheckInterval  = 100 * time.Millisecond
	// hostListIdleInterval applies to the other hosts while no owner changes.
	// One read a second on each host would be 660 reads a second at the design
	// size, a third of what the store handles.
	hostListIdleInterval = 10 * time.Second
	// catalogInterval is the time between checks for outdated catalogs.
	catalogInterval = 200 * time.Millisecond
	// watchCheckInterval is the time between checks, on a host that does not
	// watch the store, whether it has become a watcher.
	watchCheckInterval = 250 * time.Millisecond
	// controlTimeout limits each call of a control job, except watches.
	controlTimeout = time.Second
)

// Bounds of the backoff before the retry of a control job.
const (
	retryMinDelay = 100 * time.Millisecond
	retryMaxDelay = 2 * time.Second
)

// retryDelay returns the exponential backoff after a number of failures in a row.
// Half of the delay is random, so that hosts do not retry at the same time.
func retryDelay(failures int) time.Duration {
	limit := min(retryMinDelay<<min(failures, 10), retryMaxDelay)
	return limit/2 + rand.N(limit/2)
}

// controlJob is a job of the control workers. The interface is sealed.
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

// queueFullDelay is the delay before a job that found a full queue is submitted
// again.
const queueFullDelay = 50 * time.Millisecond

// schedule runs a control job after a delay, unless the host stops first. A job that
// finds a full queue is submitted again, because the jobs that schedule themselves
// would otherwise end for good.
func (c *Core) schedule(delay time.Duration, j controlJob) {
	time.AfterFunc(work.TimerDelay(delay), func() {
		if errors.Is(c.controlPool.Submit(shard.Routine, j), work.ErrFull) {
			c.log.member.Warn().Type("job", j).Msg("queue of control jobs is full, job is delayed")
			c.schedule(queueFullDelay, j)
		}
	})
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

// endPanicked schedules a control job that panicked again, if it is a periodic one.
func (c *Core) endPanicked(j controlJob) {
	switch j.(type) {
	case watchConfigJob, hostListJob, catalogJob:
		c.schedule(retryMaxDelay, j)
	case ownershipJob, fetchConfigJob, rosterJob, broadcastJob:
	}
}

// isHostListReadDue reports whether this host must read the host list now. It
// clears ownersChanged if that is the reason.
func (c *Core) isHostListReadDue(now time.Time) bool {
	age := now.Sub(c.hostListReadAt)
	switch {
	case c.ownersChanged.Load() && age >= hostListChangeInterval:
		c.ownersChanged.Store(false)
		return true
	case c.members.IsWatcher() || !c.members.Active():
		return age >= hostListInterval
	default:
		return now.Sub(c.hostListUpdatedAt) >= hostListIdleInterval
	}
}

// handleRefusals requests a read of the host list if another host refused a
// sub-request because it does not own the backend server: the owners in that
// host's zone have changed.
func (c *Core) handleRefusals(results []shard.Result) {
	for _, r := range results {
		if refused, ok := r.Outcome.(shard.Refused); ok && refused.Reason == fault.ReasonNotOwner {
			c.ownersChanged.Store(true)
			return
		}
	}
}

// refreshHosts reads the platform's host list if a read is due. Entry hosts that
// the list shows as leaving are not removed: they own servers until the
// heartbeats of their zone report otherwise.
func (c *Core) refreshHosts(job hostListJob) {
	if !c.isHostListReadDue(time.Now()) {
		c.schedule(hostListCheckInterval, hostListJob{})
		return
	}
	c.hostListReadAt = time.Now()
	ctx, cancel := context.WithTimeout(c.ctx, controlTimeout)
	defer cancel()
	list, err := c.ports.Hosts.List(ctx)
	if err != nil {
		c.log.member.Debug().Err(err).Msg("host list unavailable")
		c.ownersChanged.Store(true)
		c.schedule(retryDelay(job.failures), hostListJob{failures: job.failures + 1})
		return
	}
	// The random part keeps hosts that started at the same time from reading at
	// the same time.
	c.hostListUpdatedAt = time.Now().Add(-rand.N(hostListIdleInterval / 5))
	var hosts []member.Host
	for _, h := range list {
		if h.Kind == store.KindEntry {
			hosts = append(hosts, member.Host{Name: h.Name, Zone: h.Zone, PeerAddr: h.PeerAddr, HeartbeatAddr: h.HeartbeatAddr})
		}
	}
	c.members.SetDiscoveredHosts(hosts)
	c.handleLeavingServers(list)
	c.schedule(hostListCheckInterval, hostListJob{})
}

// handleLeavingServers marks the backend servers as draining that the host list
// shows as leaving. A watcher also notifies their owners, which may read the list
// less often; the owner then notifies its zone.
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

// notifyOwner notifies the owner of a backend server that the server is draining.
// It does nothing for servers whose owner is in another zone.
func (c *Core) notifyOwner(server string) {
	placed, ok := c.config.View().Server(server)
	if !ok || placed.OwnerZone != c.self.Zone {
		return
	}
	host, ok := (directory{c}).OwnerOf(server)
	if !ok || host == c.self.Name {
		return
	}
	c.notifyHost(host, event.ServerDraining{Server: server})
}

// refreshCatalogs fetches the catalogs of servers whose catalog is unknown or
// outdated from their owners.
func (c *Core) refreshCatalogs() {
	view := c.config.View()
	stale := c.routes.StaleCatalogs(serverNames(view))
	c.updateCatalogsLoaded(view, len(stale))
	hosts := make(map[string]bool)
	for _, name := range stale {
		if host, ok := (directory{c}).OwnerOf(name); ok {
			hosts[host] = true
		}
	}
	for host := range hosts {
		c.fetchCatalogs(host)
	}
}

// fetchCatalogs fetches the catalogs of the servers that a host owns. It does not
// call hosts in other zones while the configuration is stale.
func (c *Core) fetchCatalogs(host string) {
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

// withVersions returns the catalogs without those of servers that have not reported
// a version yet.
func withVersions(catalogs []shard.Catalog) []shard.Catalog {
	var list []shard.Catalog
	for _, c := range catalogs {
		if len(c.Versions) > 0 {
			list = append(list, c)
		}
	}
	return list
}

// tryLock is a lock that is never waited for. Unlike a mutex, it may be released
// by a goroutine other than the one that acquired it.
type tryLock struct{ held atomic.Bool }

func (l *tryLock) tryAcquire() bool { return l.held.CompareAndSwap(false, true) }
func (l *tryLock) release()         { l.held.Store(false) }
