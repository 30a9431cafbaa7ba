package strict

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCheckKeys guards against a key that an object has twice and that is not
// reported. The meaning of such a file depends on which value a reader uses.
func TestCheckKeys(t *testing.T) {
	for _, valid := range []string{`{}`, `[]`, `1`, `{"a":{"b":1},"b":[{"a":1},{"a":2}]}`} {
		require.NoError(t, CheckKeys([]byte(valid)), valid)
	}
	for _, c := range []struct {
		text, key string
		offset    int64
	}{
		{`{"a":1,"a":2}`, "a", 10},
		{`{"x":[1,{"b":1,"c":{},"b":2}]}`, "b", 25},
	} {
		var duplicate *DuplicateKeyError
		require.ErrorAs(t, CheckKeys([]byte(c.text)), &duplicate, c.text)
		require.Equal(t, DuplicateKeyError{Key: c.key, Offset: c.offset}, *duplicate)
	}
	require.Error(t, CheckKeys([]byte(`{"a":`)))
}
