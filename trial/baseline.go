package trial

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"hyssophub/config"
	"hyssophub/fault"
	"hyssophub/query"
	"hyssophub/shard"
)

// maxAttempts counts the first attempt and three retries.
const maxAttempts = 4

// Baseline is the policy that the product is compared with: round robin over
// the replicas, concurrency limits that each host applies on its own, three
// immediate retries, no hedged requests and no common snapshot version.
type Baseline struct {
	manifest config.Manifest
	backends *Backends
	network  *Network
	services map[string]*config.Service
	hosts    []*baselineHost
}

// baselineHost is an entry host of the baseline.
type baselineHost struct {
	name string
	// nextReplica holds the round-robin counter by service, slots the
	// concurrency limit by server.
	nextReplica map[string]*atomic.Uint64
	slots       map[string]chan struct{}
}

func newBaseline(manifest config.Manifest, backends *Backends, network *Network) *Baseline {
	b := &Baseline{manifest: manifest, backends: backends, network: network, services: make(map[string]*config.Service)}
	for i := range manifest.Services {
		b.services[manifest.Services[i].Name] = &manifest.Services[i]
	}
	for _, z := range manifest.Zones {
		for i := range z.Hosts {
			h := &baselineHost{
				name:        z.Name + string(rune('1'+i)),
				nextReplica: make(map[string]*atomic.Uint64),
				slots:       make(map[string]chan struct{}),
			}
			network.attach(h.name, z.Name, nil, nil)
			for _, s := range manifest.Services {
				h.nextReplica[s.Name] = &atomic.Uint64{}
				for _, server := range s.Servers {
					h.slots[server.Name] = make(chan struct{}, s.Slots)
				}
			}
			b.hosts = append(b.hosts, h)
		}
	}
	return b
}

// Query implements Policy.
func (b *Baseline) Query(ctx context.Context, rng *rand.Rand, request query.Request) (query.Answer, error) {
	host := b.hosts[rng.IntN(len(b.hosts))]
	start := time.Now()
	var (
		mu     sync.Mutex
		calls  sync.WaitGroup
		parts  []shard.PartialAnswer
		answer = query.Answer{Request: request.ID}
	)
	for _, name := range request.Services {
		calls.Go(func() {
			partials, attempts := b.queryService(ctx, host, b.services[name], request)
			mu.Lock()
			defer mu.Unlock()
			parts = append(parts, partials...)
			answer.Subs += attempts
			answer.Extra += attempts - 1
			answer.Coverage.Total += max(len(partials), len(b.services[name].Shards))
			answer.Coverage.Covered += len(partials)
		})
	}
	calls.Wait()
	for _, p := range parts {
		answer.Snapshot = max(answer.Snapshot, p.Version)
	}
	answer.Hits = query.Merge(parts, request.Limit)
	answer.Took = time.Since(start)
	return answer, nil
}

// queryService sends the query to the replicas in turn until one answers. It
// also returns the number of attempts.
func (b *Baseline) queryService(ctx context.Context, host *baselineHost, service *config.Service, request query.Request) ([]shard.PartialAnswer, int) {
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		server := service.Servers[host.nextReplica[service.Name].Add(1)%uint64(len(service.Servers))]
		outcome := b.send(ctx, host, service, server, request)
		if a, ok := outcome.(shard.Answered); ok {
			return a.Parts, attempt
		}
		if !time.Now().Before(request.Deadline) {
			return nil, attempt
		}
	}
	return nil, maxAttempts
}

func (b *Baseline) send(ctx context.Context, host *baselineHost, service *config.Service, server config.Server, request query.Request) shard.Outcome {
	select {
	case host.slots[server.Name] <- struct{}{}:
	case <-ctx.Done():
		return shard.Refused{Reason: fault.ReasonDeadline}
	}
	defer func() { <-host.slots[server.Name] }()
	sub := shard.SubRequest{Service: service.Name, Server: server.Name, Shards: service.Shards, Limit: request.Limit, Deadline: request.Deadline}
	client := backendClient{backends: b.backends, network: b.network, host: host.name}
	return client.Do(ctx, config.PlacedServer{Server: server, Service: service}, sub)
}

// Apply implements Policy. The baseline has no configuration, and applies only
// actions on the connectivity of zones.
func (b *Baseline) Apply(action Action) {
	switch a := action.(type) {
	case IsolateZone:
		b.network.setIsolated(a.Zone, true)
	case ReconnectZone:
		b.network.setIsolated(a.Zone, false)
	}
}

// Close implements Policy.
func (b *Baseline) Close() {}
