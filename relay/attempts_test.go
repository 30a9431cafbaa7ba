package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"hyssophub/fault"
	"hyssophub/fleet"
	"hyssophub/flow"
	"hyssophub/gossip"
	"hyssophub/rules"
	"hyssophub/store"
)

// attemptModel is a tier of engines whose calls to each other and to backend servers are
// late, lost or refused at random. It records which servers ran which parts.
type attemptModel struct {
	mu      sync.Mutex
	random  *rand.Rand
	runs    map[string]map[string]bool
	engines map[string]*Engine
	began   time.Time
}

func (m *attemptModel) chance(p float64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.random.Float64() < p
}

func (m *attemptModel) upTo(limit time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(m.random.Int64N(int64(limit)))
}

// isSlow reports whether the servers of an availability zone are slow. All zones take
// turns, so that helpers report none of their parts as answered in some seconds.
func (m *attemptModel) isSlow(zone string) bool {
	turn := time.Since(m.began) / (100 * time.Millisecond) % 4
	return turn < 3 && zone == string(rune('a'+turn))
}

func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// Do implements Backend.
func (m *attemptModel) Do(ctx context.Context, request BackendRequest) Outcome {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	if m.chance(0.03) {
		return Failed{Verdict: fault.NotRun{}, Reason: fault.ReasonDown}
	}
	if !wait(ctx, m.upTo(5*time.Millisecond)) {
		return Failed{Verdict: fault.MayHaveRun{}, Reason: fault.ReasonStopping}
	}
	if m.chance(0.05) {
		return Refused{Reason: fault.ReasonShed}
	}
	part := request.Message.ID + "/" + request.Choice.Service
	m.mu.Lock()
	if m.runs[part] == nil {
		m.runs[part] = make(map[string]bool)
	}
	m.runs[part][request.Choice.ID] = true
	m.mu.Unlock()
	latency := m.upTo(40 * time.Millisecond)
	if m.isSlow(request.Choice.Zone) || m.chance(0.15) {
		latency = m.upTo(600 * time.Millisecond)
	}
	if !wait(ctx, latency) || m.chance(0.03) {
		return Failed{Verdict: fault.MayHaveRun{}, Reason: fault.ReasonConnection}
	}
	return Answered{Status: 200, Seal: part + "/" + request.Choice.ID, Body: make([]byte, recordSize)}
}

// call calls a host. The call may arrive late. The caller may lose the result, or get none
// in time; the host then learns that the caller has gone, at once or later.
func (m *attemptModel) call(ctx context.Context, do func(context.Context) (PartialResult, error)) (PartialResult, error) {
	if m.chance(0.05) {
		wait(ctx, m.upTo(200*time.Millisecond))
		return PartialResult{}, fault.New(fault.NotRun{}, fault.ReasonDown, "not reached")
	}
	called, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer func() {
		if m.chance(0.3) {
			time.AfterFunc(m.upTo(time.Second), cancel)
			return
		}
		cancel()
	}()
	type reply struct {
		result PartialResult
		err    error
	}
	replies := make(chan reply, 1)
	delay := m.upTo(3 * time.Millisecond)
	if m.chance(0.1) {
		delay = m.upTo(500 * time.Millisecond)
	}
	go func() {
		if !wait(called, delay) {
			return
		}
		result, err := do(called)
		replies <- reply{result, err}
	}()
	broken := make(<-chan time.Time)
	if m.chance(0.05) {
		broken = time.After(m.upTo(100 * time.Millisecond))
	}
	select {
	case r := <-replies:
		wait(ctx, m.upTo(2*time.Millisecond))
		return r.result, r.err
	case <-broken:
	case <-ctx.Done():
	}
	return PartialResult{}, fault.New(fault.MayHaveRun{}, fault.ReasonConnection, "connection lost")
}

// Collect implements HelperClient.
func (m *attemptModel) Collect(ctx context.Context, address string, request CollectRequest) (PartialResult, error) {
	ctx, cancel := context.WithTimeout(ctx, max(0, request.TimeToDeadline))
	defer cancel()
	return m.call(ctx, func(ctx context.Context) (PartialResult, error) { return m.engines[address].Collect(ctx, request) })
}

// CollectMore implements HelperClient.
func (m *attemptModel) CollectMore(ctx context.Context, address string, token uint64) (PartialResult, error) {
	return m.call(ctx, func(ctx context.Context) (PartialResult, error) { return m.engines[address].CollectMore(ctx, token) })
}

// TestAttemptsAcrossHosts guards against parts that run on more servers than a route
// allows, counted over the host that a client asked and all hosts that collect for it,
// while calls between them are late, lost or refused.
func TestAttemptsAcrossHosts(t *testing.T) {
	for seed := range uint64(30) {
		synctest.Test(t, func(t *testing.T) { checkAttempts(t, seed) })
	}
}

// attemptHosts returns the hosts of the model: six in each of three zones.
func attemptHosts() []gossip.Host {
	var hosts []gossip.Host
	for _, zone := range []string{"a", "b", "c"} {
		for i := range 6 {
			name := fmt.Sprintf("%s%d", zone, i)
			hosts = append(hosts, gossip.Host{Name: name, Zone: zone, Address: name, Weight: 400})
		}
	}
	return hosts
}

const (
	// modelAttempts is the number of servers on which a part may run.
	modelAttempts = 2
	modelServices = 40
)

// modelRules returns the rules of the model: one route that gathers all services.
func modelRules() *rules.Table {
	var services []string
	for i := range modelServices {
		services = append(services, fmt.Sprintf("s%d", i))
	}
	routing := rules.NewTable(0)
	routing.Apply(rules.Set{Version: 1, Routes: []rules.Route{{
		Name: "r", Prefix: "/", Target: rules.Gather{Services: services, TopK: 5, MinShare: 0.9}, RetryPolicy: rules.Idempotent{},
		TargetLatency: 150 * time.Millisecond, MaxAttempts: modelAttempts,
	}}})
	return routing
}

// start starts the engine of a host, with an instance of each service in each zone.
func (m *attemptModel) start(self gossip.Host, hosts []gossip.Host, routing *rules.Table) *Engine {
	now := time.Now()
	instances := fleet.NewTable(self.Zone, flow.NewTable(self.Name, now))
	for i := range modelServices {
		for z, zone := range []string{"a", "b", "c"} {
			service := fmt.Sprintf("s%d", i)
			id := service + "-" + zone
			instances.Register(fleet.Instance{ID: id, Service: service, Zone: zone, Address: id, Slots: 4, State: fleet.Ready{}, Position: store.Position{Revision: uint64(i*3 + z + 1)}}, now)
		}
	}
	known := gossip.NewTable(self, now)
	for _, other := range hosts {
		if other.Name != self.Name {
			known.Receive(gossip.Heartbeat{Sender: gossip.Record{Host: other}}, now)
		}
	}
	table := NewTable(routing, instances, known, BudgetLimits{Ratio: 1, Burst: 1000, Window: 10 * time.Second}, 1)
	return NewEngine(routing, table, m, m, Options{Host: self.Name, Workers: 64, QueueLimit: 1024})
}

func newAttemptModel(seed uint64) *attemptModel {
	return &attemptModel{
		random: rand.New(rand.NewPCG(seed, 0)), runs: make(map[string]map[string]bool), engines: make(map[string]*Engine), began: time.Now(),
	}
}

func checkAttempts(t *testing.T, seed uint64) {
	m, hosts, routing := newAttemptModel(seed), attemptHosts(), modelRules()
	for _, self := range hosts {
		m.engines[self.Name] = m.start(self, hosts, routing)
	}
	var requests sync.WaitGroup
	view := routing.View()
	for i := range 60 {
		requests.Go(func() {
			wait(t.Context(), m.upTo(800*time.Millisecond))
			// Some requests reach their host late, as after a network partition.
			arrived := time.Now()
			if m.chance(0.2) {
				arrived = arrived.Add(-m.upTo(700 * time.Millisecond))
			}
			m.engines[hosts[i%len(hosts)].Name].Serve(t.Context(), Request{
				Message: &Message{ID: fmt.Sprintf("%d", i)}, View: view, Route: &view.Set.Routes[0],
				Arrived: arrived, Deadline: time.Now().Add(1500 * time.Millisecond),
			})
		})
	}
	requests.Wait()
	<-time.After(3 * time.Second)
	for _, e := range m.engines {
		e.Close()
	}
	for part, servers := range m.runs {
		require.LessOrEqual(t, len(servers), modelAttempts, "part %s ran on %v, seed %d", part, servers, seed)
	}
}

// TestTokensOfPreviousRun guards against a host that takes the token of a collection of
// its previous run for one of this run, and so hands out another request's records.
func TestTokensOfPreviousRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, hosts, routing := newAttemptModel(0), attemptHosts(), modelRules()
		request := CollectRequest{
			Message: &Message{ID: "1"}, Route: "r", Services: []string{"s1", "s2"}, TopK: 5, MaxAttempts: modelAttempts,
			TargetLatency: 150 * time.Millisecond, TimeToDeadline: time.Second,
		}
		e := m.start(hosts[0], hosts, routing)
		before, err := e.Collect(t.Context(), request)
		require.NoError(t, err)
		require.NotZero(t, before.Token)
		e.Close()
		e = m.start(hosts[0], hosts, routing)
		_, err = e.Collect(t.Context(), request)
		require.NoError(t, err)
		_, err = e.CollectMore(t.Context(), before.Token)
		require.Equal(t, fault.ReasonUnknownService, fault.ReasonOf(err))
		e.Close()
	})
}
