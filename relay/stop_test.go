package relay

import (
	"context"
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

// silentBackend answers no request until its context or deadline ends.
type silentBackend struct{}

func (silentBackend) Do(ctx context.Context, request BackendRequest) Outcome {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	<-ctx.Done()
	return Failed{Verdict: fault.MayHaveRun{}, Reason: fault.ReasonDeadline, Err: ctx.Err()}
}

// startSilentEngine starts the engine of a host with one server, which never answers.
func startSilentEngine(routes ...rules.Route) (*Engine, *rules.Table) {
	now := time.Now()
	instances := fleet.NewTable("a", flow.NewTable("self", now))
	instances.Register(fleet.Instance{ID: "s", Service: "one", Zone: "a", Address: "s", Slots: 2, State: fleet.Ready{}, Position: store.Position{Revision: 1}}, now)
	routing := rules.NewTable(0)
	routing.Apply(rules.Set{Version: 1, Routes: routes})
	hosts := gossip.NewTable(gossip.Host{Name: "self", Zone: "a"}, now)
	table := NewTable(routing, instances, hosts, BudgetLimits{Window: time.Second}, 1)
	return NewEngine(routing, table, silentBackend{}, nil, Options{Workers: 4, QueueLimit: 4}), routing
}

// TestStopAnswersEachRequest guards against requests that a planned stop cuts off
// without an answer because their server is still at work at the end of the grace
// period, and against requests that arrive too late in it and are sent all the same.
func TestStopAnswersEachRequest(t *testing.T) {
	for _, policy := range []rules.RetryPolicy{rules.Idempotent{}, rules.AtMostOnce{}} {
		synctest.Test(t, func(t *testing.T) {
			now := time.Now()
			e, routing := startSilentEngine(rules.Route{
				Name: "r", Prefix: "/", Target: rules.Single{Service: "one"}, RetryPolicy: policy, TargetLatency: 600 * time.Millisecond, MaxAttempts: 2,
			})
			serve := func() Declined {
				result, _ := e.Serve(t.Context(), Request{
					Message: &Message{ID: "id"}, View: routing.View(), Route: &routing.View().Set.Routes[0],
					Arrived: time.Now(), Deadline: time.Now().Add(time.Minute),
				})
				return result.(Declined)
			}
			e.EndBy(now.Add(5 * time.Second))
			require.Equal(t, fault.MayHaveRun{}, serve().Err.Verdict)
			require.Equal(t, 5*time.Second, time.Since(now), "time of the final answer")
			late := serve()
			require.Equal(t, fault.NotRun{}, late.Err.Verdict)
			require.Equal(t, fault.ReasonStopping, late.Err.Reason)
			require.Equal(t, 5*time.Second, time.Since(now), "time of the refusal")
			e.Close()
		})
	}
}

// TestStopEndsCollections guards against a collection for another host that a stopping
// host answers again and again without any further part: the other host would wait for
// it instead of failing or asking the servers itself.
func TestStopEndsCollections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		e, _ := startSilentEngine()
		e.EndBy(now.Add(100 * time.Millisecond))
		partial, err := e.Collect(t.Context(), CollectRequest{
			Message: &Message{ID: "id"}, Services: []string{"one"}, TopK: 1, MaxAttempts: 2,
			TargetLatency: 600 * time.Millisecond, TimeToAnswer: 500 * time.Millisecond, TimeToDeadline: 5 * time.Second,
		})
		require.NoError(t, err)
		require.Equal(t, 100*time.Millisecond, time.Since(now), "time of the result")
		require.Zero(t, partial.Token, "further parts are announced")
		require.Len(t, partial.Missing, 1)
		require.Equal(t, 1, partial.Missing[0].PossibleRuns)
		e.Close()
	})
}
