package relay

import (
	"context"
	"fmt"
	"testing"
	"time"

	"hyssophub/fleet"
	"hyssophub/flow"
	"hyssophub/gossip"
	"hyssophub/rules"
	"hyssophub/store"
)

// BenchmarkPlan measures the first decision on a request that is gathered from 180
// services with three instances each in six zones of 49 hosts.
func BenchmarkPlan(b *testing.B) {
	now := time.Now()
	routing := rules.NewTable(0)
	servers := fleet.NewTable("z0", flow.NewTable("self", time.Now()))
	hosts := gossip.NewTable(gossip.Host{Name: "self", Zone: "z0", Weight: 400}, now)
	for z := range 6 {
		for i := range 49 {
			name := fmt.Sprintf("h%d-%d", z, i)
			hosts.Receive(gossip.Heartbeat{Sender: gossip.Record{Host: gossip.Host{Name: name, Zone: fmt.Sprintf("z%d", z), Address: name, Weight: 400}}}, now)
		}
	}
	var services []string
	for s := range 180 {
		service := fmt.Sprintf("service%d", s)
		services = append(services, service)
		for r := range 3 {
			servers.Register(fleet.Instance{ID: fmt.Sprintf("i%d-%d", s, r), Service: service, Zone: fmt.Sprintf("z%d", (s+r*2)%6), Slots: 3, State: fleet.Ready{}, Position: store.Position{Revision: 1}}, now)
		}
	}
	set := rules.Set{Version: 1, Routes: []rules.Route{{Name: "r", Target: rules.Gather{Services: services, TopK: 50, MinShare: 0.9}, RetryPolicy: rules.Idempotent{}, TargetLatency: 150 * time.Millisecond, MaxAttempts: 2}}}
	for _, s := range services {
		set.Services = append(set.Services, rules.Service{Name: s, MaxConnections: 175})
	}
	routing.Apply(set)
	table := NewTable(routing, servers, hosts, BudgetLimits{Ratio: 0.2, Burst: 100, Window: 10 * time.Second}, 295)
	e := &Engine{rules: routing, table: table, ctx: context.Background()}
	view := routing.View()
	b.ReportAllocs()
	for b.Loop() {
		r := e.newRequestState(context.Background(), Request{Message: &Message{ID: "id"}, View: view, Route: &view.Set.Routes[0], Arrived: now, Deadline: now.Add(time.Second)})
		a := table.begin(r, now)
		for _, x := range a.send {
			table.recordOutcome(x, Failed{Reason: "silent_connection"}, now)
		}
		if len(a.collect) == 0 {
			b.Fatal("nothing delegated")
		}
	}
}
