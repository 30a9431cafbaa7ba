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

// Table holds the servers that this daemon owns. Its lock comes after those of
// config, member, once, query and route, and before those of dial and work.
type Table struct {
	permit Permit

	mu       sync.Mutex
	servers  map[string]*Server
	replicas map[string][]*Server
	adopted  map[string]adopted
}

// NewTable returns an empty table. permit is asked before each dispatch.
func NewTable(permit Permit) *Table {
	return &Table{
		permit:   permit,
		servers:  make(map[string]*Server),
		replicas: make(map[string][]*Server),
		adopted:  make(map[string]adopted),
	}
}

// Admit decides on a sub-request.
func (t *Table) Admit(sub shard.Sub, now time.Time) Decision {
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

// Check is the last check before the first byte of a dispatch. It returns the
// server's place in the manifest. On failure the slot is given back and the
// sub-request did not run.
func (t *Table) Check(sub shard.Sub, now time.Time) (config.PlacedServer, fault.Reason, bool) {
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
	slot := s.slot(sub.ID)
	if ok && (slot == nil || slot.Epoch != s.Epoch) {
		reason, ok = fault.ReasonCold, false
	}
	if !ok {
		s.vacate(sub.ID)
		return config.PlacedServer{}, reason, false
	}
	slot.Sent = now
	// The interval counts from the dispatch, not from the admission, so that
	// a late worker does not bring two dispatches together.
	s.Earliest = now.Add(s.limit().Interval)
	return s.Placed, "", true
}

// Settled is the end of a sub-request at the owner.
type Settled struct {
	Sub    shard.Sub
	Result shard.Result
}

// Turn is what follows from a change of a server's record.
type Turn struct {
	// Ready are the sub-requests that got a slot.
	Ready []shard.Sub
	// Settled are those that were refused on leaving the queue.
	Settled []Settled
	// Wake is the time of the next look at the queue, or zero.
	Wake time.Time
	// Event is what other hosts must hear of, or nil.
	Event event.Event
}

// Complete records the outcome of a dispatched sub-request and returns its
// result and what follows.
func (t *Table) Complete(sub shard.Sub, outcome shard.Outcome, took time.Duration, now time.Time) (shard.Result, Turn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	result := shard.Result{Sub: sub.ID, Server: sub.Server, Outcome: outcome, Took: took}
	s, ok := t.servers[sub.Server]
	if !ok {
		result.Figures.Server = sub.Server
		return result, Turn{}
	}
	happened := s.settle(&sub, outcome, took, t.reference(s), now)
	turn := s.turn(now, happened)
	result.Figures = s.figures(now)
	return result, turn
}

// Wake returns the queued sub-requests of a server that can go out now.
func (t *Table) Wake(server string, now time.Time) Turn {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.servers[server]
	if !ok {
		return Turn{}
	}
	return s.turn(now, s.judge(t.reference(s), now))
}

// Sweep returns the servers with requests in progress or waiting. They need a
// look by Wake, because a server that never answers causes no other call.
func (t *Table) Sweep() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var names []string
	for name, s := range t.servers {
		if len(s.Busy) > 0 || s.waiting(shard.Routine) > 0 {
			names = append(names, name)
		}
	}
	return names
}

// turn gives free slots to the queue.
func (s *Server) turn(now time.Time, happened event.Event) Turn {
	turn := Turn{Event: happened}
	var refused []refusal
	turn.Ready, refused = s.next(now)
	for _, r := range refused {
		turn.Settled = append(turn.Settled, refusedResult(s, r.sub, r.reason, now))
	}
	turn.Wake = s.alarm(now)
	return turn
}

// reference returns the service time that a server is judged by: its own
// recent median, or the mean of its replicas' while it has too few replies.
func (t *Table) reference(s *Server) time.Duration {
	if s.Latency.Count() >= judgeCount {
		return s.Latency.Median()
	}
	var sum time.Duration
	n := 0
	for _, r := range t.replicas[s.Placed.Service.Name] {
		if r != s && r.Latency.Count() >= judgeCount {
			sum += r.Latency.Median()
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / time.Duration(n)
}

func (t *Table) unlink(s *Server) {
	name := s.Placed.Service.Name
	t.replicas[name] = slices.DeleteFunc(t.replicas[name], func(r *Server) bool { return r == s })
	if len(t.replicas[name]) == 0 {
		delete(t.replicas, name)
	}
}

// Report takes over a server's own report.
func (t *Table) Report(report shard.Report, now time.Time) Turn {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.servers[report.Server]
	if !ok {
		return Turn{}
	}
	if !slices.EqualFunc(s.Held, report.Held, heldEqual) {
		s.Held = report.Held
		s.Stamp++
	}
	return s.turn(now, s.reported(report.Draining, now))
}

// Drain records a signal from elsewhere that a server leaves, such as a
// peer's event or the host list.
func (t *Table) Drain(server string, now time.Time) Turn {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.servers[server]
	if !ok {
		return Turn{}
	}
	return s.turn(now, s.drain(now))
}

// Down records that a server refused a connection.
func (t *Table) Down(server string, now time.Time) Turn {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.servers[server]
	if !ok {
		return Turn{}
	}
	return s.turn(now, s.refused(fault.ReasonDown, now))
}

// Health returns the state of a server, and false if it is not owned.
func (t *Table) Health(server string) (Health, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.servers[server]
	if !ok {
		return nil, false
	}
	return s.Health, true
}

// Catalog returns the catalogs of all owned servers.
func (t *Table) Catalog() []shard.Catalog {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]shard.Catalog, 0, len(t.servers))
	for name, s := range t.servers {
		list = append(list, shard.Catalog{
			Server:  name,
			Service: s.Placed.Service.Name,
			Stamp:   s.Stamp,
			Held:    s.Held,
		})
	}
	return list
}

// Figures returns the figures of a server, and false if it is not owned.
func (t *Table) Figures(server string, now time.Time) (shard.Figures, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.servers[server]
	if !ok {
		return shard.Figures{Server: server}, false
	}
	return s.figures(now), true
}

// Owned returns the servers that the table holds, sorted by name.
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

// Names returns the names of the servers that the table holds, sorted.
func (t *Table) Names() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Sorted(maps.Keys(t.servers))
}

func refusedResult(s *Server, sub shard.Sub, reason fault.Reason, now time.Time) Settled {
	return Settled{Sub: sub, Result: shard.Result{
		Sub:     sub.ID,
		Server:  sub.Server,
		Outcome: shard.Refused{Reason: reason, RetryAfter: s.pause()},
		Figures: s.figures(now),
	}}
}

func heldEqual(a, b shard.Held) bool {
	return a.Version == b.Version && slices.Equal(a.All, b.All) && slices.Equal(a.Shards, b.Shards)
}

// Placed returns an owned server's place in the manifest.
func (t *Table) Placed(server string) (config.PlacedServer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.servers[server]
	if !ok {
		return config.PlacedServer{}, false
	}
	return s.Placed, true
}
