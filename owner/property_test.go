package owner

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"hyssophub/config"
	"hyssophub/fault"
	"hyssophub/shard"
)

// serverModel models one server: the requests that it works on, by the time at
// which it drops them at the latest, and the times of the dispatches to it.
type serverModel struct {
	inProgress map[uint64]time.Time
	dispatches []time.Time
}

// ownerMachine runs two owners of one server through admissions, answers,
// failures and handovers.
type ownerMachine struct {
	tables [2]*Table
	owner  int
	placed config.PlacedServer
	now    time.Time
	lastID uint64
	// admitted holds the sub-requests that have a slot but were not yet checked
	// for dispatch, and sent those in progress on the server, each with the
	// table that admitted it.
	admitted []tableSub
	sent     []tableSub
	server   serverModel
}

type tableSub struct {
	table int
	sub   shard.SubRequest
}

func newOwnerMachine(slots int) *ownerMachine {
	m := &ownerMachine{placed: testPlaced(testService("entries", slots), "s1"), now: startTime, server: serverModel{inProgress: make(map[uint64]time.Time)}}
	for i := range m.tables {
		m.tables[i] = NewTable(permitAll)
	}
	m.tables[0].SetOwned([]config.PlacedServer{m.placed}, Takeover{}, m.now)
	return m
}

func (m *ownerMachine) admit(t *rapid.T) {
	m.lastID++
	left := time.Duration(rapid.IntRange(1, 400).Draw(t, "left")) * time.Millisecond
	class := shard.Class(rapid.IntRange(0, 1).Draw(t, "class"))
	sub := testSub(m.lastID, "s1", class, m.now.Add(left))
	sub.Hedge = rapid.IntRange(0, 9).Draw(t, "hedge") == 0
	if _, ok := m.tables[m.owner].Admit(sub, m.now).(Dispatch); ok {
		m.admitted = append(m.admitted, tableSub{m.owner, sub})
	}
}

func (m *ownerMachine) addReady(table int, effects Effects) {
	for _, sub := range effects.Ready {
		m.admitted = append(m.admitted, tableSub{table, sub})
	}
}

// check sends an admitted sub-request if CheckDispatch allows it.
func (m *ownerMachine) check(t *rapid.T) {
	o, ok := drawSub(t, &m.admitted)
	if !ok {
		return
	}
	if _, reason, ok := m.tables[o.table].CheckDispatch(o.sub, m.now); !ok {
		m.complete(o, shard.Refused{Reason: reason}, 0)
		return
	}
	m.server.inProgress[o.sub.ID] = o.sub.Deadline.Add(slotGrace)
	m.server.dispatches = append(m.server.dispatches, m.now)
	m.sent = append(m.sent, o)
}

// answer completes a sent sub-request. After a failure the server still works
// on it.
func (m *ownerMachine) answer(t *rapid.T) {
	o, ok := drawSub(t, &m.sent)
	if !ok {
		return
	}
	switch rapid.IntRange(0, 4).Draw(t, "outcome") {
	case 0:
		m.complete(o, shard.Failed{Verdict: fault.MayHaveRun{}, Reason: fault.ReasonDeadline}, time.Second)
	case 1:
		delete(m.server.inProgress, o.sub.ID)
		m.complete(o, shard.Refused{Reason: fault.ReasonShed}, time.Millisecond)
	default:
		delete(m.server.inProgress, o.sub.ID)
		took := time.Duration(rapid.SampledFrom([]int{5, 5, 5, 100}).Draw(t, "took")) * time.Millisecond
		m.complete(o, shard.Answered{}, took)
	}
}

func (m *ownerMachine) complete(o tableSub, outcome shard.Outcome, took time.Duration) {
	_, effects := m.tables[o.table].Complete(o.sub, outcome, took, m.now)
	m.addReady(o.table, effects)
}

func (m *ownerMachine) passTime(t *rapid.T) { m.advance(rapid.IntRange(1, 700).Draw(t, "pass")) }

// burst admits, sends and completes requests as fast as the table allows for
// about a second.
func (m *ownerMachine) burst(t *rapid.T) {
	for range 20 {
		m.admit(t)
		m.check(t)
		m.advance(rapid.IntRange(1, 100).Draw(t, "step"))
		m.answer(t)
	}
}

func (m *ownerMachine) advance(ms int) {
	m.now = m.now.Add(time.Duration(ms) * time.Millisecond)
	for id, bound := range m.server.inProgress {
		if !m.now.Before(bound) {
			delete(m.server.inProgress, id)
		}
	}
	m.addReady(m.owner, m.tables[m.owner].Reevaluate("s1", m.now))
}

// handOver moves the server to the other owner.
func (m *ownerMachine) handOver(*rapid.T) {
	old, next := m.owner, 1-m.owner
	states, _ := m.tables[old].Release([]string{"s1"}, m.now)
	m.tables[next].ImportStates(states, m.now)
	m.tables[next].SetOwned([]config.PlacedServer{m.placed}, Takeover{}, m.now)
	m.tables[old].SetOwned(nil, Takeover{}, m.now)
	m.owner = next
}

func drawSub(t *rapid.T, list *[]tableSub) (tableSub, bool) {
	if len(*list) == 0 {
		return tableSub{}, false
	}
	i := rapid.IntRange(0, len(*list)-1).Draw(t, "which")
	o := (*list)[i]
	*list = append((*list)[:i], (*list)[i+1:]...)
	return o, true
}

// TestSlotLimitAcrossHandovers guards against more requests in progress on a
// server than it has slots, which failures, expired slots and changes of the
// owner could cause.
func TestSlotLimitAcrossHandovers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		m := newOwnerMachine(slots)
		if rapid.Bool().Draw(t, "warm") {
			m.tables[0].ImportStates([]HandoverState{warmState("s1", 5*time.Millisecond)}, m.now)
		}
		t.Repeat(map[string]func(*rapid.T){
			"admit": m.admit, "check": m.check, "end": m.answer, "pass": m.passTime, "handover": m.handOver,
			"": func(t *rapid.T) {
				if len(m.server.inProgress) > slots {
					t.Fatalf("%d requests in progress on %d slots", len(m.server.inProgress), slots)
				}
			},
		})
	})
}

// TestColdServerRateLimit guards against more dispatches to a cold server in
// any second than its floor, and against two requests in progress at once. The
// takeover is not confirmed, so that the server stays cold.
func TestColdServerRateLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newOwnerMachine(4)
		m.tables[0] = NewTable(permitAll)
		m.tables[0].SetOwned([]config.PlacedServer{m.placed}, Takeover{Unconfirmed: true}, m.now)
		t.Repeat(map[string]func(*rapid.T){
			"admit": m.admit, "check": m.check, "end": m.answer, "pass": m.passTime, "burst": m.burst,
			"": func(t *rapid.T) {
				if len(m.server.inProgress) > 1 {
					t.Fatalf("%d requests in progress on a cold server", len(m.server.inProgress))
				}
				floor := m.placed.Service.Floor
				if n := len(m.server.dispatches); n > floor && m.server.dispatches[n-1].Sub(m.server.dispatches[n-1-floor]) < time.Second {
					t.Fatalf("%d dispatches to a cold server within %v", floor+1, m.server.dispatches[n-1].Sub(m.server.dispatches[n-1-floor]))
				}
			},
		})
	})
}
