package daemon

import (
	"context"
	"time"

	"hyssophub/event"
	"hyssophub/shard"
)

// noticeJob passes an event on to the other hosts of the zone.
type noticeJob struct{ event event.Event }

func (noticeJob) controlJob() {}

// publish tells the aggregates of this host of an event.
func (c *Core) publish(e event.Event) {
	if err := c.bus.Publish(e); err != nil {
		c.log.owner.Warn().Err(err).Type("event", e).Msg("event dropped")
	}
}

// spread publishes an event of this host's owner side and passes it on to the
// zone. It does not wait, since the owner calls it while it decides.
func (c *Core) spread(e event.Event) {
	if err := c.control.Submit(shard.Urgent, noticeJob{event: e}); err != nil {
		c.log.owner.Warn().Err(err).Type("event", e).Msg("event dropped")
	}
}

// notice performs a noticeJob.
func (c *Core) notice(e event.Event) {
	c.publish(e)
	for _, host := range c.members.ReachablePeers(time.Now()) {
		c.notify(host, e)
	}
}

// notify passes an event on to one host.
func (c *Core) notify(host string, e event.Event) {
	ctx, cancel := context.WithTimeout(c.ctx, controlTimeout)
	defer cancel()
	if err := c.ports.Peers.Notify(ctx, host, c.self.Name, e); err != nil {
		c.log.peer.Debug().Err(err).Str("host", host).Msg("event not passed on")
	}
}

// drained notes that a backend server leaves: its owner sends it no new work,
// and entry hosts choose other replicas.
func (c *Core) drained(server string) {
	c.owners.MarkDraining(server)
	c.routes.MarkDraining(server, time.Now())
}
