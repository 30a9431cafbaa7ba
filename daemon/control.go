package daemon

import (
	"context"
	"time"

	"hyssophub/codec"
	"hyssophub/config"
	"hyssophub/event"
	"hyssophub/member"
	"hyssophub/shard"
	"hyssophub/store"
)

// Workers, queue bound and intervals of the control jobs.
const (
	controlWorkers  = 4
	controlQueue    = 1024
	hostInterval    = time.Second
	catalogInterval = 200 * time.Millisecond
	watchPause      = 250 * time.Millisecond
	controlTimeout  = time.Second
)

// controlJob is what a control worker does. The interface is sealed.
type controlJob interface{ controlJob() }

type (
	watchJob   struct{}
	hostsJob   struct{}
	catalogJob struct{}
)

func (watchJob) controlJob()   {}
func (hostsJob) controlJob()   {}
func (catalogJob) controlJob() {}

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
	switch j.(type) {
	case watchJob:
		c.schedule(c.watch(), j)
	case hostsJob:
		c.refreshHosts()
		c.schedule(hostInterval, j)
	case catalogJob:
		c.refreshCatalogs()
		c.schedule(catalogInterval, j)
	}
}

// watch waits for a newer configuration and returns the pause before the next
// watch.
func (c *Core) watch() time.Duration {
	revision := c.config.View().Value.Revision
	e, err := c.ports.KV.Watch(c.ctx, config.Key, revision)
	if err != nil {
		c.log.Debug().Err(err).Msg("configuration watch failed")
		return watchPause
	}
	if e.Revision > revision {
		c.accept(e)
	}
	now := time.Now()
	c.config.Report(c.self.Zone, now, now)
	return 0
}

// accept installs a configuration that the store or a peer gave.
func (c *Core) accept(e store.Entry) {
	value, err := codec.DecodeValue(e.Value, e.Revision)
	if err != nil {
		c.log.Error().Err(err).Uint64("revision", e.Revision).Msg("configuration unreadable")
		return
	}
	c.mu.Lock()
	accepted := c.config.Accept(value)
	if accepted {
		c.value = e.Value
	}
	c.mu.Unlock()
	if !accepted {
		return
	}
	c.log.Info().Uint64("revision", e.Revision).Msg("configuration in force")
	c.own()
	if err := c.bus.Publish(event.ConfigAccepted{Revision: e.Revision}); err != nil {
		c.log.Warn().Err(err).Msg("event dropped")
	}
}

// refreshHosts reads the platform's host list.
func (c *Core) refreshHosts() {
	ctx, cancel := context.WithTimeout(c.ctx, controlTimeout)
	defer cancel()
	list, err := c.ports.Hosts.List(ctx)
	if err != nil {
		c.log.Debug().Err(err).Msg("host list unavailable")
		return
	}
	var hosts []member.Host
	for _, h := range list {
		if h.Kind == store.KindEntry && h.State == store.HostLive {
			hosts = append(hosts, member.Host{Name: h.Name, Zone: h.Zone, Peer: h.Peer, Beat: h.Beat})
		}
	}
	if c.members.Learn(hosts) {
		c.own()
	}
}

// own makes the owner engine hold the servers of this host's groups.
func (c *Core) own() {
	view := c.config.View()
	self := c.members.Self()
	var placed []config.Placed
	for _, group := range view.Groups(self.Zone) {
		if h, ok := c.members.Owner(group, self.Zone); !ok || h.Name != self.Name {
			continue
		}
		for _, name := range view.GroupServers(group) {
			p, _ := view.Server(name)
			placed = append(placed, p)
		}
	}
	c.owners.Own(placed)
}

// refreshCatalogs asks the owners of servers whose catalog is unknown or
// outdated.
func (c *Core) refreshCatalogs() {
	view := c.config.View()
	var names []string
	for _, s := range view.Value.Manifest.Services {
		for _, server := range s.Servers {
			names = append(names, server.Name)
		}
	}
	hosts := make(map[string]bool)
	for _, name := range c.routes.Stale(names) {
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
		c.routes.Learn(known(c.owners.Catalog()))
		return
	}
	ctx, cancel := context.WithTimeout(c.ctx, controlTimeout)
	defer cancel()
	catalogs, err := c.ports.Peers.Catalogs(ctx, host)
	if err != nil {
		c.log.Debug().Err(err).Str("host", host).Msg("catalog unavailable")
		return
	}
	c.routes.Learn(known(catalogs))
}

// known drops the catalogs of servers that have not reported yet.
func known(catalogs []shard.Catalog) []shard.Catalog {
	var list []shard.Catalog
	for _, c := range catalogs {
		if len(c.Held) > 0 {
			list = append(list, c)
		}
	}
	return list
}
