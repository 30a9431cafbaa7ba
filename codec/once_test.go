package codec

import (
	"testing"

	"github.com/stretchr/testify/require"

	"hyssophub/once"
)

// TestOnceRoundTrip guards against a state that decodes to another state, and
// against records of a newer version that are accepted although their fields or
// states are unknown.
func TestOnceRoundTrip(t *testing.T) {
	for _, state := range []once.State{
		once.Claimed{ClaimID: "c1", Host: "entry-a"},
		once.Done{ClaimID: "c1", Receipt: "paid"},
		once.Released{ClaimID: "c1"},
	} {
		stored := once.Record{Digest: "d", State: state}
		data, err := Once{}.Encode(stored)
		require.NoError(t, err)
		decoded, err := Once{}.Decode(data)
		require.NoError(t, err)
		require.Equal(t, stored, decoded)
	}
	for _, text := range []string{`{"digest":"d","state":"paused"}`, `{"state":"done","fee":1}`, `{"state":`} {
		_, err := Once{}.Decode([]byte(text))
		require.Error(t, err, text)
	}
}
