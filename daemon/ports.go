package daemon

import (
	"context"
	"time"

	"hyssophub/event"
	"hyssophub/fault"
	"hyssophub/owner"
	"hyssophub/shard"
)

// transport implements query.Transport. It calls the owner in this process directly
// and other hosts over the network.
type transport struct{ core *Core }

// Submit implements query.Transport.
func (l transport) Submit(ctx context.Context, host string, batch shard.Batch) ([]shard.Result, error) {
	if host == l.core.self.Name {
		return l.core.ownerEngine.Submit(ctx, batch), nil
	}
	if h, ok := l.core.members.Host(host); ok && h.Zone != l.core.self.Zone && !l.core.config.Fresh(time.Now()) {
		return nil, fault.New(fault.NotRun{}, fault.ReasonStaleConfiguration, "configuration not confirmed recently enough to send to host %s in another zone", host)
	}
	results, err := l.core.ports.Peers.Submit(ctx, host, batch)
	l.core.handleRefusals(results)
	return results, err
}

// resultSender implements owner.ResultSender.
type resultSender struct{ core *Core }

// Deliver implements owner.ResultSender.
func (c resultSender) Deliver(ctx context.Context, host string, results []shard.Result) error {
	if host == c.core.self.Name {
		c.core.deliverResults(results)
		return nil
	}
	return c.core.ports.Peers.Deliver(ctx, host, results)
}

// directory implements query.Directory with the configuration and the membership.
type directory struct{ core *Core }

// OwnerOf implements query.Directory.
func (d directory) OwnerOf(server string) (string, bool) {
	placed, ok := d.core.config.View().Server(server)
	if !ok {
		return "", false
	}
	h, ok := d.core.members.Owner(placed.Group, placed.OwnerZone)
	return h.Name, ok
}

// peerHandler implements peer.Handler.
type peerHandler struct{ core *Core }

// Submit implements peer.Handler.
func (h peerHandler) Submit(ctx context.Context, batch shard.Batch) []shard.Result {
	return h.core.ownerEngine.Submit(ctx, batch)
}

// Deliver implements peer.Handler.
func (h peerHandler) Deliver(results []shard.Result) { h.core.deliverResults(results) }

// FetchConfig implements peer.Handler.
func (h peerHandler) FetchConfig(revision uint64) ([]byte, uint64) {
	h.core.mu.Lock()
	defer h.core.mu.Unlock()
	newest := h.core.config.View().Value.Revision
	if newest <= revision {
		return nil, newest
	}
	return h.core.encodedConfig, newest
}

// Catalogs implements peer.Handler.
func (h peerHandler) Catalogs() []shard.Catalog { return h.core.ownerEngine.Catalogs() }

// Handover implements peer.Handler.
func (h peerHandler) Handover(_ string, states []owner.HandoverState) {
	h.core.ownerEngine.ImportStates(states)
}

// Notify implements peer.Handler.
func (h peerHandler) Notify(from string, e event.Event) {
	h.core.log.peer.Debug().Str("host", from).Type("event", e).Msg("event received")
	if drain, ok := e.(event.ServerDraining); ok {
		h.core.markDraining(drain.Server)
	}
	h.core.publishEvent(e)
}
