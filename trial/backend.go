package trial

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"hyssophub/config"
	"hyssophub/fault"
	"hyssophub/shard"
)

// Backends are the backend servers of a deployment.
type Backends struct {
	manifest config.Manifest
	servers  map[string]*Server
	order    []*Server
	rng      *rand.Rand
	runs     *runs
	// maps holds the partition map of each service and version.
	maps map[string]map[shard.Version][]string
}

func newBackends(manifest config.Manifest, base time.Duration, seed uint64) *Backends {
	b := &Backends{
		manifest: manifest,
		servers:  make(map[string]*Server),
		rng:      rand.New(rand.NewPCG(seed, 2)),
		runs:     newRuns(seed),
		maps:     make(map[string]map[shard.Version][]string),
	}
	for i := range manifest.Services {
		service := &manifest.Services[i]
		b.maps[service.Name] = map[shard.Version][]string{1: service.Shards}
		for _, server := range service.Servers {
			s := newServer(service, server, base, seed+uint64(len(b.order)))
			s.runs = b.runs
			b.servers[server.Name] = s
			b.order = append(b.order, s)
		}
	}
	return b
}

// plan fixes the partition maps of the versions that a script rolls out. It is
// called before the load starts, so that checks read the maps without a lock.
func (b *Backends) plan(events []Event) {
	for _, e := range events {
		roll, ok := e.Action.(RollOut)
		if !ok {
			continue
		}
		for _, service := range b.manifest.Services {
			b.maps[service.Name][roll.Version] = split(service.Shards, roll)
		}
	}
}

// partition returns the shards of a service at a version, and those of the
// manifest at version zero.
func (b *Backends) partition(service string, version shard.Version) []string {
	if version == 0 {
		version = 1
	}
	return b.maps[service][version]
}

// split divides the last shard in two.
func split(shards []string, roll RollOut) []string {
	if !roll.Split {
		return shards
	}
	last := shards[len(shards)-1]
	return append(slices.Clone(shards[:len(shards)-1]), last+"x", last+"y")
}

// at selects servers.
func (b *Backends) at(place ServerSelector) []*Server {
	var list []*Server
	for i, service := range b.manifest.Services {
		if (place.Every > 0 && i%place.Every == 0) || (place.Every == 0 && i == place.Service) {
			list = append(list, b.servers[service.Servers[place.Replica].Name])
		}
	}
	return list
}

// apply performs an action on the servers and reports whether it was one.
func (b *Backends) apply(action Action) bool {
	switch a := action.(type) {
	case SlowServers:
		b.each(a.Servers, func(s *Server) { s.slow = a.Factor })
	case DrainServers:
		b.each(a.Servers, func(s *Server) { s.drain(a.Grace) })
	case ColdServers:
		b.each(a.Servers, func(s *Server) {
			s.cool(a.Restart)
			if !a.Restart {
				s.turned = time.Now()
			}
		})
	case StopServers:
		b.each(a.Servers, (*Server).stop)
	case StartServers:
		b.each(a.Servers, func(s *Server) { s.cool(false) })
	case SilenceConnections:
		for _, s := range b.order {
			s.silence(a.Share)
		}
	case RollOut:
		b.roll(a)
	default:
		return false
	}
	return true
}

func (b *Backends) each(place ServerSelector, change func(*Server)) {
	for _, s := range b.at(place) {
		s.mu.Lock()
		change(s)
		s.mu.Unlock()
	}
}

// roll schedules the new version on each server and the end of the old one.
func (b *Backends) roll(r RollOut) {
	for _, s := range b.order {
		shards := b.maps[s.service.Name][r.Version]
		held := shard.VersionShards{Version: r.Version, All: shards, Shards: shards}
		at := time.Duration(b.rng.Float64() * float64(r.Over))
		time.AfterFunc(at, func() { s.hold(append(slices.Clone(s.holding()), held)) })
		time.AfterFunc(at+r.KeepOld, func() { s.hold([]shard.VersionShards{held}) })
	}
}

func (b *Backends) total() Counts {
	var sum Counts
	for _, s := range b.order {
		c := s.counters()
		sum.Runs += c.Runs
		sum.Breaches += c.Breaches
		sum.Unavoidable += c.Unavoidable
		sum.AnnounceDelay = max(sum.AnnounceDelay, s.notice())
		sum.LateRequests += c.LateRequests
		sum.Interrupted += c.Interrupted
		sum.Shed += c.Shed
	}
	return sum
}

func (s *Server) holding() []shard.VersionShards {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held
}

func (s *Server) hold(held []shard.VersionShards) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = held
}

func (s *Server) drain(grace time.Duration) {
	s.draining = true
	s.drainedAt = time.Now()
	time.AfterFunc(grace, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.stop()
	})
}

func (s *Server) stop() {
	s.counts.Interrupted += s.busy + len(s.waiting)
	s.down = true
	clear(s.idle)
	s.open = 0
}

// cool makes the server cold, after a restart if wanted.
func (s *Server) cool(restart bool) {
	s.down = restart
	if restart {
		clear(s.idle)
		time.AfterFunc(startTime, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.down = false
			s.refilled = time.Now()
		})
	}
	s.draining = false
	s.warm = 0
	s.tokens = float64(s.service.Slots)
	s.refilled = time.Now()
}

func (s *Server) silence(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for caller, n := range s.idle {
		lost := int(float64(n) * share)
		s.idle[caller] -= lost
		s.silent[caller] += lost
	}
}

// port is the backends as one host reaches them. It implements owner.Backend.
type port struct {
	backends *Backends
	network  *Network
	host     string
}

// Do implements owner.Backend.
func (p port) Do(ctx context.Context, placed config.PlacedServer, sub shard.SubRequest) shard.Outcome {
	s := p.backends.servers[placed.Server.Name]
	p.network.note(p.host, s.zone)
	if err := p.network.cross(ctx, p.host, s.zone); err != nil {
		return shard.Failed{Verdict: fault.MayHaveRun{}, Reason: fault.ReasonDeadline}
	}
	// A connection takes no write after the deadline that was set on it. A
	// paused host sends what it decided earlier only if time is left.
	if !time.Now().Before(sub.Deadline) {
		return shard.Refused{Reason: fault.ReasonConnection}
	}
	outcome := s.Do(ctx, p.host, sub)
	if err := p.network.cross(ctx, p.host, s.zone); err != nil {
		return shard.Failed{Verdict: fault.MayHaveRun{}, Reason: fault.ReasonDeadline}
	}
	return outcome
}

// State implements owner.Backend.
func (p port) State(ctx context.Context, placed config.PlacedServer) (shard.StateReport, error) {
	s := p.backends.servers[placed.Server.Name]
	if err := p.network.cross(ctx, p.host, s.zone); err != nil {
		return shard.StateReport{}, err
	}
	report, ok := s.State()
	if !ok {
		return report, fault.New(fault.NotRun{}, fault.ReasonDown, "server %s is down", s.name)
	}
	return report, nil
}
