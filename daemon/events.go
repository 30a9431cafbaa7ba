package daemon

import (
	"context"
	"time"

	"hyssophub/event"
	"hyssophub/shard"
)

// broadcastJob publishes an event on this host and to the other hosts of its zone.
type broadcastJob struct{ event event.Event }

func (broadcastJob) controlJob() {}

// publishEvent publishes an event on this host's event bus.
func (c *Core) publishEvent(e event.Event) {
	if err := c.eventBus.Publish(e); err != nil {
		c.log.owner.Warn().Err(err).Type("event", e).Msg("event dropped: event bus did not accept it")
	}
}

// publishToZone publishes an event of the owner engine on this host and to the
// other hosts of its zone. It does not block, since the owner engine calls it
// while it makes a decision.
func (c *Core) publishToZone(e event.Event) {
	if err := c.controlPool.Submit(shard.Urgent, broadcastJob{event: e}); err != nil {
		c.log.owner.Warn().Err(err).Type("event", e).Msg("event dropped: control queue did not accept it")
	}
}

// broadcast performs a broadcastJob.
func (c *Core) broadcast(e event.Event) {
	c.publishEvent(e)
	for _, host := range c.members.ReachablePeers(time.Now()) {
		c.notifyHost(host, e)
	}
}

// notifyHost sends an event to another host.
func (c *Core) notifyHost(host string, e event.Event) {
	ctx, cancel := context.WithTimeout(c.ctx, controlTimeout)
	defer cancel()
	if err := c.ports.Peers.Notify(ctx, host, c.self.Name, e); err != nil {
		c.log.peer.Debug().Err(err).Str("host", host).Msg("event not sent to host")
	}
}

// markDraining marks a backend server as draining: its owner sends it no new
// sub-requests, and the route table chooses other replicas.
func (c *Core) markDraining(server string) {
	c.ownerEngine.MarkDraining(server)
	c.routes.MarkDraining(server, time.Now())
}
