package route

import (
	"slices"
	"time"

	"hyssophub/config"
	"hyssophub/shard"
)

// downFor is how long a server that failed is passed over while another
// replica can serve.
const downFor = 500 * time.Millisecond

// staleAfter is the age at which figures no longer speak against a replica, so
// that a recovered straggler is tried again.
const staleAfter = 2 * time.Second

// Want asks for replicas for some shards of a service.
type Want struct {
	Service *config.Service
	Version shard.Version
	Shards  []string
	// Tried names servers that must not be chosen.
	Tried []string
}

// Pick is a chosen server with the shards it shall answer.
type Pick struct {
	Server config.Server
	Shards []string
}

// Choose selects servers for the wanted shards, the fewest and fastest first.
// Shards that no usable replica holds are returned as missing.
func (t *Table) Choose(view *config.View, want Want, now time.Time) (picks []Pick, missing []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	missing = slices.Clone(want.Shards)
	for len(missing) > 0 {
		pick, ok := t.best(view, want, missing, now)
		if !ok {
			return picks, missing
		}
		picks = append(picks, pick)
		missing = slices.DeleteFunc(missing, func(s string) bool { return slices.Contains(pick.Shards, s) })
	}
	return picks, nil
}

func (t *Table) best(view *config.View, want Want, shards []string, now time.Time) (Pick, bool) {
	var (
		best  Pick
		cost  time.Duration
		found bool
	)
	for _, server := range want.Service.Servers {
		r, ok := t.replicas[server.Name]
		if !ok || slices.Contains(want.Tried, server.Name) || !t.usable(view, server, r, now) {
			continue
		}
		held := r.held(want.Version, shards)
		if len(held) == 0 {
			continue
		}
		c := t.cost(view, server, r, want.Service, now)
		if !found || len(held) > len(best.Shards) || (len(held) == len(best.Shards) && c < cost) {
			best, cost, found = Pick{Server: server, Shards: held}, c, true
		}
	}
	return best, found
}

// cost estimates the time until a replica would answer.
func (t *Table) cost(view *config.View, server config.Server, r *Replica, service *config.Service, now time.Time) time.Duration {
	var cost time.Duration
	if now.Sub(r.Seen) < staleAfter {
		cost = r.Figures.Latency + r.Figures.Latency*time.Duration(r.Figures.Queued+r.Figures.Busy)/time.Duration(max(1, service.Slots))
	}
	if server.Zone != t.zone {
		cost += 2 * view.Value.Manifest.Network.Zone
	}
	if r.Down && now.Sub(r.Seen) < downFor {
		cost += time.Minute
	}
	return cost
}

func (t *Table) usable(view *config.View, server config.Server, r *Replica, now time.Time) bool {
	if view.IsOut(server.Zone) {
		return false
	}
	return r.Figures.Usable || now.Sub(r.Seen) >= staleAfter
}

func (r *Replica) held(version shard.Version, shards []string) []string {
	h, ok := r.Catalog.At(version)
	if !ok {
		return nil
	}
	var held []string
	for _, s := range shards {
		if slices.Contains(h.Shards, s) {
			held = append(held, s)
		}
	}
	return held
}

// HedgeDelay returns how long to wait for a server of the service before a
// hedge: the lowest recent tail among the replicas, since a straggler's own
// tail would delay the hedge for too long.
func (t *Table) HedgeDelay(service *config.Service) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	delay := time.Duration(0)
	for _, server := range service.Servers {
		r, ok := t.replicas[server.Name]
		if !ok || r.Figures.Tail == 0 {
			continue
		}
		if delay == 0 || r.Figures.Tail < delay {
			delay = r.Figures.Tail
		}
	}
	return max(delay+hedgeMargin, hedgeFloor)
}
