package member

import (
	"fmt"
	"time"
)

// Time step, network delay and store latency of the model.
const (
	modelStep         = 10 * time.Millisecond
	modelNetworkDelay = 10 * time.Millisecond
	modelStoreLatency = 20 * time.Millisecond
)

var modelStart = time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)

// model runs the tables of all hosts of one zone over a simulated network and a
// simulated store.
type model struct {
	now         time.Time
	hosts       []*modelHost
	roster      Roster
	storeDown   bool
	partitioned map[[2]int]bool
	pending     []delayedCall
	groups      []string
	overlaps    []string
}

type modelHost struct {
	host   Host
	table  *Table
	dead   bool
	paused bool
	tick   time.Time
}

// delayedCall is a message or store call that takes effect at a later time.
type delayedCall struct {
	at  time.Time
	run func()
}

func newModel(hosts int) *model {
	m := &model{now: modelStart, partitioned: make(map[[2]int]bool)}
	for i := range 12 {
		m.groups = append(m.groups, fmt.Sprintf("a/judging/%d", i))
	}
	for i := range hosts {
		m.hosts = append(m.hosts, &modelHost{})
		m.startHost(i)
	}
	return m
}

// startHost replaces a host by a new incarnation.
func (m *model) startHost(i int) {
	h := m.hosts[i]
	name := fmt.Sprintf("h%d", i)
	*h = modelHost{host: Host{Name: name, Zone: "a", PeerAddr: name, HeartbeatAddr: name, Incarnation: uint64(m.now.UnixNano())}}
	h.table = NewTable(h.host, DefaultTiming())
	var discovered []Host
	for j := range m.hosts {
		name := fmt.Sprintf("h%d", j)
		discovered = append(discovered, Host{Name: name, Zone: "a", PeerAddr: name, HeartbeatAddr: name})
	}
	h.table.SetDiscoveredHosts(discovered)
	h.table.SetGroups(map[string][]string{"a": m.groups})
}

func (m *model) after(delay time.Duration, run func()) {
	m.pending = append(m.pending, delayedCall{at: m.now.Add(delay), run: run})
}

// run advances the simulated time and records each moment at which two hosts
// may dispatch to the same group.
func (m *model) run(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); {
		m.now = m.now.Add(modelStep)
		m.recordOverlaps()
		due := m.pending
		m.pending = nil
		for _, c := range due {
			if c.at.After(m.now) {
				m.pending = append(m.pending, c)
				continue
			}
			c.run()
		}
		for i, h := range m.hosts {
			if !h.dead && !h.paused && m.now.Sub(h.tick) >= TickInterval {
				h.tick = m.now
				m.perform(i, h, h.table.Tick(m.now))
			}
		}
		m.recordOverlaps()
	}
}

func (m *model) recordOverlaps() {
	for _, g := range m.groups {
		if owners := m.dispatchers(g); len(owners) > 1 && len(m.overlaps) < 5 {
			m.overlaps = append(m.overlaps, fmt.Sprintf("%s %s %v", m.now.Sub(modelStart), g, owners))
		}
	}
}

func (m *model) dispatchers(group string) []string {
	var names []string
	for _, h := range m.hosts {
		if !h.dead && !h.paused && h.table.MayDispatch(group, m.now) {
			names = append(names, h.host.Name)
		}
	}
	return names
}

func (m *model) perform(i int, h *modelHost, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case SendHeartbeat:
			m.send(i, a)
		case ReadRoster:
			m.call(i, h, a.Call, func() {})
		case SwapRoster:
			m.call(i, h, a.Call, func() {
				if a.Revision == m.roster.Revision {
					m.roster = a.Roster
					m.roster.Revision = a.Revision + 1
				}
			})
		case OwnershipChanged, FetchConfig, ForwardConfirmation:
		}
	}
}

func (m *model) send(from int, a SendHeartbeat) {
	for to, h := range m.hosts {
		if h.host.Name != a.To.Name || m.partitioned[[2]int{from, to}] {
			continue
		}
		m.after(modelNetworkDelay, func() { m.deliver(to, a.Heartbeat) })
	}
}

// deliver passes a message to a host. A paused host receives the message when
// it resumes.
func (m *model) deliver(to int, b Heartbeat) {
	h := m.hosts[to]
	switch {
	case h.dead:
	case h.paused:
		m.after(modelStep, func() { m.deliver(to, b) })
	default:
		m.perform(to, h, h.table.HandleHeartbeat(b, m.now))
	}
}

func (m *model) call(i int, h *modelHost, call uint64, effect func()) {
	table := h.table
	m.after(modelStoreLatency/2, func() {
		down := m.storeDown
		if !down {
			effect()
		}
		answer := m.roster
		m.after(modelStoreLatency/2, func() { m.reply(i, table, call, answer, down) })
	})
}

func (m *model) reply(i int, table *Table, call uint64, roster Roster, down bool) {
	h := m.hosts[i]
	switch {
	case h.dead || h.table != table:
	case h.paused:
		m.after(modelStep, func() { m.reply(i, table, call, roster, down) })
	case down:
		m.perform(i, h, table.HandleStoreFailure(call, m.now))
	default:
		m.perform(i, h, table.HandleRoster(call, roster, m.now))
	}
}

// served returns the number of groups to which exactly one host may dispatch.
func (m *model) served() int {
	n := 0
	for _, g := range m.groups {
		if len(m.dispatchers(g)) == 1 {
			n++
		}
	}
	return n
}
