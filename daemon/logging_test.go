package daemon

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"hyssophub/fault"
	"hyssophub/fleet"
	"hyssophub/relay"
)

// Guards against an unbounded log volume when many requests fail, and against
// sampling that also drops the log lines about the host itself.
func TestRequestLogSampling(t *testing.T) {
	var out bytes.Buffer
	log := zerolog.New(&out)
	requests := sampleRequests(log)
	const lines = 10 * requestLogBurst
	for range lines {
		requests.Warn().Msg("request answered")
	}
	log.Info().Msg("host is stopping")
	require.LessOrEqual(t, bytes.Count(out.Bytes(), []byte("request answered")), 2*requestLogBurst+lines/requestLogSampling)
	require.Contains(t, out.String(), "host is stopping")
}

// malformedBackend answers each exchange with a response beyond the bounds.
type malformedBackend struct{}

func (malformedBackend) Do(context.Context, relay.BackendRequest) relay.Outcome {
	return relay.Failed{Verdict: fault.MayHaveRun{}, Reason: fault.ReasonTooLarge}
}

// Guards against a backend server whose responses have no end and that no line of the
// log names, and against a line for each of its responses.
func TestMalformedResponsesAreLoggedOncePerPeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		b := newLoggedBackend(malformedBackend{}, zerolog.New(&out))
		request := func(id string) {
			b.Do(t.Context(), relay.BackendRequest{Choice: fleet.Choice{Instance: fleet.Instance{ID: id}}, Message: &relay.Message{}})
		}
		for range 10 {
			request("i-1")
			request("i-2")
		}
		require.Equal(t, 1, bytes.Count(out.Bytes(), []byte(`"server":"i-1"`)))
		require.Equal(t, 1, bytes.Count(out.Bytes(), []byte(`"server":"i-2"`)))
		time.Sleep(malformedLogPeriod)
		request("i-1")
		require.Equal(t, 2, bytes.Count(out.Bytes(), []byte(`"server":"i-1"`)))
	})
}
