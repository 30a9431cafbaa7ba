package relay

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"hyssophub/fleet"
	"hyssophub/flow"
	"hyssophub/gossip"
	"hyssophub/rules"
	"hyssophub/store"
)

// lateBackend answers for service "one" at once and for service "two" after 250 ms.
type lateBackend struct{}

func (lateBackend) Do(ctx context.Context, request BackendRequest) Outcome {
	if request.Choice.Service == "two" && !wait(ctx, 250*time.Millisecond) {
		return silentBackend{}.Do(ctx, request)
	}
	return Answered{Status: http.StatusOK, Seal: request.Choice.ID, Body: []byte("aaaaaaaaaaaaaaaa")}
}

// TestEarlyResultIsFollowedUp guards against missing parts that are lost because the host
// that asked lags, and asks for them 100 ms after the early result, and against a
// collection that goes on for good if that host does not ask at all.
func TestEarlyResultIsFollowedUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		instances := fleet.NewTable("a", flow.NewTable("self", now))
		for i, service := range []string{"one", "two"} {
			instances.Register(fleet.Instance{ID: service, Service: service, Zone: "a", Address: service, Slots: 2, State: fleet.Ready{}, Position: store.Position{Revision: uint64(i + 1)}}, now)
		}
		routing := rules.NewTable(0)
		routing.Apply(rules.Set{Version: 1})
		table := NewTable(routing, instances, gossip.NewTable(gossip.Host{Name: "self", Zone: "a"}, now), BudgetLimits{Window: time.Second}, 1)
		e := NewEngine(routing, table, lateBackend{}, nil, Options{Workers: 4, QueueLimit: 4})
		request := CollectRequest{
			Message: &Message{ID: "id"}, Services: []string{"one", "two"}, TopK: 1, MaxAttempts: 2,
			TargetLatency: 300 * time.Millisecond, TimeToAnswer: 280 * time.Millisecond, TimeToDeadline: 3 * time.Second,
		}
		early, err := e.Collect(t.Context(), request)
		require.NoError(t, err)
		require.Equal(t, 154*time.Millisecond, time.Since(now), "time of the early result")
		require.Len(t, early.Parts, 1)
		time.Sleep(100 * time.Millisecond)
		rest, err := e.CollectMore(t.Context(), early.Token)
		require.NoError(t, err)
		require.Len(t, rest.Parts, 1)
		require.Less(t, time.Since(now), 260*time.Millisecond, "time of the rest")

		abandoned, err := e.Collect(t.Context(), request)
		require.NoError(t, err)
		time.Sleep(time.Second)
		_, err = e.CollectMore(t.Context(), abandoned.Token)
		require.Error(t, err)
		e.Close()
	})
}
