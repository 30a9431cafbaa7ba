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
	"hyssophub/peer/peerpb"
	"hyssophub/relay"
	"hyssophub/store"
)

// stubHandler answers with fixed values and records the last request.
type stubHandler struct {
	request relay.CollectRequest
	result  relay.PartialResult
	update  feed.Update
	err     error
}

func (s *stubHandler) Collect(_ context.Context, request relay.CollectRequest) (relay.PartialResult, error) {
	s.request = request
	return s.result, s.err
}

func (s *stubHandler) CollectMore(context.Context, uint64) (relay.PartialResult, error) {
	return s.result, s.err
}
func (s *stubHandler) ChangesAfter(store.Position) feed.Update { return s.update }

func startHandler(t *testing.T, s *stubHandler) string {
	t.Helper()
	server := httptest.NewServer(NewRelayHandler(s))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func testRequest() relay.CollectRequest {
	return relay.CollectRequest{
		Message:        &relay.Message{ID: "me", Method: http.MethodGet, URI: "/a?b", Host: "h", Header: http.Header{"X-Y": {"1", "2"}}},
		Route:          "r",
		Version:        7,
		Spread:         true,
		Services:       []string{"one", "two"},
		TopK:           5,
		MaxAttempts:    2,
		Priority:       1,
		Account:        "north",
		TargetLatency:  150 * time.Millisecond,
		TimeToAnswer:   140 * time.Millisecond,
		TimeToDeadline: time.Second,
	}
}

// TestRelayRoundTrip guards against fields that are lost in the encoding between
// hosts, which would change the request or the answer.
func TestRelayRoundTrip(t *testing.T) {
	s := &stubHandler{
		result: relay.PartialResult{
			Records: []byte("0123456789abcdef"),
			Parts:   []relay.CollectedPart{{Index: 1, Seal: "s"}},
			Missing: []relay.MissingPart{{Index: 0, PossibleRuns: 2, Reason: fault.ReasonShed}},
			Token:   9,
		},
		update: feed.Update{
			Items:    []feed.Item{{Key: "k", Value: []byte("v"), Position: store.Position{Era: 2, Revision: 3}}, {Key: "l", Position: store.Position{Era: 2, Revision: 4}, Deleted: true, MayReturn: true}},
			Position: store.Position{Era: 2, Revision: 4},
			Full:     true,
		},
	}
	address := startHandler(t, s)
	c := NewRelayClient()
	defer c.Close()
	result, err := c.Collect(context.Background(), address, testRequest())
	require.NoError(t, err)
	require.Equal(t, testRequest(), s.request)
	require.Equal(t, s.result, result)
	result, err = c.CollectMore(context.Background(), address, 9)
	require.NoError(t, err)
	require.Equal(t, s.result, result)
	update, err := c.Changes(context.Background(), address, store.Position{})
	require.NoError(t, err)
	require.Equal(t, s.update, update)
}

// TestTextsNeedNotBeUTF8 guards against requests that no helper collects because a header,
// the URI or an id is not UTF-8, or because a backend server's seal is not.
func TestTextsNeedNotBeUTF8(t *testing.T) {
	const text = "caf\xe9"
	s := &stubHandler{result: relay.PartialResult{Parts: []relay.CollectedPart{{Index: 1, Seal: text}}}}
	c := NewRelayClient()
	defer c.Close()
	request := testRequest()
	request.Message = &relay.Message{ID: text, Method: http.MethodGet, URI: "/" + text, Host: text, Header: http.Header{"X-Y": {text}}}
	result, err := c.Collect(t.Context(), startHandler(t, s), request)
	require.NoError(t, err)
	require.Equal(t, request, s.request)
	require.Equal(t, s.result, result)
}

// TestRelayVerdicts guards against a wrong verdict for a call between hosts: a
// refusal by the called host and a connection that was never opened prove that
// the request did not run, a lost answer does not.
func TestRelayVerdicts(t *testing.T) {
	s := &stubHandler{err: fault.New(fault.NotRun{}, fault.ReasonStopping, "stopping")}
	address := startHandler(t, s)
	c := NewRelayClient()
	defer c.Close()
	_, err := c.Collect(context.Background(), address, testRequest())
	require.Equal(t, fault.NotRun{}, fault.VerdictOf(err))
	require.Equal(t, fault.ReasonStopping, fault.ReasonOf(err))

	refused := httptest.NewServer(http.NotFoundHandler())
	closed := strings.TrimPrefix(refused.URL, "http://")
	refused.Close()
	_, err = c.Collect(context.Background(), closed, testRequest())
	require.Equal(t, fault.NotRun{}, fault.VerdictOf(err))

	broken := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer broken.Close()
	_, err = c.Collect(context.Background(), strings.TrimPrefix(broken.URL, "http://"), testRequest())
	require.Equal(t, fault.MayHaveRun{}, fault.VerdictOf(err))
}

// TestChangesForBuildWithoutEras guards against a host of the build before that gets the
// full state for each change of a store that names eras: it names none.
func TestChangesForBuildWithoutEras(t *testing.T) {
	h := &positionRecorder{}
	_, err := (&relayServer{handler: h}).Changes(t.Context(), &peerpb.ChangesRequest{After: 7})
	require.NoError(t, err)
	require.Equal(t, store.Position{Era: feed.PresentEra, Revision: 7}, h.after)
	era := uint64(0)
	_, err = (&relayServer{handler: h}).Changes(t.Context(), &peerpb.ChangesRequest{After: 7, Era: &era})
	require.NoError(t, err)
	require.Equal(t, store.Position{Revision: 7}, h.after)
}

// positionRecorder records the position of the last request for changes.
type positionRecorder struct {
	stubHandler
	after store.Position
}

func (r *positionRecorder) ChangesAfter(position store.Position) feed.Update {
	r.after = position
	return feed.Update{}
}
