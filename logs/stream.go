package logs

import (
	"io"
	"strconv"
	"sync"
	"sync/atomic"
)

// queueLines bounds the lines that wait to be written. With lines of about 300
// bytes they take about half a megabyte.
const queueLines = 2048

// DroppingWriter is an asynchronous writer of log lines. Write never blocks: if
// the output is too slow and the queue is full, the line is dropped and counted.
type DroppingWriter struct {
	out     io.Writer
	queue   chan []byte
	dropped atomic.Uint64
	running sync.WaitGroup

	// mu guards closed and the sends on queue, so that Close does not close the
	// channel during a send.
	mu     sync.Mutex
	closed bool
}

// NewDroppingWriter returns a writer to out and starts its goroutine, which Close
// stops.
func NewDroppingWriter(out io.Writer) *DroppingWriter {
	w := &DroppingWriter{out: out, queue: make(chan []byte, queueLines)}
	w.running.Go(w.writeLines)
	return w
}

// Write queues a copy of one line. It never fails; after Close the line is
// discarded without being counted.
func (w *DroppingWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return len(line), nil
	}
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (w *DroppingWriter) Dropped() uint64 { return w.dropped.Load() }

// writeLines writes queued lines in batches until the queue is closed, and reports
// dropped lines in the output.
func (w *DroppingWriter) writeLines() {
	var (
		reported uint64
		batch    []byte
	)
	for line := range w.queue {
		batch = append(batch[:0], line...)
		batch = w.appendQueued(batch)
		if n := w.dropped.Load(); n > reported {
			batch = append(batch, `{"level":"warn","layer":"logs","dropped":`...)
			batch = strconv.AppendUint(batch, n-reported, 10)
			batch = append(batch, `,"message":"log lines were dropped"}`+"\n"...)
			reported = n
		}
		// A failure of the output is ignored: there is no other place to report it.
		_, _ = w.out.Write(batch)
	}
}

// batchBytes is the size from which a batch is written without further lines.
const batchBytes = 32 << 10

// appendQueued appends queued lines to the batch, so that many lines need only one
// write to the output.
func (w *DroppingWriter) appendQueued(batch []byte) []byte {
	for len(batch) < batchBytes {
		select {
		case line, ok := <-w.queue:
			if !ok {
				return batch
			}
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

// Close writes the queued lines and stops the goroutine of the writer. It does not
// close the output.
func (w *DroppingWriter) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.queue)
	}
	w.mu.Unlock()
	w.running.Wait()
}
