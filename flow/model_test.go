package flow

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Timing of the model. The heartbeat timeouts are those of package gossip.
const (
	modelStep      = 10 * time.Millisecond
	modelDelay     = 3 * time.Millisecond
	modelExecution = 20 * time.Millisecond
	modelHeartbeat = 250 * time.Millisecond
	modelSameZone  = 1300 * time.Millisecond
	modelOtherZone = 4 * time.Second
	modelRetention = 10 * time.Second
)

// Bound on the requests that a limited server receives.
const (
	boundNotice  = 4 * time.Second
	boundWindow  = 4 * time.Second
	boundTold    = 500 * time.Millisecond
	boundFactor  = 1.5
	boundSlack   = 5
	boundRecover = 4 * time.Second
)

// model runs the tables of some hosts over a simulated network, with one server that
// names a limit.
type model struct {
	now     time.Time
	random  *rand.Rand
	hosts   []*modelHost
	server  Server
	limit   float64
	limitAt time.Time
	// coldRate is the rate that the server can take while it is cold; zero if it is warm.
	coldRate float64
	loss     float64
	pending  []delayedCall
	arrivals []arrival
}

type modelHost struct {
	Member
	table   *Table
	running bool
	frozen  bool
	// cut is set while the host reaches no other host; it reaches the server.
	cut bool
	// excusedUntil is the end of the time in which the host's requests do not count,
	// after a restart, a freeze or a cut; cutUntil the same after a cut only.
	excusedUntil time.Time
	cutUntil     time.Time
	demand       float64
	heard        map[string]time.Time
	// announced holds what the newest heartbeats of other hosts said.
	announced map[string]Member
	// toldAt is when the host first passed on an answer with the limit.
	toldAt time.Time
	number int
}

type delayedCall struct {
	at  time.Time
	run func()
}

// arrival is a request that reached the server. Counted is set if its host was told
// of the limit and is not excused, and for requests with a permit from a host that is
// not cut off: permits must be right after restarts and freezes too.
type arrival struct {
	at      time.Time
	counted bool
}

func newModel(seed uint64, limit float64) *model {
	start := time.Unix(1000, 0)
	return &model{now: start, random: rand.New(rand.NewPCG(seed, 0)), server: Server{ID: "s", StartMs: 1, Zone: "a"}, limit: limit, limitAt: start}
}

func (m *model) addHost(name, zone string, demand float64) {
	h := &modelHost{Member: Member{Name: name, Zone: zone, Address: name}, demand: demand}
	m.hosts = append(m.hosts, h)
	m.start(h)
}

func (m *model) host(name string) *modelHost {
	for _, h := range m.hosts {
		if h.Name == name {
			return h
		}
	}
	return nil
}

// start starts a host that knows no other host yet.
func (m *model) start(h *modelHost) {
	h.table = NewTable(h.Name, m.now)
	h.running, h.frozen, h.heard, h.toldAt = true, false, make(map[string]time.Time), time.Time{}
	h.announced = make(map[string]Member)
	h.excuse(m.now)
	h.number++
	h.Incarnation++
}

func (h *modelHost) excuse(now time.Time) { h.excusedUntil = now.Add(boundRecover) }

func (h *modelHost) isActive() bool { return h.running && !h.frozen }

func (m *model) after(delay time.Duration, run func()) {
	m.pending = append(m.pending, delayedCall{at: m.now.Add(delay), run: run})
}

// deliver calls run on a host, by address, unless the message is lost.
func (m *model) deliver(from *modelHost, address string, run func(*modelHost)) {
	to := m.host(address)
	if to == nil || from.cut || to.cut || m.random.Float64() < m.loss {
		return
	}
	number := to.number
	m.after(modelDelay, func() {
		if to.isActive() && to.number == number {
			run(to)
		}
	})
}

func (m *model) run(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); {
		m.now = m.now.Add(modelStep)
		pending := m.pending
		m.pending = nil
		for _, c := range pending {
			if c.at.After(m.now) {
				m.pending = append(m.pending, c)
				continue
			}
			c.run()
		}
		for _, h := range m.hosts {
			if h.cut || h.frozen {
				h.excuse(m.now)
			}
			if h.cut {
				h.cutUntil = m.now.Add(boundRecover)
			}
			if h.isActive() {
				m.step(h)
			}
		}
	}
}

// step lets a host send heartbeats, requests and asks.
func (m *model) step(h *modelHost) {
	if m.now.UnixNano()%int64(modelHeartbeat) < int64(modelStep) {
		h.Joined = h.table.HasJoined(m.now)
		for _, other := range m.hosts {
			if other != h {
				self := h.Member
				m.deliver(h, other.Name, func(to *modelHost) { to.heard[h.Name], to.announced[h.Name] = m.now, self })
			}
		}
		h.table.SetMembers(m.members(h), m.now)
	}
	for expected := h.demand * modelStep.Seconds(); expected > 0; expected-- {
		if m.random.Float64() < expected {
			m.request(h)
		}
	}
	for _, n := range h.table.Announcements() {
		for _, address := range n.Addresses {
			m.deliver(h, address, func(to *modelHost) { m.tell(to, h.Name, n) })
		}
	}
	batches, _ := h.table.Asks(m.now)
	for _, b := range batches {
		m.deliver(h, b.Address, func(owner *modelHost) {
			grants, _ := owner.table.Answer(h.Name, b.Asks, m.now)
			m.deliver(owner, h.Name, func(h *modelHost) { h.table.Accept(b.Number, grants, m.now) })
		})
	}
}

// tell delivers an announcement to a host, which may pass it on.
func (m *model) tell(to *modelHost, from string, n Announcement) {
	relayed, _ := to.table.Tell(from, n, m.now)
	for _, r := range relayed {
		for _, address := range r.Addresses {
			m.deliver(to, address, func(h *modelHost) { m.tell(h, to.Name, r) })
		}
	}
}

func (m *model) members(h *modelHost) []Member {
	self := h.Member
	self.Live = true
	list := []Member{self}
	for _, other := range m.hosts {
		at, ok := h.heard[other.Name]
		if !ok || m.now.Sub(at) > modelRetention {
			continue
		}
		timeout := modelOtherZone
		if other.Zone == h.Zone {
			timeout = modelSameZone
		}
		o := h.announced[other.Name]
		o.Live = m.now.Sub(at) < timeout
		list = append(list, o)
	}
	return list
}

// request sends one request to the server if the host's table admits it.
func (m *model) request(h *modelHost) {
	if m.coldRate > 0 {
		h.table.SetCold(m.server, m.coldRate, m.now.Add(time.Second))
	}
	permitted := false
	switch h.table.Check(m.server, m.now).(type) {
	case Closed:
		h.table.Want(m.server, false, m.now)
		return
	case Permitted:
		permitted = true
	}
	h.table.Send(m.server, m.now)
	sent, number := m.now, h.number
	told := !h.toldAt.IsZero() && sent.Sub(h.toldAt) > boundTold
	m.arrivals = append(m.arrivals, arrival{at: sent, counted: told && m.now.After(h.excusedUntil) || permitted && m.now.After(h.cutUntil)})
	notice := Notice{Limited: m.limit >= 0, Rate: m.limit}
	m.after(modelExecution, func() {
		if !h.isActive() || h.number != number {
			return
		}
		if notice.Limited && h.toldAt.IsZero() {
			h.toldAt = m.now
		}
		h.table.Learn(m.server, notice, sent, m.now)
	})
}

// setLimit changes the limit that the server names; a negative one names none.
func (m *model) setLimit(limit float64) { m.limit, m.limitAt, m.arrivals = limit, m.now, nil }

// check returns the most requests within a window from boundNotice after the limit
// was named, and the number that is allowed. Of all requests, only those that count
// are in the first number, all of them in the second.
func (m *model) check() (counted, all int, allowed float64) {
	from := m.limitAt.Add(boundNotice)
	first := 0
	window := 0
	for i, a := range m.arrivals {
		if a.counted {
			window++
		}
		for a.at.Sub(m.arrivals[first].at) > boundWindow || m.arrivals[first].at.Before(from) && first < i {
			if m.arrivals[first].counted {
				window--
			}
			first++
		}
		if !a.at.Before(from) {
			counted, all = max(counted, window), max(all, i-first+1)
		}
	}
	return counted, all, boundFactor*m.limit*boundWindow.Seconds() + boundSlack
}

// checkCold returns the most requests within a second since the last change, of all
// hosts whether excused or not, and the number that a cold server stands.
func (m *model) checkCold() (most int, allowed float64) {
	first := 0
	for i, a := range m.arrivals {
		for a.at.Sub(m.arrivals[first].at) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most, coldFactor*m.coldRate + boundSlack
}

// coldFactor is the factor by which a cold server may get more than its rate.
const coldFactor = 1.5

// rate returns the requests a second that reached the server since the given time.
func (m *model) rate(since time.Time) float64 {
	count := 0
	for _, a := range m.arrivals {
		if !a.at.Before(since) {
			count++
		}
	}
	return float64(count) / m.now.Sub(since).Seconds()
}

func (m *model) String() string {
	counted, all, allowed := m.check()
	return fmt.Sprintf("most in %s: %d counted, %d in all, %g allowed", boundWindow, counted, all, allowed)
}
