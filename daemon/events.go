package daemon

import (
	"context"
	"time"

	"hyssophub/event"
	"hyssophub/shard"
)

// noticeJob passes an event on to the other hosts of the zone.
type broadcastJob struct{ event event.Event }

func (broadcastJob) controlJob() {}

// publish tells the aggregates of this host of an event.
func (c *Core) publishEvent(e event.Event) {
	if err := c.eventBus.Publish(e); err != nil {
		c.log.owner.Warn().Err(err).Type("event", e).Msg("event dropped")
	}
}

// spread publishes an event of this host's owner side and passes it on to the
// zone. It does not wait, since the owner calls it while it decides.
func (c *Core) publishToZone(e event.Event) {
	if err := c.controlPool.Submit(shard.Urgent, broadcastJob{event: e}); err != nil {
		c.log.owner.Warn().Err(err).Type("event", e).Msg("event dropped")
	}
}

// notice performs a noticeJob.
func (c *Core) broadcast(e event.Event) {
	c.publishEvent(e)
	for _, host := range c.members.ReachablePeers(time.Now()) {
		c.notifyHost(host, e)
	}
}

// notify passes an event on to one host.
func (c *Core) notifyHost(host string, e event.Event) {
	ctx, cancel := context.WithTimeout(c.ctx, controlTimeout)
	defer cancel()
	if err := c.ports.Peers.Notify(ctx, host, c.self.Name, e); err != nil {
		c.log.peer.Debug().Err(err).Str("host", host).Msg("event not passed on")
	}
}

// drained notes that a backend server leaves: its owner sends it no new work,
// and entry hosts choose other replicas.
func (c *Core) markDraining(server string) {
	c.ownerEngine.MarkDraining(server)
	c.routes.MarkDraining(server, time.Now())
}
