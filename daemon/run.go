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

// Workers and queue bound of non-idempotent requests. The store limits the rate of
// these requests, so few workers suffice.
const (
	onceWorkers = 16
	onceQueue   = 256
)

// newOnceEngine returns the engine of non-idempotent requests.
func (c *Core) newOnceEngine() *once.Engine {
	return once.NewEngine(c.config, c.routes, once.Ports{
		KV:        c.ports.KV,
		Codec:     codec.Once{},
		Transport: transport{c},
		Directory: directory{c},
	}, once.Options{
		Host:            c.self.Name,
		Workers:         onceWorkers,
		Queue:           onceQueue,
		WritesPerSecond: once.DefaultWritesPerSecond,
		OnPanic:         c.reportPanic,
	})
}

// RunOnce runs a non-idempotent request. It implements entry.OnceRunner.
func (c *Core) RunOnce(ctx context.Context, request once.Request) (once.Result, error) {
	return c.onceEngine.Run(ctx, request)
}

// deliverResults passes late results to the engine that sent the sub-requests.
func (c *Core) deliverResults(results []shard.Result) {
	if unmatched := c.onceEngine.Deliver(results); len(unmatched) > 0 {
		c.queryEngine.Deliver(unmatched)
	}
}

// metricSources implements stats.Sources.
type metricSources struct {
	core  *Core
	store *kvhttp.Client
}

// StoreCalls implements stats.Sources.
func (s metricSources) StoreCalls() []stats.StoreCalls {
	counts := s.store.CallCounts()
	calls := make([]stats.StoreCalls, 0, len(counts))
	for _, c := range counts {
		calls = append(calls, stats.StoreCalls(c))
	}
	return calls
}

// Services implements stats.Sources.
func (s metricSources) Services() []stats.Service {
	now := time.Now()
	var list []stats.Service
	index := make(map[string]int)
	for _, placed := range s.core.ownership.Owned() {
		counts, ok := s.core.ownership.Stats(placed.Server.Name, now)
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
		list[i].Queued += int64(counts.Queued)
		list[i].UsedSlots += int64(counts.Busy)
		list[i].FreeSlots += int64(counts.Free)
	}
	return list
}

// Host implements stats.Sources.
func (s metricSources) Host() stats.Host {
	view := s.core.config.View()
	h := stats.Host{Revision: view.Value.Revision, ActiveRuns: int64(s.core.onceEngine.InProgress()), ZonesOut: make(map[string]bool)}
	for _, z := range view.Value.Manifest.Zones {
		h.ZonesOut[z.Name] = view.IsOutOfService(z.Name)
	}
	return h
}
