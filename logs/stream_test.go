package logs

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// blockedOutput is an output that blocks each write until release is closed. The
// first write closes entered.
type blockedOutput struct {
	enter   sync.Once
	entered chan struct{}
	release chan struct{}
	out     bytes.Buffer
}

func (b *blockedOutput) Write(p []byte) (int, error) {
	b.enter.Do(func() { close(b.entered) })
	<-b.release
	return b.out.Write(p)
}

// TestStreamNeverBlocks guards against requests that block on a log line because
// the reader of the output has stopped, and against dropped lines that are not
// counted or not reported in the output. The writer takes up to a batch from the
// queue before it blocks, so the queue is filled only once a write has begun.
func TestStreamNeverBlocks(t *testing.T) {
	b := &blockedOutput{entered: make(chan struct{}), release: make(chan struct{})}
	w := NewDroppingWriter(b)
	writeLine := func() {
		n, err := w.Write([]byte("line\n"))
		require.NoError(t, err)
		require.Equal(t, 5, n)
	}
	writeLine()
	<-b.entered
	for range queueLines * 2 {
		writeLine()
	}
	require.EqualValues(t, queueLines, w.Dropped())
	close(b.release)
	w.Close()
	require.Equal(t, 1+queueLines, strings.Count(b.out.String(), "line\n"))
	require.Contains(t, b.out.String(), `"dropped":2048`)
	_, err := w.Write([]byte("late\n"))
	require.NoError(t, err)
}
