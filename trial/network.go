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

// errNoAnswer ends a call without an answer, because a zone is isolated or a
// host is paused or killed.
var errNoAnswer = errors.New("trial: no answer")

// transportTimeout bounds a call without a deadline, as a real transport does.
const transportTimeout = 5 * time.Second

// platformZone is the zone name of the platform in calls of Network.
const platformZone = ""

// Network models the connections between hosts, backend servers and the
// platform, with the delays of the manifest. Messages between an isolated zone
// and other zones are dropped in both directions.
type Network struct {
	delay time.Duration

	mu sync.Mutex
	// handlers, receivers (of heartbeats), zones, killed and paused are keyed by
	// host name, isolated by zone name.
	handlers  map[string]peer.Handler
	receivers map[string]func(member.Heartbeat)
	zones     map[string]string
	isolated  map[string]bool
	killed    map[string]bool
	paused    map[string]chan struct{}
	// onAnnounce is called with each event that a host sends to another host.
	onAnnounce func(event.Event)
	// isolatedAt is the time of the last change in isolated, by zone. crossed
	// counts the sub-requests that hosts of isolated zones sent to other zones
	// after freshnessBound.
	isolatedAt map[string]time.Time
	crossed    int
}

func newNetwork(delay time.Duration) *Network {
	return &Network{
		delay:      delay,
		handlers:   make(map[string]peer.Handler),
		receivers:  make(map[string]func(member.Heartbeat)),
		zones:      make(map[string]string),
		isolated:   make(map[string]bool),
		killed:     make(map[string]bool),
		paused:     make(map[string]chan struct{}),
		isolatedAt: make(map[string]time.Time),
	}
}

// attach registers the handlers of a host and makes it reachable.
func (n *Network) attach(host, zone string, handler peer.Handler, receive func(member.Heartbeat)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[host] = handler
	n.receivers[host] = receive
	n.zones[host] = zone
	delete(n.killed, host)
}

// kill drops all messages to and from a host until it is attached again.
func (n *Network) kill(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.killed[host] = true
}

func (n *Network) pause(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.paused[host] = make(chan struct{})
}

func (n *Network) resume(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if resumed, ok := n.paused[host]; ok {
		close(resumed)
		delete(n.paused, host)
	}
}

func (n *Network) setIsolated(zone string, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[zone] = isolated
	n.isolatedAt[zone] = time.Now()
}

// transmit waits for the delay of one message from a host to a zone. If the
// message is dropped, it blocks until ctx ends or transportTimeout has passed,
// and returns errNoAnswer.
func (n *Network) transmit(ctx context.Context, host, zone string) error {
	n.awaitResume(host)
	n.mu.Lock()
	hostZone := n.zones[host]
	dropped := n.killed[host] || (hostZone != zone && (n.isolated[hostZone] || n.isolated[zone]))
	n.mu.Unlock()
	if dropped {
		select {
		case <-ctx.Done():
		case <-time.After(transportTimeout):
		}
		return errNoAnswer
	}
	if hostZone != zone {
		time.Sleep(n.delay)
		return nil
	}
	time.Sleep(intraZoneDelay)
	return nil
}

// reachable reports whether a message from a zone arrives at a host.
func (n *Network) reachable(zone, host string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	hostZone := n.zones[host]
	return !n.killed[host] && (hostZone == zone || (!n.isolated[hostZone] && !n.isolated[zone]))
}

// awaitResume blocks while a host is paused.
func (n *Network) awaitResume(host string) {
	n.mu.Lock()
	resumed := n.paused[host]
	n.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

// awaitResumeUntil blocks while a host is paused, at most until ctx ends, since
// the caller of a paused host applies its own deadline.
func (n *Network) awaitResumeUntil(ctx context.Context, host string) error {
	n.mu.Lock()
	resumed := n.paused[host]
	n.mu.Unlock()
	if resumed == nil {
		return nil
	}
	select {
	case <-resumed:
		return nil
	case <-ctx.Done():
		return errNoAnswer
	}
}

// lookUp returns the handler and the zone of a host, and whether the host is
// reachable.
func (n *Network) lookUp(host string) (peer.Handler, string, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h, ok := n.handlers[host]
	return h, n.zones[host], ok && !n.killed[host]
}

// heartbeatDelay returns the delay after which a heartbeat arrives, and false
// if the heartbeat is lost.
func (n *Network) heartbeatDelay(from, to string) (time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	fromZone, toZone := n.zones[from], n.zones[to]
	switch {
	case n.killed[from], n.killed[to], n.paused[from] != nil, n.paused[to] != nil, n.receivers[to] == nil:
		return 0, false
	case fromZone == toZone:
		return intraZoneDelay, true
	default:
		return n.delay, !n.isolated[fromZone] && !n.isolated[toZone]
	}
}

// Send implements daemon.HeartbeatSender.
func (p peerClient) Send(to member.Host, beat member.Heartbeat) error {
	if delay, ok := p.network.heartbeatDelay(p.host, to.Name); ok {
		time.AfterFunc(delay, func() { p.network.deliverHeartbeat(to.Name, beat) })
	}
	return nil
}

// deliverHeartbeat passes a heartbeat to its receiver, unless that host has been
// killed or paused since the heartbeat was sent.
func (n *Network) deliverHeartbeat(to string, beat member.Heartbeat) {
	n.mu.Lock()
	receive := n.receivers[to]
	lost := n.killed[to] || n.paused[to] != nil
	n.mu.Unlock()
	if !lost {
		receive(beat)
	}
}

// peerClient sends the messages of one host to other hosts. It implements
// daemon.Peers and daemon.HeartbeatSender.
type peerClient struct {
	network *Network
	host    string
}

var (
	_ daemon.Peers           = peerClient{}
	_ daemon.HeartbeatSender = peerClient{}
)

// call transmits a request, runs do with the handler of the host and transmits
// the answer.
func (p peerClient) call(ctx context.Context, host string, do func(peer.Handler)) error {
	_, zone, _ := p.network.lookUp(host)
	if err := p.network.transmit(ctx, p.host, zone); err != nil {
		return fault.New(fault.MayHaveRun{}, fault.ReasonDeadline, "host %s: %w", host, err)
	}
	h, _, ok := p.network.lookUp(host)
	if !ok {
		return fault.New(fault.NotRun{}, fault.ReasonDown, "host %s is down", host)
	}
	if err := p.network.awaitResumeUntil(ctx, host); err != nil {
		return fault.New(fault.MayHaveRun{}, fault.ReasonDeadline, "host %s: %w", host, err)
	}
	do(h)
	err := p.network.awaitResumeUntil(ctx, host)
	if err == nil {
		_, callerZone, _ := p.network.lookUp(p.host)
		err = p.network.transmit(ctx, host, callerZone)
	}
	if err != nil {
		return fault.New(fault.MayHaveRun{}, fault.ReasonDeadline, "host %s: %w", host, err)
	}
	return nil
}

// Submit implements daemon.Peers.
func (p peerClient) Submit(ctx context.Context, host string, batch shard.Batch) (results []shard.Result, err error) {
	_, zone, _ := p.network.lookUp(host)
	p.network.countCrossing(p.host, zone)
	err = p.call(ctx, host, func(h peer.Handler) { results = h.Submit(ctx, batch) })
	return results, err
}

// Deliver implements daemon.Peers.
func (p peerClient) Deliver(ctx context.Context, host string, results []shard.Result) error {
	return p.call(ctx, host, func(h peer.Handler) { h.Deliver(results) })
}

// FetchConfig implements daemon.Peers.
func (p peerClient) FetchConfig(ctx context.Context, host string, revision uint64) (value []byte, newest uint64, err error) {
	err = p.call(ctx, host, func(h peer.Handler) { value, newest = h.FetchConfig(revision) })
	return value, newest, err
}

// Catalogs implements daemon.Peers.
func (p peerClient) Catalogs(ctx context.Context, host string) (catalogs []shard.Catalog, err error) {
	err = p.call(ctx, host, func(h peer.Handler) { catalogs = h.Catalogs() })
	return catalogs, err
}

// Handover implements daemon.Peers.
func (p peerClient) Handover(ctx context.Context, host, from string, states []owner.HandoverState) error {
	return p.call(ctx, host, func(h peer.Handler) { h.Handover(from, states) })
}

// Notify implements daemon.Peers.
func (p peerClient) Notify(ctx context.Context, host, from string, e event.Event) error {
	p.network.onAnnounce(e)
	return p.call(ctx, host, func(h peer.Handler) { h.Notify(from, e) })
}
