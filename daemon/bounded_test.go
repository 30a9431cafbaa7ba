package daemon

import (
	"bytes"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
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
