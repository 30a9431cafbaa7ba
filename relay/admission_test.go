package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"hyssophub/admit"
	"hyssophub/fault"
	"hyssophub/rules"
)

// fill enters as many requests as the host has in progress at most.
func fill(t *testing.T, e *Engine) {
	t.Helper()
	for range e.options.Admission.Counts().Limit {
		require.Nil(t, e.enter(t.Context(), admit.Request{Account: "north", StartBy: time.Now().Add(time.Second), Deadline: time.Now().Add(time.Minute)}))
	}
}

// TestAdmission guards against a host with a lasting lag that takes ever more requests: what
// cannot begin in time is refused as not run, also a collection for another host, and a
// request that ends makes room. Without client accounts nothing is refused.
func TestAdmission(t *testing.T) {
	for _, accounts := range [][]rules.Account{{{Name: "north"}}, nil} {
		synctest.Test(t, func(t *testing.T) {
			e, routing := startSilentEngine()
			routing.Apply(rules.Set{Version: 2, Accounts: accounts, Routes: []rules.Route{{
				Name: "r", Prefix: "/", Target: rules.Single{Service: "one"}, RetryPolicy: rules.Idempotent{}, TargetLatency: 600 * time.Millisecond, MaxAttempts: 2,
			}}})
			e.options.Admission = admit.NewTable()
			for range 100 {
				e.options.Admission.ObserveLag(100*time.Millisecond, time.Now())
				time.Sleep(50 * time.Millisecond)
			}
			serve := func(account string, left time.Duration) *fault.Error {
				result, _ := e.Serve(t.Context(), Request{
					Message: &Message{ID: "id"}, View: routing.View(), Route: &routing.View().Set.Routes[0],
					Account: &rules.Account{Name: account}, Arrived: time.Now(), Deadline: time.Now().Add(left),
				})
				return result.(Declined).Err
			}
			fill(t, e)
			began := time.Now()
			refused := serve("south", 5*time.Second)
			_, err := e.Collect(t.Context(), CollectRequest{
				Message: &Message{ID: "id"}, Services: []string{"one"}, TopK: 1, MaxAttempts: 2, Account: "south",
				TargetLatency: 600 * time.Millisecond, TimeToAnswer: 500 * time.Millisecond, TimeToDeadline: 2 * time.Second,
			})
			if accounts == nil {
				require.NoError(t, err)
				require.NotEqual(t, fault.ReasonOverload, refused.Reason)
			} else {
				require.Equal(t, fault.ReasonOverload, fault.ReasonOf(err))
				require.Equal(t, fault.ReasonOverload, refused.Reason)
				require.Equal(t, fault.NotRun{}, refused.Verdict)
				require.Positive(t, refused.RetryAfter)
				require.Less(t, time.Since(began), 400*time.Millisecond, "time of both refusals")
			}
			require.Zero(t, e.options.Admission.Counts().Queued)
			e.leave()
			require.NotEqual(t, fault.ReasonOverload, serve("south", time.Second).Reason)
			e.Close()
		})
	}
}

// TestAdmissionFreesPlaceOfLeaver guards against a request whose caller has left and that
// still takes the next place.
func TestAdmissionFreesPlaceOfLeaver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, _ := startSilentEngine()
		e.options.Admission = admit.NewTable()
		fill(t, e)
		ctx, leave := context.WithCancel(t.Context())
		done := make(chan *fault.Error)
		go func() {
			done <- e.enter(ctx, admit.Request{StartBy: time.Now().Add(time.Second), Deadline: time.Now().Add(time.Minute)})
		}()
		synctest.Wait()
		require.Equal(t, 1, e.options.Admission.Counts().Queued)
		leave()
		require.NotNil(t, <-done)
		require.Zero(t, e.options.Admission.Counts().Queued)
		e.Close()
	})
}
