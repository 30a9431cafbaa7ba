package owner

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"hyssophub/config"
	"hyssophub/fault"
	"hyssophub/shard"
)

// backend is the truth about one server: the requests that it works on, which
// it drops by their bounds at the latest, and the times of its dispatches.
type backend struct {
	working map[uint64]time.Time
	sent    []time.Time
}

// machine drives two owners of one server through admissions, answers,
// failures, cancellations and handovers.
type machine struct {
	tables [2]*Table
	active int
	placed config.PlacedServer
	now    time.Time
	next   uint64
	// admitted holds the sub-requests between the slot and the last check, and
	// sent those that the server got, by the table that sent them.
	admitted []owned
	sent     []owned
	server   backend
}

type owned struct {
	table int
	sub   shard.Sub
}

func newMachine(slots int) *machine {
	m := &machine{placed: place(testService("entries", slots), "s1"), now: epoch, server: backend{working: make(map[uint64]time.Time)}}
	for i := range m.tables {
		m.tables[i] = NewTable(permitAll)
	}
	m.tables[0].Own([]config.PlacedServer{m.placed}, Takeover{}, m.now)
	return m
}

func (m *machine) admit(t *rapid.T) {
	m.next++
	left := time.Duration(rapid.IntRange(1, 400).Draw(t, "left")) * time.Millisecond
	class := shard.Class(rapid.IntRange(0, 1).Draw(t, "class"))
	sub := testSub(m.next, "s1", class, m.now.Add(left))
	sub.Hedge = rapid.IntRange(0, 9).Draw(t, "hedge") == 0
	if _, ok := m.tables[m.active].Admit(sub, m.now).(Dispatch); ok {
		m.admitted = append(m.admitted, owned{m.active, sub})
	}
}

func (m *machine) follow(table int, turn Turn) {
	for _, sub := range turn.Ready {
		m.admitted = append(m.admitted, owned{table, sub})
	}
}

// check sends an admitted sub-request if the last check allows it.
func (m *machine) check(t *rapid.T) {
	o, ok := take(t, &m.admitted)
	if !ok {
		return
	}
	if _, reason, ok := m.tables[o.table].Check(o.sub, m.now); !ok {
		m.complete(o, shard.Refused{Reason: reason}, 0)
		return
	}
	m.server.working[o.sub.ID] = o.sub.Deadline.Add(slotGrace)
	m.server.sent = append(m.server.sent, m.now)
	m.sent = append(m.sent, o)
}

// end completes a sent sub-request. A failure leaves it with the server.
func (m *machine) end(t *rapid.T) {
	o, ok := take(t, &m.sent)
	if !ok {
		return
	}
	switch rapid.IntRange(0, 4).Draw(t, "outcome") {
	case 0:
		m.complete(o, shard.Failed{Verdict: fault.MayHaveRun{}, Reason: fault.ReasonDeadline}, time.Second)
	case 1:
		delete(m.server.working, o.sub.ID)
		m.complete(o, shard.Refused{Reason: fault.ReasonShed}, time.Millisecond)
	default:
		delete(m.server.working, o.sub.ID)
		took := time.Duration(rapid.SampledFrom([]int{5, 5, 5, 100}).Draw(t, "took")) * time.Millisecond
		m.complete(o, shard.Answered{}, took)
	}
}

func (m *machine) complete(o owned, outcome shard.Outcome, took time.Duration) {
	_, turn := m.tables[o.table].Complete(o.sub, outcome, took, m.now)
	m.follow(o.table, turn)
}

func (m *machine) pass(t *rapid.T) { m.advance(rapid.IntRange(1, 700).Draw(t, "pass")) }

// burst keeps the server as busy as the table allows for about a second.
func (m *machine) burst(t *rapid.T) {
	for range 20 {
		m.admit(t)
		m.check(t)
		m.advance(rapid.IntRange(1, 100).Draw(t, "step"))
		m.end(t)
	}
}

func (m *machine) advance(ms int) {
	m.now = m.now.Add(time.Duration(ms) * time.Millisecond)
	for id, bound := range m.server.working {
		if !m.now.Before(bound) {
			delete(m.server.working, id)
		}
	}
	m.follow(m.active, m.tables[m.active].Wake("s1", m.now))
}

// handOver moves the server to the other owner.
func (m *machine) handOver(*rapid.T) {
	old, next := m.active, 1-m.active
	states, _ := m.tables[old].Release([]string{"s1"}, m.now)
	m.tables[next].Adopt(states, m.now)
	m.tables[next].Own([]config.PlacedServer{m.placed}, Takeover{}, m.now)
	m.tables[old].Own(nil, Takeover{}, m.now)
	m.active = next
}

func take(t *rapid.T, list *[]owned) (owned, bool) {
	if len(*list) == 0 {
		return owned{}, false
	}
	i := rapid.IntRange(0, len(*list)-1).Draw(t, "which")
	o := (*list)[i]
	*list = append((*list)[:i], (*list)[i+1:]...)
	return o, true
}

// TestSlotsHoldThroughHandovers guards the slots of a server against more
// requests than it bears, through failures, bounds and changes of the owner.
func TestSlotsHoldThroughHandovers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		m := newMachine(slots)
		if rapid.Bool().Draw(t, "warm") {
			m.tables[0].Adopt([]State{warm("s1", 5*time.Millisecond)}, m.now)
		}
		t.Repeat(map[string]func(*rapid.T){
			"admit": m.admit, "check": m.check, "end": m.end, "pass": m.pass, "handover": m.handOver,
			"": func(t *rapid.T) {
				if len(m.server.working) > slots {
					t.Fatalf("%d requests in progress on %d slots", len(m.server.working), slots)
				}
			},
		})
	})
}

// TestColdFloorHolds guards a cold server against more than its floor in any
// second and against two requests at once, through handovers. The takeover is
// not confirmed, so that the server stays cold.
func TestColdFloorHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(4)
		m.tables[0] = NewTable(permitAll)
		m.tables[0].Own([]config.PlacedServer{m.placed}, Takeover{Unconfirmed: true}, m.now)
		t.Repeat(map[string]func(*rapid.T){
			"admit": m.admit, "check": m.check, "end": m.end, "pass": m.pass, "burst": m.burst,
			"": func(t *rapid.T) {
				if len(m.server.working) > 1 {
					t.Fatalf("%d requests in progress on a cold server", len(m.server.working))
				}
				floor := m.placed.Service.Floor
				if n := len(m.server.sent); n > floor && m.server.sent[n-1].Sub(m.server.sent[n-1-floor]) < time.Second {
					t.Fatalf("%d dispatches within %v", floor+1, m.server.sent[n-1].Sub(m.server.sent[n-1-floor]))
				}
			},
		})
	})
}
