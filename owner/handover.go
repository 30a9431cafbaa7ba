package owner

import (
	"time"

	"hyssophub/config"
	"hyssophub/fault"
)

// HandoverState is the part of a server's record that its next owner continues
// with.
type HandoverState struct {
	Server string
	// WarmupProgress is the progress of the ramp, from 0 (cold) to 1 (warm).
	WarmupProgress float64
	Draining       bool
	// SlotTimes holds, for each slot in use, the time after which it is free at
	// the latest.
	SlotTimes []time.Duration
	// MedianLatency is the recent median service time.
	MedianLatency time.Duration
}

// importedStateTTL is how long a state that arrived before the ownership
// remains valid. After that time the server may have become cold.
const importedStateTTL = 5 * time.Second

// Takeover describes how a new owner takes over servers.
type Takeover struct {
	// ReserveFor is how long all slots of a server without an imported state
	// stay reserved for requests that the previous owner may still have in
	// progress.
	ReserveFor time.Duration
	// Unconfirmed means that the store has not confirmed the takeover. The
	// servers are limited to the cold floor until ConfirmTakeover.
	Unconfirmed bool
}

type importedState struct {
	state HandoverState
	at    time.Time
}

// SetOwned replaces the set of owned servers. New servers start with the state
// that ImportStates stored, or else cold. The queued sub-requests of removed
// servers are returned as refused.
func (t *Table) SetOwned(placed []config.PlacedServer, takeover Takeover, now time.Time) []RefusedSub {
	t.mu.Lock()
	defer t.mu.Unlock()
	keep := make(map[string]bool, len(placed))
	for _, p := range placed {
		keep[p.Server.Name] = true
		if s, ok := t.servers[p.Server.Name]; ok {
			t.updatePlacement(s, p)
			continue
		}
		t.addServer(p, takeover, now)
	}
	var refused []RefusedSub
	for name, s := range t.servers {
		if keep[name] {
			continue
		}
		refused = append(refused, s.refuseQueued(now)...)
		delete(t.servers, name)
		t.removeReplica(s)
	}
	return refused
}

func (t *Table) addServer(placed config.PlacedServer, takeover Takeover, now time.Time) {
	s := newServer(placed, now.Add(takeover.ReserveFor))
	s.Unconfirmed = takeover.Unconfirmed
	if a, ok := t.imported[placed.Server.Name]; ok {
		delete(t.imported, placed.Server.Name)
		if now.Sub(a.at) < importedStateTTL {
			s.importState(a.state, a.at)
		}
	}
	t.servers[placed.Server.Name] = s
	t.replicas[placed.Service.Name] = append(t.replicas[placed.Service.Name], s)
}

// updatePlacement replaces the manifest entry of a server. A new address means
// another process whose state is unknown, so that the server starts cold.
func (t *Table) updatePlacement(s *Server, placed config.PlacedServer) {
	if s.Placed.Server.Address != placed.Server.Address {
		s.resetRamp(Cold{})
	}
	if s.Placed.Service.Name != placed.Service.Name {
		t.removeReplica(s)
		t.replicas[placed.Service.Name] = append(t.replicas[placed.Service.Name], s)
	}
	s.Placed = placed
}

// ConfirmTakeover ends the restriction to the cold floor for takeovers that the
// store has confirmed.
func (t *Table) ConfirmTakeover(servers []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, name := range servers {
		if s, ok := t.servers[name]; ok {
			s.Unconfirmed = false
		}
	}
}

// Release stops dispatch to the servers. It returns the states for their next
// owner, and their queued sub-requests as refused. Sub-requests in progress
// complete as usual.
func (t *Table) Release(servers []string, now time.Time) ([]HandoverState, []RefusedSub) {
	t.mu.Lock()
	defer t.mu.Unlock()
	states := make([]HandoverState, 0, len(servers))
	var refused []RefusedSub
	for _, name := range servers {
		s, ok := t.servers[name]
		if !ok || s.Released {
			continue
		}
		s.Released = true
		refused = append(refused, s.refuseQueued(now)...)
		states = append(states, s.exportState(now))
	}
	return states, refused
}

// ImportStates imports states from the previous owner. A state may arrive
// before or after the ownership. A server that this table released accepts work
// again after its state is imported.
func (t *Table) ImportStates(states []HandoverState, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, a := range t.imported {
		if now.Sub(a.at) >= importedStateTTL {
			delete(t.imported, name)
		}
	}
	for _, state := range states {
		if s, ok := t.servers[state.Server]; ok {
			s.importState(state, now)
			continue
		}
		t.imported[state.Server] = importedState{state: state, at: now}
	}
}

// exportState returns the state for the next owner. It omits sub-requests that
// occupy a slot but were not sent, because CheckDispatch will refuse them.
func (s *Server) exportState(now time.Time) HandoverState {
	s.freeExpired(now)
	state := HandoverState{Server: s.Placed.Server.Name, MedianLatency: s.Latency.Median()}
	switch h := s.Health.(type) {
	case Warm:
		state.WarmupProgress = 1
	case Warming:
		state.WarmupProgress = h.Progress
	case Draining:
		state.Draining = true
	}
	if s.Unconfirmed {
		state.WarmupProgress = 0
	}
	for _, b := range s.UsedSlots {
		if b.SubID == 0 || !b.Sent.IsZero() || b.OutcomeUnknown {
			state.SlotTimes = append(state.SlotTimes, b.Expiry.Sub(now))
		}
	}
	return state
}

// importState continues from the previous owner's state. The slots that the
// previous owner reports as in use replace the reservation that was made
// without this information.
func (s *Server) importState(state HandoverState, now time.Time) {
	s.freeSlot(0)
	for _, left := range state.SlotTimes {
		s.UsedSlots = append(s.UsedSlots, Slot{Expiry: now.Add(left)})
	}
	s.Released = false
	if _, fresh := s.Health.(Cold); fresh {
		s.Health = importedHealth(state, now)
		if state.MedianLatency > 0 && s.Latency.Count() == 0 {
			for range minSamples {
				s.Latency.Add(state.MedianLatency)
			}
		}
	}
}

func importedHealth(state HandoverState, now time.Time) Health {
	switch {
	case state.Draining:
		return Draining{LastSignal: now}
	case state.WarmupProgress >= 1:
		return Warm{}
	case state.WarmupProgress > 0:
		return Warming{Progress: state.WarmupProgress}
	default:
		return Cold{}
	}
}

// refuseQueued removes all queued sub-requests and returns them as refused.
// They did not run.
func (s *Server) refuseQueued(now time.Time) []RefusedSub {
	var refused []RefusedSub
	for c := range s.Queue {
		for _, sub := range s.Queue[c] {
			refused = append(refused, refusedResult(s, *sub, fault.ReasonNotOwner, now))
		}
		s.Queue[c] = nil
	}
	return refused
}
