package quota

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"hyssophub/share"
)

// Timing of the model. The heartbeat timeouts are those of package gossip, the delays
// those between hosts and from a host to the servers.
const (
	modelStep      = 4 * time.Millisecond
	modelDelay     = 2 * time.Millisecond
	modelJitter    = 6 * time.Millisecond
	modelHeartbeat = 250 * time.Millisecond
	modelSameZone  = 1300 * time.Millisecond
	modelOtherZone = 4 * time.Second
	modelRetention = 10 * time.Second
	modelPatience  = 60 * time.Millisecond
	modelConfig    = 5 * time.Second
	modelRepeat    = 10 * time.Millisecond
	modelSend      = 40 * time.Millisecond
)

// model runs the tables of some hosts over a simulated network, with one account, and
// counts the requests that reach the servers.
type model struct {
	now    time.Time
	random *rand.Rand
	bounds Bounds
	hosts  []*modelHost
	cap    Cap
	// allowed are the caps that were in force, each until a time after which the next
	// one binds.
	allowed []allowance
	loss    float64
	// demand is in requests a second of all clients together, which come to any running
	// host. repeat is set if refused callers return at once.
	demand  float64
	repeat  bool
	pending []delayedCall
	sends   []time.Time
	// bucket is the account of what is due below the cap: owed counts the requests that
	// are within it, served all that were admitted.
	bucket share.Bucket
	owed   int
	served int
	over   int
	lost   int
	waits  []time.Time
}

type allowance struct {
	cap   Cap
	until time.Time
}

type modelHost struct {
	share.Member
	table   *Table
	running bool
	number  int
	// side is the part of the network that the host is in; hosts reach those of the
	// same side.
	side int
	// cap is the cap that the host knows.
	cap     Cap
	heard   map[string]time.Time
	told    map[string]share.Member
	waiting []*modelRequest
}

type modelRequest struct {
	*Request
	next time.Time
	host int
}

type delayedCall struct {
	at  time.Time
	run func()
}

func newModel(seed uint64, c Cap, zones ...string) *model {
	start := time.Unix(1000, 0)
	m := &model{
		now: start, random: rand.New(rand.NewPCG(seed, 0)), cap: c,
		bounds: Bounds{Window: 5 * time.Second, Excess: 0.1, Slack: 20, Zones: zones},
	}
	m.allowed = []allowance{{cap: c}}
	return m
}

func (m *model) addHost(name, zone string) {
	h := &modelHost{Member: share.Member{Name: name, Zone: zone, Address: name}}
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
	h.table = NewTable(h.Name, m.bounds, m.now)
	h.running, h.Leaving, h.cap = true, false, m.cap
	h.heard, h.told, h.waiting = make(map[string]time.Time), make(map[string]share.Member), nil
	h.number++
	h.Incarnation++
}

func (m *model) kill(h *modelHost) { h.running, h.waiting = false, nil }

func (m *model) after(delay time.Duration, run func()) {
	m.pending = append(m.pending, delayedCall{at: m.now.Add(delay), run: run})
}

// deliver calls run on a host, by address, unless the message is lost.
func (m *model) deliver(from *modelHost, address string, run func(*modelHost)) {
	to := m.host(address)
	if to == nil || from.side != to.side || m.random.Float64() < m.loss {
		return
	}
	number := to.number
	m.after(modelDelay+time.Duration(m.random.Int64N(int64(modelJitter))), func() {
		if to.running && to.number == number {
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
			if h.running {
				m.step(h)
			}
		}
		m.arrive()
	}
}

// arrive lets the requests of this step arrive at running hosts.
func (m *model) arrive() {
	m.bucket.Refill(m.cap.Rate, m.cap.Burst, m.now)
	for expected := m.demand * modelStep.Seconds(); expected > 0; expected-- {
		if m.random.Float64() < expected {
			if m.bucket.Level >= 1 {
				m.bucket.Level--
				m.owed++
			}
			m.request()
		}
	}
}

func (m *model) request() {
	var running []*modelHost
	for _, h := range m.hosts {
		if h.running {
			running = append(running, h)
		}
	}
	if len(running) == 0 {
		return
	}
	h := running[m.random.IntN(len(running))]
	r, messages, next := h.table.Begin(h.cap, modelPatience, m.now)
	m.send(h, messages)
	h.waiting = append(h.waiting, &modelRequest{Request: r, next: next, host: h.number})
	m.settle(h)
}

// send sends claims to their hosts, and the replies back.
func (m *model) send(h *modelHost, messages []Message) {
	for _, p := range messages {
		m.deliver(h, p.Address, func(to *modelHost) {
			replies := to.table.Answer([]Claim{p.Claim}, m.now)
			if len(replies) == 0 {
				return
			}
			m.deliver(to, h.Name, func(h *modelHost) { m.send(h, h.table.Accept(to.Name, replies, m.now)); m.settle(h) })
		})
	}
}

// settle ends the requests of a host that are decided.
func (m *model) settle(h *modelHost) {
	var open []*modelRequest
	for _, r := range h.waiting {
		select {
		case d := <-r.Decided:
			m.end(d)
		default:
			open = append(open, r)
		}
	}
	h.waiting = open
}

// end counts a request. One that is admitted reaches a server soon.
func (m *model) end(d Decision) {
	switch d := d.(type) {
	case Admitted:
		m.served++
		m.after(time.Duration(m.random.Int64N(int64(modelSend))), func() { m.sends = append(m.sends, m.now) })
	case Refused:
		if !d.Over {
			m.lost++
			return
		}
		m.over++
		m.waits = append(m.waits, m.now.Add(d.RetryAfter))
		if m.repeat && m.random.IntN(4) > 0 {
			m.after(modelRepeat, m.request)
		}
	}
}

// step lets a host send heartbeats and go on with its requests.
func (m *model) step(h *modelHost) {
	if m.now.UnixNano()%int64(modelHeartbeat) < int64(modelStep) {
		h.Joined = h.table.HasJoined(m.now)
		for _, other := range m.hosts {
			if other != h {
				self := h.Member
				m.deliver(h, other.Name, func(to *modelHost) { to.heard[self.Name], to.told[self.Name] = m.now, self })
			}
		}
		h.table.SetMembers(m.members(h), m.now)
		h.table.SetCaps([]Cap{h.cap}, h.cap.Version, m.now)
	}
	if m.now.UnixNano()%int64(50*time.Millisecond) < int64(modelStep) {
		m.send(h, h.table.Expire(m.now))
	}
	for _, r := range h.waiting {
		if !m.now.Before(r.next) {
			var messages []Message
			messages, r.next = h.table.Step(r.Request, m.now)
			m.send(h, messages)
		}
	}
	m.settle(h)
}

func (m *model) members(h *modelHost) []share.Member {
	self := h.Member
	self.Live = !h.Leaving
	list := []share.Member{self}
	for _, other := range m.hosts {
		at, ok := h.heard[other.Name]
		if !ok || m.now.Sub(at) > modelRetention {
			continue
		}
		timeout := modelOtherZone
		if other.Zone == h.Zone {
			timeout = modelSameZone
		}
		o := h.told[other.Name]
		o.Live = m.now.Sub(at) < timeout && !o.Leaving
		list = append(list, o)
	}
	return list
}

// setCap changes the cap. Each host learns of it within modelConfig.
func (m *model) setCap(rate, burst float64) {
	m.cap = Cap{Account: m.cap.Account, Rate: rate, Burst: burst, Version: m.cap.Version + 1}
	m.allowed[len(m.allowed)-1].until = m.now.Add(modelConfig + m.bounds.Window)
	m.allowed = append(m.allowed, allowance{cap: m.cap})
	for _, h := range m.hosts {
		c, number := m.cap, h.number
		m.after(time.Duration(m.random.Int64N(int64(modelConfig))), func() {
			if h.number == number && c.Version > h.cap.Version {
				h.cap = c
			}
		})
	}
}

// allowedAt returns the most requests that may reach the servers in the window that ends
// at a time.
func (m *model) allowedAt(at time.Time) float64 {
	most := 0.0
	for _, a := range m.allowed {
		if a.until.IsZero() || at.Before(a.until) {
			if a.cap.Rate == 0 {
				return 1e9
			}
			most = max(most, m.bounds.Allowed(a.cap))
		}
	}
	return most
}

// check returns the most requests in a window since the last check, relative to the number
// that is allowed, as text if it is exceeded.
func (m *model) check() string {
	first, worst := 0, ""
	for i, at := range m.sends {
		for at.Sub(m.sends[first]) > m.bounds.Window {
			first++
		}
		if n, allowed := float64(i-first+1), m.allowedAt(at); n > allowed {
			worst = fmt.Sprintf("%g requests in %s at %s, %g allowed", n, m.bounds.Window, at.Sub(time.Unix(1000, 0)), allowed)
		}
	}
	// Requests of the last window count in the next one too.
	m.sends = m.sends[first:]
	return worst
}

func (m *model) String() string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "owed %d, served %d, over the cap %d, not decided %d", m.owed, m.served, m.over, m.lost)
	return b.String()
}
