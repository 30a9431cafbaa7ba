package owner

import (
	"slices"
	"sync"
	"time"

	"hyssophub/config"
	"hyssophub/fault"
	"hyssophub/shard"
)

// Table holds the servers that this daemon owns. Its lock comes after those of
// config, member, once, query and route, and before those of dial and work.
type Table struct {
	permit Permit

	mu      sync.Mutex
	servers map[string]*Server
}

// NewTable returns an empty table. permit is asked before each dispatch.
func NewTable(permit Permit) *Table {
	return &Table{permit: permit, servers: make(map[string]*Server)}
}

// Own makes the table hold exactly the given servers. Servers that are new
// start without state, and the queued sub-requests of lost ones are returned
// as refused.
func (t *Table) Own(placed []config.Placed) []Settled {
	t.mu.Lock()
	defer t.mu.Unlock()
	keep := make(map[string]bool, len(placed))
	for _, p := range placed {
		keep[p.Server.Name] = true
		if s, ok := t.servers[p.Server.Name]; ok {
			s.Placed = p
			continue
		}
		t.servers[p.Server.Name] = newServer(p)
	}
	var settled []Settled
	for name, s := range t.servers {
		if keep[name] {
			continue
		}
		for c := range s.Queue {
			for _, sub := range s.Queue[c] {
				settled = append(settled, refusedResult(s, sub, fault.ReasonNotOwner, time.Time{}))
			}
		}
		delete(t.servers, name)
	}
	return settled
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
	return s.admit(sub, now)
}

// Check is the last check before the first byte of a dispatch. On failure the
// slot is given back and the sub-request did not run.
func (t *Table) Check(sub shard.Sub, now time.Time) (fault.Reason, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.servers[sub.Server]
	if !ok {
		return fault.ReasonNotOwner, false
	}
	reason, ok := t.permit(sub.Server, now)
	if ok {
		reason, ok = s.admissible(sub, now)
	}
	if !ok {
		delete(s.Busy, sub.ID)
	}
	return reason, ok
}

// Settled is the end of a sub-request at the owner.
type Settled struct {
	Sub    shard.Sub
	Result shard.Result
}

// Complete records the outcome of a dispatched sub-request. It returns its
// result, the sub-requests that got a slot, and those that were refused on
// leaving the queue.
func (t *Table) Complete(sub shard.Sub, outcome shard.Outcome, took time.Duration, now time.Time) (shard.Result, []shard.Sub, []Settled) {
	t.mu.Lock()
	defer t.mu.Unlock()
	result := shard.Result{Sub: sub.ID, Server: sub.Server, Outcome: outcome, Took: took}
	s, ok := t.servers[sub.Server]
	if !ok {
		return result, nil, nil
	}
	s.settle(sub, outcome, took)
	ready, settled := t.release(s, now)
	result.Figures = s.figures(now)
	return result, ready, settled
}

// Wake returns the queued sub-requests of a server that can go out now.
func (t *Table) Wake(server string, now time.Time) ([]shard.Sub, []Settled) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.servers[server]
	if !ok {
		return nil, nil
	}
	return t.release(s, now)
}

func (t *Table) release(s *Server, now time.Time) ([]shard.Sub, []Settled) {
	ready, refused := s.next(now)
	settled := make([]Settled, 0, len(refused))
	for _, r := range refused {
		settled = append(settled, refusedResult(s, r.sub, r.reason, now))
	}
	return ready, settled
}

// Report takes over a server's own report and returns true if the server began
// to drain with it.
func (t *Table) Report(report shard.Report) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.servers[report.Server]
	if !ok {
		return false
	}
	if !slices.EqualFunc(s.Held, report.Held, heldEqual) {
		s.Held = report.Held
		s.Stamp++
	}
	began := report.Draining && !s.Draining
	s.Draining = report.Draining
	return began
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
func (t *Table) Owned() []config.Placed {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]config.Placed, 0, len(t.servers))
	for _, s := range t.servers {
		list = append(list, s.Placed)
	}
	slices.SortFunc(list, func(a, b config.Placed) int {
		if a.Server.Name < b.Server.Name {
			return -1
		}
		return 1
	})
	return list
}

// settle frees the slot of a finished sub-request where the outcome proves
// that the server is done with it, and records its service time.
func (s *Server) settle(sub shard.Sub, outcome shard.Outcome, took time.Duration) {
	switch o := outcome.(type) {
	case shard.Answered:
		delete(s.Busy, sub.ID)
		s.Latency.Add(took)
	case shard.Refused:
		delete(s.Busy, sub.ID)
		if o.Reason == fault.ReasonDraining {
			s.Draining = true
		}
	case shard.Failed:
		if _, ran := o.Verdict.(fault.Ran); ran {
			delete(s.Busy, sub.ID)
		}
	}
}

func refusedResult(s *Server, sub shard.Sub, reason fault.Reason, now time.Time) Settled {
	return Settled{Sub: sub, Result: shard.Result{
		Sub:     sub.ID,
		Server:  sub.Server,
		Outcome: shard.Refused{Reason: reason},
		Figures: s.figures(now),
	}}
}

func heldEqual(a, b shard.Held) bool {
	return a.Version == b.Version && slices.Equal(a.All, b.All) && slices.Equal(a.Shards, b.Shards)
}

// Placed returns an owned server's place in the manifest.
func (t *Table) Placed(server string) (config.Placed, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.servers[server]
	if !ok {
		return config.Placed{}, false
	}
	return s.Placed, true
}
