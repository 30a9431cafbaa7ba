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

// configKey is the key of the configuration in the platform's store.
const configKey = "config"

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

func (d *Daemon) startControl() {
	for _, j := range []controlJob{watchJob{}, hostsJob{}, catalogJob{}} {
		d.schedule(0, j)
	}
}

// schedule runs a control job after a delay unless the host stops before.
func (d *Daemon) schedule(delay time.Duration, j controlJob) {
	time.AfterFunc(delay, func() { _ = d.control.Submit(shard.Routine, j) })
}

func (d *Daemon) handle(j controlJob) {
	if d.ctx.Err() != nil {
		return
	}
	switch j.(type) {
	case watchJob:
		d.schedule(d.watch(), j)
	case hostsJob:
		d.refreshHosts()
		d.schedule(hostInterval, j)
	case catalogJob:
		d.refreshCatalogs()
		d.schedule(catalogInterval, j)
	}
}

// watch waits for a newer configuration and returns the pause before the next
// watch.
func (d *Daemon) watch() time.Duration {
	revision := d.config.View().Value.Revision
	e, err := d.platform.Watch(d.ctx, configKey, revision)
	if err != nil {
		d.log.Debug().Err(err).Msg("configuration watch failed")
		return watchPause
	}
	if e.Revision > revision {
		d.accept(e)
	}
	return 0
}

// accept installs a configuration that the store or a peer gave.
func (d *Daemon) accept(e store.Entry) {
	value, err := codec.DecodeValue(e.Value, e.Revision)
	if err != nil {
		d.log.Error().Err(err).Uint64("revision", e.Revision).Msg("configuration unreadable")
		return
	}
	d.mu.Lock()
	accepted := d.config.Accept(value)
	if accepted {
		d.value = e.Value
	}
	d.mu.Unlock()
	if !accepted {
		return
	}
	d.log.Info().Uint64("revision", e.Revision).Msg("configuration in force")
	d.own()
	if err := d.bus.Publish(event.ConfigAccepted{Revision: e.Revision}); err != nil {
		d.log.Warn().Err(err).Msg("event dropped")
	}
}

// refreshHosts reads the platform's host list.
func (d *Daemon) refreshHosts() {
	ctx, cancel := context.WithTimeout(d.ctx, controlTimeout)
	defer cancel()
	list, err := d.platform.List(ctx)
	if err != nil {
		d.log.Debug().Err(err).Msg("host list unavailable")
		return
	}
	var hosts []member.Host
	for _, h := range list {
		if h.Kind == store.KindEntry && h.State == store.HostLive {
			hosts = append(hosts, member.Host{Name: h.Name, Zone: h.Zone, Peer: h.Peer, Beat: h.Beat})
		}
	}
	if d.members.Learn(hosts) {
		d.own()
	}
}

// own makes the owner engine hold the servers of this host's groups.
func (d *Daemon) own() {
	view := d.config.View()
	self := d.members.Self()
	var placed []config.Placed
	for _, group := range view.Groups(self.Zone) {
		if h, ok := d.members.Owner(group, self.Zone); !ok || h.Name != self.Name {
			continue
		}
		for _, name := range view.GroupServers(group) {
			p, _ := view.Server(name)
			placed = append(placed, p)
		}
	}
	d.owners.Own(placed)
}

// refreshCatalogs asks the owners of servers whose catalog is unknown or
// outdated.
func (d *Daemon) refreshCatalogs() {
	view := d.config.View()
	var names []string
	for _, s := range view.Value.Manifest.Services {
		for _, server := range s.Servers {
			names = append(names, server.Name)
		}
	}
	hosts := make(map[string]bool)
	for _, name := range d.routes.Stale(names) {
		if host, ok := (directory{d}).OwnerOf(name); ok {
			hosts[host] = true
		}
	}
	for host := range hosts {
		d.learn(host)
	}
}

func (d *Daemon) learn(host string) {
	if host == d.settings.Name {
		d.routes.Learn(known(d.owners.Catalog()))
		return
	}
	ctx, cancel := context.WithTimeout(d.ctx, controlTimeout)
	defer cancel()
	catalogs, err := d.peers.Catalogs(ctx, host)
	if err != nil {
		d.log.Debug().Err(err).Str("host", host).Msg("catalog unavailable")
		return
	}
	d.routes.Learn(known(catalogs))
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
