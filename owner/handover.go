package owner

import (
	"time"

	"hyssophub/config"
	"hyssophub/fault"
)

// State is the part of a server's record that its next owner continues with.
type State struct {
	Server string
	// Warm is the progress of the ramp, from 0 (cold) to 1 (warm).
	Warm     float64
	Draining bool
	// Busy holds, for each slot in use, the time until it is free at the
	// latest.
	Busy []time.Duration
	// Latency is the recent median service time.
	Latency time.Duration
}

// adoptHold is how long a state that arrived before the ownership is kept. The
// server may have turned cold after that time.
const adoptHold = 5 * time.Second

// Takeover says how servers come to a new owner.
type Takeover struct {
	// Reserve is how long a predecessor without a handover may still occupy
	// the servers' slots.
	Reserve time.Duration
	// Unconfirmed means that the store has not confirmed the takeover. The
	// servers stay at the cold floor until Confirm.
	Unconfirmed bool
}

type adopted struct {
	state State
	at    time.Time
}

// Own makes the table hold exactly the given servers. Servers that are new
// take over the state that Adopt brought, or else are cold. The queued
// sub-requests of lost servers are returned as refused.
func (t *Table) Own(placed []config.PlacedServer, takeover Takeover, now time.Time) []Settled {
	t.mu.Lock()
	defer t.mu.Unlock()
	keep := make(map[string]bool, len(placed))
	for _, p := range placed {
		keep[p.Server.Name] = true
		if s, ok := t.servers[p.Server.Name]; ok {
			t.move(s, p)
			continue
		}
		t.begin(p, takeover, now)
	}
	var settled []Settled
	for name, s := range t.servers {
		if keep[name] {
			continue
		}
		settled = append(settled, s.flush(now)...)
		delete(t.servers, name)
		t.unlink(s)
	}
	return settled
}

func (t *Table) begin(placed config.PlacedServer, takeover Takeover, now time.Time) {
	s := newServer(placed, now.Add(takeover.Reserve))
	s.Unconfirmed = takeover.Unconfirmed
	if a, ok := t.adopted[placed.Server.Name]; ok {
		delete(t.adopted, placed.Server.Name)
		if now.Sub(a.at) < adoptHold {
			s.adopt(a.state, a.at)
		}
	}
	t.servers[placed.Server.Name] = s
	t.replicas[placed.Service.Name] = append(t.replicas[placed.Service.Name], s)
}

// move takes over a new manifest entry. A server at another address is another
// process, of which nothing is known.
func (t *Table) move(s *Server, placed config.PlacedServer) {
	if s.Placed.Server.Address != placed.Server.Address {
		s.restart(Cold{})
	}
	if s.Placed.Service.Name != placed.Service.Name {
		t.unlink(s)
		t.replicas[placed.Service.Name] = append(t.replicas[placed.Service.Name], s)
	}
	s.Placed = placed
}

// Confirm lifts the floor of takeovers that the store has confirmed.
func (t *Table) Confirm(servers []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, name := range servers {
		if s, ok := t.servers[name]; ok {
			s.Unconfirmed = false
		}
	}
}

// Release stops dispatch to the servers and returns the state for their next
// owner together with their queued sub-requests as refused. Sub-requests in
// progress end as usual.
func (t *Table) Release(servers []string, now time.Time) ([]State, []Settled) {
	t.mu.Lock()
	defer t.mu.Unlock()
	states := make([]State, 0, len(servers))
	var settled []Settled
	for _, name := range servers {
		s, ok := t.servers[name]
		if !ok || s.Released {
			continue
		}
		s.Released = true
		settled = append(settled, s.flush(now)...)
		states = append(states, s.state(now))
	}
	return states, settled
}

// Adopt takes over states from the last owner. A state can arrive before or
// after the ownership; it also takes back servers that this table released.
func (t *Table) Adopt(states []State, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, a := range t.adopted {
		if now.Sub(a.at) >= adoptHold {
			delete(t.adopted, name)
		}
	}
	for _, state := range states {
		if s, ok := t.servers[state.Server]; ok {
			s.adopt(state, now)
			continue
		}
		t.adopted[state.Server] = adopted{state: state, at: now}
	}
}

// state returns what the next owner needs. A sub-request that holds a slot but
// was not sent will be refused by the last check and is left out.
func (s *Server) state(now time.Time) State {
	s.expire(now)
	state := State{Server: s.Placed.Server.Name, Latency: s.Latency.Median()}
	switch h := s.Health.(type) {
	case Warm:
		state.Warm = 1
	case Warming:
		state.Warm = h.Progress
	case Draining:
		state.Draining = true
	}
	if s.Unconfirmed {
		state.Warm = 0
	}
	for _, b := range s.Busy {
		if b.Sub == 0 || !b.Sent.IsZero() || b.Answerless {
			state.Busy = append(state.Busy, b.Bound.Sub(now))
		}
	}
	return state
}

// adopt continues from the last owner's state. The slots that the last owner
// occupies replace the reservation made without knowledge of them.
func (s *Server) adopt(state State, now time.Time) {
	s.vacate(0)
	for _, left := range state.Busy {
		s.Busy = append(s.Busy, Slot{Bound: now.Add(left)})
	}
	s.Released = false
	if _, fresh := s.Health.(Cold); fresh {
		s.Health = healthOf(state, now)
		if state.Latency > 0 && s.Latency.Count() == 0 {
			for range judgeCount {
				s.Latency.Add(state.Latency)
			}
		}
	}
}

func healthOf(state State, now time.Time) Health {
	switch {
	case state.Draining:
		return Draining{Since: now}
	case state.Warm >= 1:
		return Warm{}
	case state.Warm > 0:
		return Warming{Progress: state.Warm}
	default:
		return Cold{}
	}
}

// flush empties the queues. Their sub-requests did not run.
func (s *Server) flush(now time.Time) []Settled {
	var settled []Settled
	for c := range s.Queue {
		for _, sub := range s.Queue[c] {
			settled = append(settled, refusedResult(s, *sub, fault.ReasonNotOwner, now))
		}
		s.Queue[c] = nil
	}
	return settled
}
