package logs

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// blockedOutput is an output that blocks each write until release is closed.
type blockedOutput struct {
	release chan struct{}
	out     bytes.Buffer
}

func (b *blockedOutput) Write(p []byte) (int, error) {
	<-b.release
	return b.out.Write(p)
}

// TestStreamNeverBlocks guards against requests that block on a log line because
// the reader of the output has stopped, and against dropped lines that are not
// counted or not reported in the output.
func TestStreamNeverBlocks(t *testing.T) {
	b := &blockedOutput{release: make(chan struct{})}
	w := NewDroppingWriter(b)
	const lines = queueLines * 2
	for range lines {
		n, err := w.Write([]byte("line\n"))
		require.NoError(t, err)
		require.Equal(t, 5, n)
	}
	dropped := w.Dropped()
	require.NotZero(t, dropped)
	close(b.release)
	w.Close()
	written := strings.Count(b.out.String(), "line\n")
	require.EqualValues(t, lines, uint64(written)+dropped)
	require.Contains(t, b.out.String(), `"dropped":`)
	_, err := w.Write([]byte("late\n"))
	require.NoError(t, err)
}
