package trial

import (
	"context"
	"errors"
	"sync"
	"time"

	"hyssophub/daemon"
	"hyssophub/event"
	"hyssophub/fault"
	"hyssophub/member"
	"hyssophub/owner"
	"hyssophub/peer"
	"hyssophub/shard"
)

// errCut ends a call that a cut, a pause or a dead host never answers.
var errCut = errors.New("trial: no answer")

// giveUp ends a call without a deadline of its own, as a transport does.
const giveUp = 5 * time.Second

// platform is the name of the platform as the end of a connection.
const platform = ""

// Network connects the hosts, the backend servers and the platform with the
// manifest's delays. Cuts drop messages in both directions.
type Network struct {
	delay time.Duration

	mu       sync.Mutex
	handlers map[string]peer.Handler
	beats    map[string]func(member.Heartbeat)
	zones    map[string]string
	cut      map[string]bool
	dead     map[string]bool
	paused   map[string]chan struct{}
	// announced is called with each event that a host passes on.
	announced func(event.Event)
	// cutAt is when a zone was cut off, and crossed counts the sub-requests
	// that its hosts sent to other zones later than the freshness bound.
	cutAt   map[string]time.Time
	crossed int
}

func newNetwork(delay time.Duration) *Network {
	return &Network{
		delay:    delay,
		handlers: make(map[string]peer.Handler),
		beats:    make(map[string]func(member.Heartbeat)),
		zones:    make(map[string]string),
		cut:      make(map[string]bool),
		dead:     make(map[string]bool),
		paused:   make(map[string]chan struct{}),
		cutAt:    make(map[string]time.Time),
	}
}

// join makes a host reachable.
func (n *Network) join(host, zone string, handler peer.Handler, beat func(member.Heartbeat)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[host] = handler
	n.beats[host] = beat
	n.zones[host] = zone
	delete(n.dead, host)
}

// kill makes a host unreachable and lets none of its calls out.
func (n *Network) kill(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dead[host] = true
}

func (n *Network) pause(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.paused[host] = make(chan struct{})
}

func (n *Network) resume(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c, ok := n.paused[host]; ok {
		close(c)
		delete(n.paused, host)
	}
}

func (n *Network) setCut(zone string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[zone] = cut
	n.cutAt[zone] = time.Now()
}

// cross carries one message from a host to a zone. A message that is dropped
// leaves its sender waiting until its context ends or the transport gives up.
func (n *Network) cross(ctx context.Context, host, zone string) error {
	n.awake(host)
	n.mu.Lock()
	from := n.zones[host]
	dropped := n.dead[host] || (from != zone && (n.cut[from] || n.cut[zone]))
	n.mu.Unlock()
	if dropped {
		select {
		case <-ctx.Done():
		case <-time.After(giveUp):
		}
		return errCut
	}
	if from != zone {
		time.Sleep(n.delay)
		return nil
	}
	time.Sleep(hop)
	return nil
}

// reaches reports whether a message from a zone gets to a host.
func (n *Network) reaches(zone, host string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	own := n.zones[host]
	return !n.dead[host] && (own == zone || (!n.cut[own] && !n.cut[zone]))
}

// awake waits while a host is paused.
func (n *Network) awake(host string) {
	n.mu.Lock()
	c := n.paused[host]
	n.mu.Unlock()
	if c != nil {
		<-c
	}
}

// await waits while a host is paused, at most until ctx ends: the other end of
// a connection does not wait longer than it wants to.
func (n *Network) await(ctx context.Context, host string) error {
	n.mu.Lock()
	c := n.paused[host]
	n.mu.Unlock()
	if c == nil {
		return nil
	}
	select {
	case <-c:
		return nil
	case <-ctx.Done():
		return errCut
	}
}

// reach returns the handler of a live host.
func (n *Network) reach(host string) (peer.Handler, string, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h, ok := n.handlers[host]
	return h, n.zones[host], ok && !n.dead[host]
}

// datagram returns the delay after which a heartbeat arrives, and false if it
// is lost.
func (n *Network) datagram(from, to string) (time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	zone, target := n.zones[from], n.zones[to]
	switch {
	case n.dead[from], n.dead[to], n.paused[from] != nil, n.paused[to] != nil, n.beats[to] == nil:
		return 0, false
	case zone == target:
		return hop, true
	default:
		return n.delay, !n.cut[zone] && !n.cut[target]
	}
}

// Send implements daemon.HeartbeatSender.
func (p peers) Send(to member.Host, beat member.Heartbeat) error {
	if delay, ok := p.network.datagram(p.host, to.Name); ok {
		time.AfterFunc(delay, func() { p.network.arrive(to.Name, beat) })
	}
	return nil
}

// arrive hands a heartbeat over unless the receiver stopped meanwhile.
func (n *Network) arrive(to string, beat member.Heartbeat) {
	n.mu.Lock()
	receive := n.beats[to]
	lost := n.dead[to] || n.paused[to] != nil
	n.mu.Unlock()
	if !lost {
		receive(beat)
	}
}

// peers is the network as one host sees it. It implements daemon.Peers and
// daemon.HeartbeatSender.
type peers struct {
	network *Network
	host    string
}

var (
	_ daemon.Peers           = peers{}
	_ daemon.HeartbeatSender = peers{}
)

// call carries a request to a host and its answer back.
func (p peers) call(ctx context.Context, host string, do func(peer.Handler)) error {
	_, zone, _ := p.network.reach(host)
	if err := p.network.cross(ctx, p.host, zone); err != nil {
		return fault.New(fault.MayHaveRun{}, fault.ReasonDeadline, "host %s: %w", host, err)
	}
	h, _, ok := p.network.reach(host)
	if !ok {
		return fault.New(fault.NotRun{}, fault.ReasonDown, "host %s is down", host)
	}
	if err := p.network.await(ctx, host); err != nil {
		return fault.New(fault.MayHaveRun{}, fault.ReasonDeadline, "host %s: %w", host, err)
	}
	do(h)
	err := p.network.await(ctx, host)
	if err == nil {
		_, own, _ := p.network.reach(p.host)
		err = p.network.cross(ctx, host, own)
	}
	if err != nil {
		return fault.New(fault.MayHaveRun{}, fault.ReasonDeadline, "host %s: %w", host, err)
	}
	return nil
}

// Submit implements daemon.Peers.
func (p peers) Submit(ctx context.Context, host string, batch shard.Batch) (results []shard.Result, err error) {
	_, zone, _ := p.network.reach(host)
	p.network.note(p.host, zone)
	err = p.call(ctx, host, func(h peer.Handler) { results = h.Submit(ctx, batch) })
	return results, err
}

// Deliver implements daemon.Peers.
func (p peers) Deliver(ctx context.Context, host string, results []shard.Result) error {
	return p.call(ctx, host, func(h peer.Handler) { h.Deliver(results) })
}

// FetchConfig implements daemon.Peers.
func (p peers) FetchConfig(ctx context.Context, host string, revision uint64) (value []byte, newest uint64, err error) {
	err = p.call(ctx, host, func(h peer.Handler) { value, newest = h.FetchConfig(revision) })
	return value, newest, err
}

// Catalogs implements daemon.Peers.
func (p peers) Catalogs(ctx context.Context, host string) (catalogs []shard.Catalog, err error) {
	err = p.call(ctx, host, func(h peer.Handler) { catalogs = h.Catalogs() })
	return catalogs, err
}

// Handover implements daemon.Peers.
func (p peers) Handover(ctx context.Context, host, from string, states []owner.HandoverState) error {
	return p.call(ctx, host, func(h peer.Handler) { h.Handover(from, states) })
}

// Notify implements daemon.Peers.
func (p peers) Notify(ctx context.Context, host, from string, e event.Event) error {
	p.network.announced(e)
	return p.call(ctx, host, func(h peer.Handler) { h.Notify(from, e) })
}
