package peer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssophub/fault"
	"hyssophub/feed"
	"hyssophub/relay"
)

// tierStub answers with fixed values and keeps the last share.
type tierStub struct {
	share     relay.CollectRequest
	collected relay.PartialResult
	state     feed.Update
	err       error
}

func (s *tierStub) Collect(_ context.Context, share relay.CollectRequest) (relay.PartialResult, error) {
	s.share = share
	return s.collected, s.err
}

func (s *tierStub) CollectMore(context.Context, uint64) (relay.PartialResult, error) {
	return s.collected, s.err
}
func (s *tierStub) ChangesAfter(uint64) feed.Update { return s.state }

func startTier(t *testing.T, s *tierStub) string {
	t.Helper()
	server := httptest.NewServer(NewRelayHandler(s))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func share() relay.CollectRequest {
	return relay.CollectRequest{
		Message:        &relay.Message{ID: "me", Method: http.MethodGet, URI: "/a?b", Host: "h", Header: http.Header{"X-Y": {"1", "2"}}},
		Route:          "r",
		Version:        7,
		Services:       []string{"one", "two"},
		TopK:           5,
		MaxAttempts:    2,
		Priority:       1,
		TargetLatency:  150 * time.Millisecond,
		TimeToAnswer:   140 * time.Millisecond,
		TimeToDeadline: time.Second,
	}
}

// TestTierRoundTrip guards the fields of the messages between hosts: what is lost
// on the way would change the request or the answer.
func TestTierRoundTrip(t *testing.T) {
	s := &tierStub{
		collected: relay.PartialResult{
			Records: []byte("0123456789abcdef"),
			Parts:   []relay.CollectedPart{{Index: 1, Seal: "s"}},
			Missing: []relay.MissingPart{{Index: 0, PossibleRuns: 2, Reason: fault.ReasonShed}},
			Token:   9,
		},
		state: feed.Update{
			Items:    []feed.Item{{Key: "k", Value: []byte("v"), Revision: 3}, {Key: "l", Revision: 4, Deleted: true, MayReturn: true}},
			Revision: 4,
			Full:     true,
		},
	}
	address := startTier(t, s)
	c := NewRelayClient()
	defer c.Close()
	collected, err := c.Collect(context.Background(), address, share())
	require.NoError(t, err)
	require.Equal(t, share(), s.share)
	require.Equal(t, s.collected, collected)
	collected, err = c.CollectMore(context.Background(), address, 9)
	require.NoError(t, err)
	require.Equal(t, s.collected, collected)
	state, err := c.Changes(context.Background(), address, 0)
	require.NoError(t, err)
	require.Equal(t, s.state, state)
}

// TestTierVerdicts guards the verdict on its way between hosts: a refusal stays a
// proof, a connection that was never opened is one, and a lost answer is none.
func TestTierVerdicts(t *testing.T) {
	s := &tierStub{err: fault.New(fault.NotRun{}, fault.ReasonStopping, "stopping")}
	address := startTier(t, s)
	c := NewRelayClient()
	defer c.Close()
	_, err := c.Collect(context.Background(), address, share())
	require.Equal(t, fault.NotRun{}, fault.VerdictOf(err))
	require.Equal(t, fault.ReasonStopping, fault.ReasonOf(err))

	refused := httptest.NewServer(http.NotFoundHandler())
	closed := strings.TrimPrefix(refused.URL, "http://")
	refused.Close()
	_, err = c.Collect(context.Background(), closed, share())
	require.Equal(t, fault.NotRun{}, fault.VerdictOf(err))

	broken := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer broken.Close()
	_, err = c.Collect(context.Background(), strings.TrimPrefix(broken.URL, "http://"), share())
	require.Equal(t, fault.MayHaveRun{}, fault.VerdictOf(err))
}
