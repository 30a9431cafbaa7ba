package logs

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// blocked is an output whose reader takes nothing until it is released.
type blocked struct {
	release chan struct{}
	out     bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.release
	return b.out.Write(p)
}

// TestStreamNeverBlocks guards requests against a reader of the log that has
// stopped: lines are dropped and counted, and the count is written.
func TestStreamNeverBlocks(t *testing.T) {
	b := &blocked{release: make(chan struct{})}
	s := NewDroppingWriter(b)
	const lines = streamLines * 2
	for range lines {
		n, err := s.Write([]byte("line\n"))
		require.NoError(t, err)
		require.Equal(t, 5, n)
	}
	dropped := s.Dropped()
	require.NotZero(t, dropped)
	close(b.release)
	s.Close()
	written := strings.Count(b.out.String(), "line\n")
	require.EqualValues(t, lines, uint64(written)+dropped)
	require.Contains(t, b.out.String(), `"dropped":`)
	_, err := s.Write([]byte("late\n"))
	require.NoError(t, err)
}
