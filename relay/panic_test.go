package relay

import (
	"context"
	"sync/atomic"
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
	"hyssophub/work"
)

// panickingBackend panics in its first exchange and answers the others.
type panickingBackend struct{ calls atomic.Int64 }

func (b *panickingBackend) Do(_ context.Context, request BackendRequest) Outcome {
	if b.calls.Add(1) == 1 {
		panic("unexpected")
	}
	return Answered{Status: 200, Seal: request.Choice.ID}
}

// panickingHelpers panics in each call.
type panickingHelpers struct{}

func (panickingHelpers) Collect(context.Context, string, CollectRequest) (PartialResult, error) {
	panic("unexpected")
}

func (panickingHelpers) CollectMore(context.Context, string, uint64) (PartialResult, error) {
	panic("unexpected")
}

// TestPanicEndsOnlyItsRequest guards against one unexpected error that takes down the
// process, that leaves a client without an answer until its deadline, that is reported
// as "not run", or that keeps a planned stop waiting.
func TestPanicEndsOnlyItsRequest(t *testing.T) {
	for name, target := range map[string]rules.Target{
		"single":   rules.Single{Service: "one"},
		"gathered": rules.Gather{Services: []string{"one", "two", "three", "four"}, TopK: 1, MinShare: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				now := time.Now()
				routing := rules.NewTable(0)
				routing.Apply(rules.Set{Version: 1, Routes: []rules.Route{{
					Name: "r", Target: target, RetryPolicy: rules.AtMostOnce{}, TargetLatency: 150 * time.Millisecond, MaxAttempts: 1,
				}}})
				servers := fleet.NewTable("a", flow.NewTable("self", time.Now()))
				hosts := gossip.NewTable(gossip.Host{Name: "self", Zone: "a"}, now)
				hosts.Receive(gossip.Heartbeat{Sender: gossip.Record{Host: gossip.Host{Name: "b1", Zone: "b", Address: "b1"}}}, now)
				zone := "a"
				if _, gathered := target.(rules.Gather); gathered {
					zone = "b"
				}
				for _, service := range []string{"one", "two", "three", "four"} {
					servers.Register(fleet.Instance{ID: service, Service: service, Zone: zone, Slots: 1, State: fleet.Ready{}, Position: store.Position{Revision: 1}}, now)
				}
				var panics atomic.Int64
				e := NewEngine(routing, NewTable(routing, servers, hosts, BudgetLimits{Window: time.Second}, 1), &panickingBackend{}, panickingHelpers{},
					Options{Workers: 4, QueueLimit: 16, OnPanic: func(work.Panic) { panics.Add(1) }})
				view := routing.View()
				request := Request{Message: &Message{ID: "id"}, View: view, Route: &view.Set.Routes[0], Arrived: now, Deadline: now.Add(10 * time.Second)}
				result, _ := e.Serve(t.Context(), request)
				require.IsType(t, Declined{}, result)
				require.Equal(t, fault.MayHaveRun{}, result.(Declined).Err.Verdict)
				require.Equal(t, fault.ReasonInternal, result.(Declined).Err.Reason)
				require.Less(t, time.Since(now), time.Second)
				require.Equal(t, int64(1), panics.Load())
				if zone == "a" {
					result, _ = e.Serve(t.Context(), request)
					require.IsType(t, Forwarded{}, result)
				}
				e.Close()
			})
		})
	}
}
