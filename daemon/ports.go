package daemon

import (
	"context"

	"hyssophub/event"
	"hyssophub/fault"
	"hyssophub/owner"
	"hyssophub/shard"
)

// link implements query.Link: it calls the owner in this process directly and
// any other over the network.
type link struct{ d *Daemon }

// Submit implements query.Link.
func (l link) Submit(ctx context.Context, host string, batch shard.Batch) ([]shard.Result, error) {
	if host == l.d.settings.Name {
		return l.d.owners.Submit(ctx, batch), nil
	}
	return l.d.peers.Submit(ctx, host, batch)
}

// courier implements owner.Courier.
type courier struct{ d *Daemon }

// Deliver implements owner.Courier.
func (c courier) Deliver(ctx context.Context, host string, results []shard.Result) error {
	if host == c.d.settings.Name {
		c.d.queries.Deliver(results)
		return nil
	}
	return c.d.peers.Deliver(ctx, host, results)
}

// directory implements query.Directory from configuration and membership.
type directory struct{ d *Daemon }

// OwnerOf implements query.Directory.
func (r directory) OwnerOf(server string) (string, bool) {
	placed, ok := r.d.config.View().Server(server)
	if !ok {
		return "", false
	}
	h, ok := r.d.members.Owner(placed.Group, placed.Home)
	return h.Name, ok
}

// handler implements peer.Handler.
type handler struct{ d *Daemon }

// Submit implements peer.Handler.
func (h handler) Submit(ctx context.Context, batch shard.Batch) []shard.Result {
	return h.d.owners.Submit(ctx, batch)
}

// Deliver implements peer.Handler.
func (h handler) Deliver(results []shard.Result) { h.d.queries.Deliver(results) }

// Fetch implements peer.Handler.
func (h handler) Fetch(revision uint64) ([]byte, uint64) {
	h.d.mu.Lock()
	defer h.d.mu.Unlock()
	newest := h.d.config.View().Value.Revision
	if newest <= revision {
		return nil, newest
	}
	return h.d.value, newest
}

// Catalogs implements peer.Handler.
func (h handler) Catalogs() []shard.Catalog { return h.d.owners.Catalog() }

// Handover implements peer.Handler.
func (h handler) Handover(string, []owner.State) {}

// Notify implements peer.Handler.
func (h handler) Notify(_ string, e event.Event) {
	if err := h.d.bus.Publish(e); err != nil {
		h.d.log.Warn().Err(err).Str("reason", string(fault.ReasonStopping)).Msg("event dropped")
	}
}
