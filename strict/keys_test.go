package strict

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCheckKeys guards against files whose meaning depends on which of two equal
// keys a reader takes.
func TestCheckKeys(t *testing.T) {
	for _, sound := range []string{`{}`, `[]`, `1`, `{"a":{"b":1},"b":[{"a":1},{"a":2}]}`} {
		require.NoError(t, CheckKeys([]byte(sound)), sound)
	}
	for _, c := range []struct {
		text, key string
		offset    int64
	}{
		{`{"a":1,"a":2}`, "a", 10},
		{`{"x":[1,{"b":1,"c":{},"b":2}]}`, "b", 25},
	} {
		var repeated *DuplicateKeyError
		require.ErrorAs(t, CheckKeys([]byte(c.text)), &repeated, c.text)
		require.Equal(t, DuplicateKeyError{Key: c.key, Offset: c.offset}, *repeated)
	}
	require.Error(t, CheckKeys([]byte(`{"a":`)))
}
