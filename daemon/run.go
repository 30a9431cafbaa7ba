package daemon

import (
	"context"
	"time"

	"hyssophub/codec"
	"hyssophub/kvhttp"
	"hyssophub/once"
	"hyssophub/shard"
	"hyssophub/stats"
)

// Workers and queue bound of non-idempotent requests. Their rate is limited by
// the store's, so few workers suffice.
const (
	onceWorkers = 16
	onceQueue   = 256
)

// newOnce returns the engine of non-idempotent requests.
func (c *Core) newOnce() *once.Engine {
	return once.NewEngine(c.config, c.routes, once.Ports{
		KV:        c.ports.KV,
		Codec:     codec.Once{},
		Link:      link{c},
		Directory: directory{c},
	}, once.Options{
		Host:            c.self.Name,
		Workers:         onceWorkers,
		Queue:           onceQueue,
		WritesPerSecond: once.DefaultWritesPerSecond,
	})
}

// Once runs a non-idempotent request. It implements entry.Writer.
func (c *Core) Once(ctx context.Context, request once.Request) (once.Result, error) {
	return c.onces.Run(ctx, request)
}

// deliver hands late results to the engine that sent the sub-requests.
func (c *Core) deliver(results []shard.Result) {
	if rest := c.onces.Deliver(results); len(rest) > 0 {
		c.queries.Deliver(rest)
	}
}

// sources implements stats.Sources.
type sources struct {
	core     *Core
	platform *kvhttp.Client
}

// StoreCalls implements stats.Sources.
func (s sources) StoreCalls() []stats.StoreCalls {
	counts := s.platform.CallCounts()
	calls := make([]stats.StoreCalls, 0, len(counts))
	for _, c := range counts {
		calls = append(calls, stats.StoreCalls(c))
	}
	return calls
}

// Services implements stats.Sources.
func (s sources) Services() []stats.Service {
	now := time.Now()
	var list []stats.Service
	index := make(map[string]int)
	for _, placed := range s.core.owned.Owned() {
		figures, ok := s.core.owned.Stats(placed.Server.Name, now)
		if !ok {
			continue
		}
		i, ok := index[placed.Service.Name]
		if !ok {
			i = len(list)
			index[placed.Service.Name] = i
			list = append(list, stats.Service{Tenant: placed.Service.Tenant, Name: placed.Service.Name})
		}
		list[i].Servers++
		list[i].Queued += int64(figures.Queued)
		list[i].UsedSlots += int64(figures.Busy)
		list[i].FreeSlots += int64(figures.Free)
	}
	return list
}

// Host implements stats.Sources.
func (s sources) Host() stats.Host {
	view := s.core.config.View()
	h := stats.Host{Revision: view.Value.Revision, ActiveRuns: int64(s.core.onces.InProgress()), ZonesOut: make(map[string]bool)}
	for _, z := range view.Value.Manifest.Zones {
		h.ZonesOut[z.Name] = view.IsOutOfService(z.Name)
	}
	return h
}
