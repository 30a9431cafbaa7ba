package owner

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"hyssophub/config"
	"hyssophub/event"
	"hyssophub/fault"
	"hyssophub/shard"
)

// Table holds the records of the servers that this host owns. Its lock comes
// after those of config, member, once, query and route, and before those of
// dial and work.
type Table struct {
	permit PermitFunc

	mu       sync.Mutex
	servers  map[string]*Server
	replicas map[string][]*Server
	imported map[string]importedState
}

// NewTable returns an empty table. permit is called at admission and again
// before each dispatch.
func NewTable(permit PermitFunc) *Table {
	return &Table{
		permit:   permit,
		servers:  make(map[string]*Server),
		replicas: make(map[string][]*Server),
		imported: make(map[string]importedState),
	}
}

// Admit decides whether a sub-request is dispatched, queued or refused.
func (t *Table) Admit(sub shard.SubRequest, now time.Time) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.servers[sub.Server]
	if !ok {
		return Refuse{Reason: fault.ReasonNotOwner}
	}
	if reason, ok := t.permit(sub.Server, now); !ok {
		return Refuse{Reason: reason}
	}
	return s.admit(&sub, now)
}

// CheckDispatch is the last check before the first byte of a dispatch. On
// success it records the dispatch and returns the server's manifest entry. On
// failure it frees the slot; the sub-request did not run.
func (t *Table) CheckDispatch(sub shard.SubRequest, now time.Time) (config.PlacedServer, fault.Reason, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.servers[sub.Server]
	if !ok {
		return config.PlacedServer{}, fault.ReasonNotOwner, false
	}
	reason, ok := t.permit(sub.Server, now)
	if ok {
		reason, ok = s.admissible(&sub, now)
	}
	slot := s.findSlot(sub.ID)
	if ok && (slot == nil || slot.RampEpoch != s.RampEpoch) {
		reason, ok = fault.ReasonCold, false
	}
	if !ok {
		s.freeSlot(sub.ID)
		return config.PlacedServer{}, reason, false
	}
	slot.Sent = now
	// The interval starts at the dispatch, not at the admission, so that a
	// delayed worker does not send two requests too close together.
	s.NextDispatch = now.Add(s.limit().Interval)
	return s.Placed, "", true
}

// RefusedSub is a sub-request that was removed from the queue without having
// run, with its result.
type RefusedSub struct {
	Sub    shard.SubRequest
	Result shard.Result
}

// Effects are the consequences of a change of a server's record, for the engine
// to carry out.
type Effects struct {
	// Ready are the sub-requests that got a slot and must be dispatched.
	Ready []shard.SubRequest
	// Refused are the queued sub-requests that may no longer run.
	Refused []RefusedSub
	// WakeAt is the time of the next reevaluation, or zero.
	WakeAt time.Time
	// Event is the change that other hosts must be notified of, or nil.
	Event event.Event
}

// Complete records the outcome of a dispatched sub-request and returns its
// result and the effects on the server.
func (t *Table) Complete(sub shard.SubRequest, outcome shard.Outcome, took time.Duration, now time.Time) (shard.Result, Effects) {
	t.mu.Lock()
	defer t.mu.Unlock()
	result := shard.Result{SubID: sub.ID, Server: sub.Server, Outcome: outcome, Took: took}
	s, ok := t.servers[sub.Server]
	if !ok {
		// The server has left this owner, and its next owner takes over within a
		// moment. Senders would avoid a server that is reported as not usable.
		result.Stats.Server, result.Stats.Usable = sub.Server, true
		return result, Effects{}
	}
	published := s.recordOutcome(&sub, outcome, took, t.referenceLatency(s), now)
	effects := s.effects(now, published)
	result.Stats = s.stats(now)
	return result, effects
}

// Reevaluate checks a server for overdue replies and dequeues the sub-requests
// that can be dispatched now.
func (t *Table) Reevaluate(server string, now time.Time) Effects {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.servers[server]
	if !ok {
		return Effects{}
	}
	return s.effects(now, s.detectCold(t.referenceLatency(s), now))
}

// ActiveServers returns the servers with requests in progress or queued. The
// engine reevaluates them at intervals, because a server that never answers
// triggers no other call.
func (t *Table) ActiveServers() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var names []string
	for name, s := range t.servers {
		if len(s.UsedSlots) > 0 || s.queuedAhead(shard.Routine) > 0 {
			names = append(names, name)
		}
	}
	return names
}

// effects dequeues into free slots and returns the effects, with the given
// event.
func (s *Server) effects(now time.Time, published event.Event) Effects {
	effects := Effects{Event: published}
	var refused []droppedSub
	effects.Ready, refused = s.dequeue(now)
	for _, r := range refused {
		effects.Refused = append(effects.Refused, refusedResult(s, r.sub, r.reason, now))
	}
	effects.WakeAt = s.scheduleWake(now)
	return effects
}

// referenceLatency returns the service time with which replies of a server are
// compared: its own recent median, or the mean of the medians of its replicas
// while it has too few replies.
func (t *Table) referenceLatency(s *Server) time.Duration {
	if s.Latency.Count() >= minSamples {
		return s.Latency.Median()
	}
	var sum time.Duration
	n := 0
	for _, r := range t.replicas[s.Placed.Service.Name] {
		if r != s && r.Latency.Count() >= minSamples {
			sum += r.Latency.Median()
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / time.Duration(n)
}

func (t *Table) removeReplica(s *Server) {
	name := s.Placed.Service.Name
	t.replicas[name] = slices.DeleteFunc(t.replicas[name], func(r *Server) bool { return r == s })
	if len(t.replicas[name]) == 0 {
		delete(t.replicas, name)
	}
}

// ApplyReport updates a server's record from its state report.
func (t *Table) ApplyReport(report shard.StateReport, now time.Time) Effects {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.servers[report.Server]
	if !ok {
		return Effects{}
	}
	if !slices.EqualFunc(s.Versions, report.Versions, versionShardsEqual) {
		s.Versions = report.Versions
		s.CatalogRevision++
	}
	return s.effects(now, s.applyReport(report.Draining, now))
}

// MarkDraining records that a server is shutting down according to another
// source, such as a peer's event or the host list.
func (t *Table) MarkDraining(server string, now time.Time) Effects {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.servers[server]
	if !ok {
		return Effects{}
	}
	return s.effects(now, s.markDraining(now))
}

// MarkDown records that a server refused a connection.
func (t *Table) MarkDown(server string, now time.Time) Effects {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.servers[server]
	if !ok {
		return Effects{}
	}
	return s.effects(now, s.recordRefusal(fault.ReasonDown, now))
}

// Health returns the health of a server, and false if it is not owned.
func (t *Table) Health(server string) (Health, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.servers[server]
	if !ok {
		return nil, false
	}
	return s.Health, true
}

// Catalogs returns the catalogs of all owned servers.
func (t *Table) Catalogs() []shard.Catalog {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]shard.Catalog, 0, len(t.servers))
	for name, s := range t.servers {
		list = append(list, shard.Catalog{
			Server:   name,
			Service:  s.Placed.Service.Name,
			Revision: s.CatalogRevision,
			Versions: s.Versions,
		})
	}
	return list
}

// Stats returns the statistics of a server, and false if it is not owned.
func (t *Table) Stats(server string, now time.Time) (shard.ServerStats, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.servers[server]
	if !ok {
		return shard.ServerStats{Server: server}, false
	}
	return s.stats(now), true
}

// Owned returns the manifest entries of the owned servers, sorted by name.
func (t *Table) Owned() []config.PlacedServer {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]config.PlacedServer, 0, len(t.servers))
	for _, s := range t.servers {
		list = append(list, s.Placed)
	}
	slices.SortFunc(list, func(a, b config.PlacedServer) int { return cmp.Compare(a.Server.Name, b.Server.Name) })
	return list
}

// Names returns the names of the owned servers, sorted.
func (t *Table) Names() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Sorted(maps.Keys(t.servers))
}

func refusedResult(s *Server, sub shard.SubRequest, reason fault.Reason, now time.Time) RefusedSub {
	return RefusedSub{Sub: sub, Result: shard.Result{
		SubID:   sub.ID,
		Server:  sub.Server,
		Outcome: shard.Refused{Reason: reason, RetryAfter: s.retryAfter()},
		Stats:   s.stats(now),
	}}
}

func versionShardsEqual(a, b shard.VersionShards) bool {
	return a.Version == b.Version && slices.Equal(a.All, b.All) && slices.Equal(a.Shards, b.Shards)
}

// Placed returns the manifest entry of an owned server.
func (t *Table) Placed(server string) (config.PlacedServer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.servers[server]
	if !ok {
		return config.PlacedServer{}, false
	}
	return s.Placed, true
}
