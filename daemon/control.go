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
	hostInterval = time.Second
	hostSoon     = 300 * time.Millisecond
	hostTick     = 100 * time.Millisecond
	// hostCalm is how often the others read it away from changes. Each second
	// would be 660 reads at the design size, a third of what the store handles.
	hostCalm        = 10 * time.Second
	catalogInterval = 200 * time.Millisecond
	// idleWatch is how often a host that does not watch the store looks
	// whether it should.
	idleWatch      = 250 * time.Millisecond
	controlTimeout = time.Second
)

// Retries of control jobs wait from retryFirst to retryMost.
const (
	retryFirst = 100 * time.Millisecond
	retryMost  = 2 * time.Second
)

// retry returns the pause before a retry. It doubles with each failure, and
// its random half keeps the hosts from retrying together.
func retry(failures int) time.Duration {
	full := min(retryFirst<<min(failures, 10), retryMost)
	return full/2 + rand.N(full/2)
}

// controlJob is what a control worker does. The interface is sealed.
type controlJob interface{ controlJob() }

type (
	watchJob   struct{ failures int }
	hostsJob   struct{ failures int }
	catalogJob struct{}
	ownJob     struct{}
	fetchJob   struct{ from string }
	rosterJob  struct{ action member.Action }
)

func (watchJob) controlJob()   {}
func (hostsJob) controlJob()   {}
func (catalogJob) controlJob() {}
func (ownJob) controlJob()     {}
func (fetchJob) controlJob()   {}
func (rosterJob) controlJob()  {}

func (c *Core) startControl() {
	for _, j := range []controlJob{watchJob{}, hostsJob{}, catalogJob{}} {
		c.schedule(0, j)
	}
}

// schedule runs a control job after a delay unless the host stops before.
func (c *Core) schedule(delay time.Duration, j controlJob) {
	time.AfterFunc(delay, func() { _ = c.control.Submit(shard.Routine, j) })
}

func (c *Core) handle(j controlJob) {
	if c.ctx.Err() != nil {
		return
	}
	switch j := j.(type) {
	case watchJob:
		c.watch(j)
	case hostsJob:
		c.refreshHosts(j)
	case catalogJob:
		c.refreshCatalogs()
		c.schedule(catalogInterval, j)
	case ownJob:
		c.moved.Store(true)
		c.own()
		c.noteOwners()
		c.log.member.Info().Int("members", len(c.members.LiveHosts(c.self.Zone))).Msg("members changed")
		c.publish(event.MembersChanged{Zone: c.self.Zone})
	case fetchJob:
		c.fetch(j.from)
	case rosterJob:
		c.callRoster(j.action)
	case noticeJob:
		c.notice(j.event)
	}
}

// hostsDue reports whether this host reads the host list now.
func (c *Core) hostsDue(now time.Time) bool {
	age := now.Sub(c.read)
	switch {
	case c.moved.Load() && age >= hostSoon:
		c.moved.Store(false)
		return true
	case c.members.IsWatcher() || !c.members.Active():
		return age >= hostInterval
	default:
		return now.Sub(c.listed) >= hostCalm
	}
}

// noteRefusals asks for a read of the host list if a host refused because it
// does not own a server: the owners of its zone have changed.
func (c *Core) noteRefusals(results []shard.Result) {
	for _, r := range results {
		if refused, ok := r.Outcome.(shard.Refused); ok && refused.Reason == fault.ReasonNotOwner {
			c.moved.Store(true)
			return
		}
	}
}

// refreshHosts reads the platform's host list. Leaving hosts stay in it: they
// own servers until their zone's heartbeats say that they do not.
func (c *Core) refreshHosts(j hostsJob) {
	if !c.hostsDue(time.Now()) {
		c.schedule(hostTick, hostsJob{})
		return
	}
	c.read = time.Now()
	ctx, cancel := context.WithTimeout(c.ctx, controlTimeout)
	defer cancel()
	list, err := c.ports.Hosts.List(ctx)
	if err != nil {
		c.log.member.Debug().Err(err).Msg("host list unavailable")
		c.moved.Store(true)
		c.schedule(retry(j.failures), hostsJob{failures: j.failures + 1})
		return
	}
	// The random part keeps hosts that started together from reading together.
	c.listed = time.Now().Add(-rand.N(hostCalm / 5))
	var hosts []member.Host
	for _, h := range list {
		if h.Kind == store.KindEntry {
			hosts = append(hosts, member.Host{Name: h.Name, Zone: h.Zone, PeerAddr: h.PeerAddr, HeartbeatAddr: h.HeartbeatAddr})
		}
	}
	c.members.SetDiscoveredHosts(hosts)
	c.noteLeaving(list)
	c.schedule(hostTick, hostsJob{})
}

// noteLeaving stops new work for the backend servers that the host list calls
// leaving. Their owners may read the list more seldom, so a watcher tells them;
// an owner passes the event on to its zone.
func (c *Core) noteLeaving(list []store.HostInfo) {
	leaving := make(map[string]bool)
	for _, h := range list {
		if h.Kind != store.KindBackend || h.State != store.HostLeaving {
			continue
		}
		leaving[h.Name] = true
		c.drained(h.Name)
		if !c.leaving[h.Name] && c.members.IsWatcher() {
			c.tellOwner(h.Name)
		}
	}
	c.leaving = leaving
}

// tellOwner tells the owner of a server in the own zone that it leaves.
func (c *Core) tellOwner(server string) {
	placed, ok := c.config.View().Server(server)
	if !ok || placed.OwnerZone != c.self.Zone {
		return
	}
	host, ok := (directory{c}).OwnerOf(server)
	if !ok || host == c.self.Name {
		return
	}
	c.notify(host, event.ServerDraining{Server: server})
}

// refreshCatalogs asks the owners of servers whose catalog is unknown or
// outdated.
func (c *Core) refreshCatalogs() {
	view := c.config.View()
	stale := c.routes.StaleCatalogs(serverNames(view))
	c.noteCatalogs(view, len(stale))
	hosts := make(map[string]bool)
	for _, name := range stale {
		if host, ok := (directory{c}).OwnerOf(name); ok {
			hosts[host] = true
		}
	}
	for host := range hosts {
		c.learn(host)
	}
}

func (c *Core) learn(host string) {
	if host == c.self.Name {
		c.routes.UpdateCatalogs(known(c.owners.Catalogs()))
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
	c.routes.UpdateCatalogs(known(catalogs))
}

// known drops the catalogs of servers that have not reported yet.
func known(catalogs []shard.Catalog) []shard.Catalog {
	var list []shard.Catalog
	for _, c := range catalogs {
		if len(c.Versions) > 0 {
			list = append(list, c)
		}
	}
	return list
}

// gate lets one job at a time through.
type gate struct{ taken atomic.Bool }

func (g *gate) enter() bool { return g.taken.CompareAndSwap(false, true) }
func (g *gate) leave()      { g.taken.Store(false) }
