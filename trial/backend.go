package trial

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"hyssophub/config"
	"hyssophub/fault"
	"hyssophub/shard"
	"hyssophub/work"
)

// Backends holds the models of all backend servers of a deployment.
type Backends struct {
	manifest config.Manifest
	// servers holds the servers by name, all in the order of the manifest.
	servers    map[string]*Server
	all        []*Server
	rng        *rand.Rand
	executions *executions
	// partitions holds the shard names by service and index version.
	partitions map[string]map[shard.Version][]string
}

func newBackends(manifest config.Manifest, serviceTime time.Duration, seed uint64) *Backends {
	b := &Backends{
		manifest:   manifest,
		servers:    make(map[string]*Server),
		rng:        rand.New(rand.NewPCG(seed, 2)),
		executions: newExecutions(seed),
		partitions: make(map[string]map[shard.Version][]string),
	}
	for i := range manifest.Services {
		service := &manifest.Services[i]
		b.partitions[service.Name] = map[shard.Version][]string{1: service.Shards}
		for _, server := range service.Servers {
			s := newServer(service, server, serviceTime, seed+uint64(len(b.all)))
			s.executions = b.executions
			b.servers[server.Name] = s
			b.all = append(b.all, s)
		}
	}
	return b
}

// planPartitions sets the partition maps of the versions that a script rolls
// out. It runs before the load starts, so that checks read partitions without
// a lock.
func (b *Backends) planPartitions(events []Event) {
	for _, e := range events {
		roll, ok := e.Action.(RollOut)
		if !ok {
			continue
		}
		for _, service := range b.manifest.Services {
			b.partitions[service.Name][roll.Version] = splitLast(service.Shards, roll)
		}
	}
}

// shardsAt returns the shards of a service at a version. For version zero it
// returns the shards in the manifest.
func (b *Backends) shardsAt(service string, version shard.Version) []string {
	if version == 0 {
		version = 1
	}
	return b.partitions[service][version]
}

// splitLast returns the shards with the last one split in two if roll.Split is
// set.
func splitLast(shards []string, roll RollOut) []string {
	if !roll.Split {
		return shards
	}
	last := shards[len(shards)-1]
	return append(slices.Clone(shards[:len(shards)-1]), last+"x", last+"y")
}

func (b *Backends) selected(selector ServerSelector) []*Server {
	var list []*Server
	for i, service := range b.manifest.Services {
		if (selector.Every > 0 && i%selector.Every == 0) || (selector.Every == 0 && i == selector.Service) {
			list = append(list, b.servers[service.Servers[selector.Replica].Name])
		}
	}
	return list
}

// apply performs an action on backend servers. It returns false for actions of
// other kinds.
func (b *Backends) apply(action Action) bool {
	switch a := action.(type) {
	case SlowServers:
		b.update(a.Servers, func(s *Server) { s.slowFactor = a.Factor })
	case DrainServers:
		b.update(a.Servers, func(s *Server) { s.drain(a.Grace) })
	case ColdServers:
		b.update(a.Servers, func(s *Server) {
			s.turnCold(a.Restart)
			if !a.Restart {
				s.coldSince = time.Now()
			}
		})
	case StopServers:
		b.update(a.Servers, (*Server).stop)
	case StartServers:
		b.update(a.Servers, func(s *Server) { s.turnCold(false) })
	case SilenceConnections:
		for _, s := range b.all {
			s.silenceConnections(a.Share)
		}
	case RollOut:
		b.rollOut(a)
	default:
		return false
	}
	return true
}

func (b *Backends) update(selector ServerSelector, change func(*Server)) {
	for _, s := range b.selected(selector) {
		s.mu.Lock()
		change(s)
		s.mu.Unlock()
	}
}

// rollOut adds the new version to each server at a random time within r.Over,
// and removes the older versions from that server r.KeepOld later.
func (b *Backends) rollOut(r RollOut) {
	for _, s := range b.all {
		shards := b.partitions[s.service.Name][r.Version]
		added := shard.VersionShards{Version: r.Version, All: shards, Shards: shards}
		at := time.Duration(b.rng.Float64() * float64(r.Over))
		time.AfterFunc(work.TimerDelay(at), func() { s.setVersions(append(slices.Clone(s.heldVersions()), added)) })
		time.AfterFunc(at+r.KeepOld, func() { s.setVersions([]shard.VersionShards{added}) })
	}
}

func (b *Backends) totalCounts() Counts {
	var sum Counts
	for _, s := range b.all {
		c := s.counters()
		sum.Runs += c.Runs
		sum.Breaches += c.Breaches
		sum.Unavoidable += c.Unavoidable
		sum.AnnounceDelay = max(sum.AnnounceDelay, s.announceDelay())
		sum.LateRequests += c.LateRequests
		sum.Interrupted += c.Interrupted
		sum.Shed += c.Shed
	}
	return sum
}

func (s *Server) heldVersions() []shard.VersionShards {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versions
}

func (s *Server) setVersions(versions []shard.VersionShards) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions = versions
}

// drain makes the server refuse new requests and stops it after grace. The
// caller holds s.mu.
func (s *Server) drain(grace time.Duration) {
	s.draining = true
	s.drainedAt = time.Now()
	time.AfterFunc(grace, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.stop()
	})
}

// stop makes the server refuse connections and interrupts the running and
// waiting requests. The caller holds s.mu.
func (s *Server) stop() {
	s.counts.Interrupted += s.busy + len(s.waiting)
	s.down = true
	clear(s.idleConns)
	s.openConns = 0
}

// turnCold makes the server cold. With restart, the server also refuses
// connections for restartTime. The caller holds s.mu.
func (s *Server) turnCold(restart bool) {
	s.down = restart
	if restart {
		clear(s.idleConns)
		time.AfterFunc(restartTime, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.down = false
			s.refilled = time.Now()
		})
	}
	s.draining = false
	s.warmth = 0
	s.tokens = float64(s.service.Slots)
	s.refilled = time.Now()
}

func (s *Server) silenceConnections(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for caller, n := range s.idleConns {
		lost := int(float64(n) * share)
		s.idleConns[caller] -= lost
		s.silentConns[caller] += lost
	}
}

// backendClient sends sub-requests from one entry host to the backend servers.
// It implements owner.Backend.
type backendClient struct {
	backends *Backends
	network  *Network
	host     string
}

// Do implements owner.Backend.
func (c backendClient) Do(ctx context.Context, placed config.PlacedServer, sub shard.SubRequest) shard.Outcome {
	s := c.backends.servers[placed.Server.Name]
	c.network.countCrossing(c.host, s.zone)
	if err := c.network.transmit(ctx, c.host, s.zone); err != nil {
		return shard.Failed{Verdict: fault.MayHaveRun{}, Reason: fault.ReasonDeadline}
	}
	// A real connection rejects writes after its deadline. A host that was
	// paused after dispatch therefore sends the sub-request only if its deadline
	// has not passed.
	if !time.Now().Before(sub.Deadline) {
		return shard.Refused{Reason: fault.ReasonConnection}
	}
	outcome := s.Do(ctx, c.host, sub)
	if err := c.network.transmit(ctx, c.host, s.zone); err != nil {
		return shard.Failed{Verdict: fault.MayHaveRun{}, Reason: fault.ReasonDeadline}
	}
	return outcome
}

// State implements owner.Backend.
func (c backendClient) State(ctx context.Context, placed config.PlacedServer) (shard.StateReport, error) {
	s := c.backends.servers[placed.Server.Name]
	if err := c.network.transmit(ctx, c.host, s.zone); err != nil {
		return shard.StateReport{}, err
	}
	report, ok := s.State()
	if !ok {
		return report, fault.New(fault.NotRun{}, fault.ReasonDown, "server %s is down", s.name)
	}
	return report, nil
}
