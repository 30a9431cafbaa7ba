package canary

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"hyssophub/fleet"
	"hyssophub/flow"
	"hyssophub/rules"
)

// world plays roll-outs of one service with the tables of several hosts in virtual time:
// requests, servers of two versions, datagrams between hosts, and a store.
type world struct {
	start  time.Time
	now    time.Time
	random *rand.Rand
	events events
	number int
	nodes  []*node
	view   *rules.View

	servers map[string]*backend
	rate    float64
	routes  int
	// senders is the number of hosts that send requests; zero means all.
	senders int
	// cutZone is cut off from the hosts of the other zones.
	cutZone string
	store   store
	counts  map[string]*count
}

const (
	serviceName = "s"
	oldName     = "v1"
	newName     = "v2"
	nextName    = "v3"
	linkTime    = 2 * time.Millisecond
	feedTime    = 600 * time.Millisecond
)

// count is what the servers of a version saw.
type count struct {
	arrived, bad int
	lastAt       time.Time
}

// node is a host. cut hosts exchange nothing with other hosts, offline ones nothing with
// the store, and paused ones do nothing.
type node struct {
	name, zone       string
	table            *Table
	fleet            *fleet.Table
	up, cut, offline bool
	isPaused         bool
	joinedAt         time.Time
	incarnation      uint64
	logs             []string
}

// backend is a server. A fault returns the time factor and whether the answer is a failure.
type backend struct {
	id, zone, version string
	fault             func(w *world, route int) (slower float64, failed bool)
	phase             time.Duration
	startedAt         time.Time
}

// store is the platform's store for one service.
type store struct {
	revision  uint64
	order     Order
	status    Status
	down      bool
	loses     bool
	verdicts  []Stage
	verdictAt time.Time
}

type event struct {
	at     time.Time
	number int
	do     func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].number < e[j].number
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newWorld(seed uint64, hosts, zones int, rate float64) *world {
	start := time.Unix(1000, 0)
	w := &world{start: start, now: start, random: rand.New(rand.NewPCG(seed, 1)), rate: rate, routes: 2, servers: make(map[string]*backend), counts: map[string]*count{oldName: {}, newName: {}, nextName: {}}, store: store{revision: 10}}
	routing := rules.NewTable(0)
	routing.Apply(rules.Set{Version: 1, Services: []rules.Service{{Name: serviceName}}})
	w.view = routing.View()
	for i := range hosts {
		n := &node{name: fmt.Sprintf("h%d", i), zone: fmt.Sprintf("z%d", i%zones), up: true, joinedAt: start}
		w.nodes = append(w.nodes, n)
		w.boot(n)
	}
	w.tellMembers()
	w.every(500*time.Millisecond, w.tellMembers)
	w.scheduleRequest()
	return w
}

// boot starts a host with empty tables and what the store holds.
func (w *world) boot(n *node) {
	n.incarnation++
	n.fleet = fleet.NewTable(n.zone, flow.NewTable(n.name, w.now))
	n.table = NewTable(n.name, n.zone, n.incarnation, n.fleet)
	n.up, n.isPaused = true, false
	for _, id := range w.serverIDs() {
		w.register(n, w.servers[id])
	}
	if w.store.order.Revision > 0 {
		n.table.SetOrder(w.store.order, w.now)
	}
	if w.store.status.Revision > 0 {
		n.table.SetStatus(w.store.status, w.now)
	}
	incarnation := n.incarnation
	offset := time.Duration(w.random.IntN(200)) * time.Millisecond
	w.after(offset, func() { w.tick(n, incarnation) })
}

func (w *world) serverIDs() []string {
	ids := make([]string, 0, len(w.servers))
	for i := range 2 * len(w.servers) {
		for _, version := range []string{oldName, newName, nextName} {
			if id := fmt.Sprintf("%s-%d", version, i); w.servers[id] != nil {
				ids = append(ids, id)
			}
		}
	}
	return ids
}

func (w *world) register(n *node, b *backend) {
	cold := max(0, 3*time.Second-w.now.Sub(b.startedAt))
	n.fleet.Register(fleet.Instance{
		ID: b.id, Service: serviceName, Address: b.id, Zone: b.zone, Version: b.version, Slots: 2, State: fleet.Ready{},
		ColdFor: cold, StartMs: b.startedAt.UnixMilli(), Revision: 5,
	}, w.now)
}

// addServers adds servers of a version in the zones, one after the other.
func (w *world) addServers(version string, count, zones int, age time.Duration) {
	for i := range count {
		b := &backend{id: fmt.Sprintf("%s-%d", version, i), zone: fmt.Sprintf("z%d", (i+1)%zones), version: version, phase: time.Duration(w.random.IntN(6000)) * time.Millisecond, startedAt: w.now.Add(-age)}
		w.servers[b.id] = b
		for _, n := range w.nodes {
			w.register(n, b)
		}
	}
}

func (w *world) after(wait time.Duration, do func()) {
	w.number++
	heap.Push(&w.events, event{at: w.now.Add(wait), number: w.number, do: do})
}

func (w *world) every(interval time.Duration, do func()) {
	w.after(interval, func() {
		do()
		w.every(interval, do)
	})
}

func (w *world) run(length time.Duration) {
	end := w.now.Add(length)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

// tellMembers lets each host know which others it hears.
func (w *world) tellMembers() {
	for _, n := range w.nodes {
		var members []Member
		for _, other := range w.nodes {
			live := other == n || (other.up && !other.cut && !n.cut && !other.isPaused)
			members = append(members, Member{Name: other.name, Address: other.name, Live: live, Joined: !w.now.Before(other.joinedAt)})
		}
		n.table.SetMembers(members)
	}
}

func (w *world) tick(n *node, incarnation uint64) {
	if n.incarnation != incarnation || !n.up {
		return
	}
	w.after(200*time.Millisecond, func() { w.tick(n, incarnation) })
	if n.isPaused {
		return
	}
	for _, action := range n.table.Tick(w.now) {
		switch a := action.(type) {
		case Tell:
			for _, address := range a.Addresses {
				w.tell(n, address, a.Report)
			}
		case Write:
			w.write(n, a)
		case Entered:
			n.logs = append(n.logs, NameOf(a.Summary.Stage)+" "+a.Summary.Reason+" ["+a.Summary.Evidence.String()+"]")
		}
	}
}

// lossRate is the share of datagrams that are lost.
const lossRate = 0.02

func (w *world) tell(from *node, address string, report Report) {
	for _, to := range w.nodes {
		if to.name != address || from.cut || to.cut || w.random.Float64() < lossRate {
			continue
		}
		w.after(linkTime, func() {
			if !to.up || to.isPaused {
				return
			}
			if reply, ok := to.table.Hear(report, w.now); ok {
				w.tell(to, from.name, reply)
			}
		})
	}
}

// write performs a conditional write. The store may lose its answer or execute it late.
func (w *world) write(n *node, a Write) {
	if n.offline {
		return
	}
	wait, loses := linkTime, w.store.loses && w.random.IntN(2) == 0
	if w.store.loses && w.random.IntN(3) == 0 {
		wait = time.Duration(w.random.IntN(3000)) * time.Millisecond
	}
	w.after(wait, func() {
		s := &w.store
		if s.down {
			return
		}
		if s.order.Revision != a.OrderRevision || s.status.Revision != a.StatusRevision {
			if !loses && n.up && !n.isPaused {
				n.table.Conflict(a, s.order.Revision, s.status, w.now)
			}
			return
		}
		s.revision++
		s.status = a.Status
		s.status.Revision = s.revision
		if rankOf(a.Status.Stage) > 0 {
			s.verdicts = append(s.verdicts, a.Status.Stage)
			s.verdictAt = w.now
		}
		if !loses && n.up && !n.isPaused {
			n.table.Written(a, s.revision, w.now)
		}
		w.publish()
	})
}

// publish brings the state of the store to the hosts, each at its own time.
func (w *world) publish() {
	for _, n := range w.nodes {
		wait := time.Duration(w.random.Int64N(int64(feedTime)))
		w.after(wait, func() { w.feed(n) })
	}
}

func (w *world) feed(n *node) {
	if !n.up || n.isPaused || n.offline || w.store.down {
		w.after(500*time.Millisecond, func() { w.feed(n) })
		return
	}
	if w.store.order.Revision > 0 {
		n.table.SetOrder(w.store.order, w.now)
	} else {
		n.table.Withdraw(serviceName)
	}
	if w.store.status.Revision > 0 {
		n.table.SetStatus(w.store.status, w.now)
	}
}

func (w *world) order(target string, duration time.Duration) {
	w.store.revision++
	w.store.order = Order{Service: serviceName, Target: target, Duration: duration, Revision: w.store.revision}
	w.store.verdicts = nil
	w.publish()
}

func (w *world) withdraw() {
	w.store.revision++
	w.store.order = Order{}
	w.publish()
}

func (w *world) scheduleRequest() {
	w.after(time.Duration(w.random.ExpFloat64()/w.rate*float64(time.Second)), func() {
		senders := len(w.nodes)
		if w.senders > 0 {
			senders = w.senders
		}
		w.request(w.nodes[w.random.IntN(senders)], w.random.IntN(w.routes))
		w.scheduleRequest()
	})
}

// baseTime is the usual time of an answer.
const baseTime = 20 * time.Millisecond

// request sends one request as package relay does.
func (w *world) request(n *node, route int) {
	if !n.up || n.isPaused {
		return
	}
	choice, ok := w.choose(n)
	if !ok {
		return
	}
	b := w.servers[choice.ID]
	began := w.now
	ticket := n.table.Begin(serviceName, fmt.Sprintf("r%d", route), b.id, b.zone, b.version, choice.IsCold, w.now)
	seen := w.counts[b.version]
	seen.arrived++
	seen.lastAt = w.now
	if b.zone == w.cutZone && n.zone != w.cutZone {
		w.after(300*time.Millisecond, func() { w.end(n, b, began, ticket, GivenUp{After: w.now.Sub(began)}) })
		return
	}
	slower, failed := 1.0, false
	if b.fault != nil {
		slower, failed = b.fault(w, route)
	}
	if failed || slower > 2.5 {
		seen.bad++
	}
	took := time.Duration(float64(baseTime) * slower * math.Exp(0.3*w.random.NormFloat64()))
	if choice.IsCold {
		took *= 3
	}
	took += w.pauseLeft(b)
	w.after(took, func() {
		if failed {
			w.end(n, b, began, ticket, Failed{})
			return
		}
		w.end(n, b, began, ticket, Served{Took: w.now.Sub(began)})
	})
}

// pauseLeft returns how long a server pauses from now on: each pauses for 250 ms in 6 s.
func (w *world) pauseLeft(b *backend) time.Duration {
	at := (w.now.Sub(w.start) + b.phase) % (6 * time.Second)
	return max(0, 250*time.Millisecond-at)
}

func (w *world) end(n *node, b *backend, began time.Time, ticket Ticket, result Result) {
	if !n.up {
		return
	}
	var o fleet.Observation = fleet.Failed{}
	switch r := result.(type) {
	case Served:
		o = fleet.Answered{Took: r.Took}
	case GivenUp:
		o = fleet.Abandoned{}
	}
	n.fleet.Observe(b.id, began, o, w.now)
	n.table.End(ticket, result)
}

func (w *world) choose(n *node) (fleet.Choice, bool) {
	scope := fleet.Constraints{View: w.view, TargetLatency: 200 * time.Millisecond, Versions: n.table.Versions()}
	plan := n.table.Plan(serviceName, w.now)
	if plan.Target != "" {
		trial := scope
		trial.Trial, trial.HealthyOnly = plan.Target, true
		if c, _, ok := n.fleet.Choose(trial, serviceName, nil, w.now); ok {
			return c, true
		}
	}
	c, _, ok := n.fleet.Choose(scope, serviceName, nil, w.now)
	return c, ok
}

// Faults of servers.

func slowBy(factor float64) func(*world, int) (float64, bool) {
	return func(*world, int) (float64, bool) { return factor, false }
}

// badVersion is a fault of all servers of a version: a share of the answers fails or is
// slower, from a time on, on one route (or all with -1).
func badVersion(portion, slower float64, from time.Time, route int) func(*world, int) (float64, bool) {
	return func(w *world, on int) (float64, bool) {
		if w.now.Before(from) || (route >= 0 && on != route) || w.random.Float64() >= portion {
			return 1, false
		}
		if slower > 1 {
			return slower, false
		}
		return 1, true
	}
}

// setFault sets the fault of the servers of a version; of one, if index is not negative.
func (w *world) setFault(version string, index int, fault func(*world, int) (float64, bool)) {
	for _, id := range w.serverIDs() {
		if b := w.servers[id]; b.version == version && (index < 0 || id == fmt.Sprintf("%s-%d", version, index)) {
			b.fault = fault
		}
	}
}

// state describes the roll-out as the store and the hosts see it.
func (w *world) state() string {
	s := "nothing stored"
	if w.store.status.Revision > 0 {
		s = fmt.Sprintf("stored %s %s", w.store.status.Target, NameOf(w.store.status.Stage))
	}
	stages := make(map[string]int)
	for _, n := range w.nodes {
		if !n.up {
			continue
		}
		stage := "none"
		for _, summary := range n.table.Summaries(w.now) {
			stage = NameOf(summary.Stage)
		}
		stages[stage]++
	}
	for _, name := range []string{"none", "observing", "moving", "rolled-back", "complete"} {
		if stages[name] > 0 {
			s += fmt.Sprintf(", %d hosts %s", stages[name], name)
		}
	}
	return s
}
