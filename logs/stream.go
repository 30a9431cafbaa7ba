package logs

import (
	"io"
	"strconv"
	"sync"
	"sync/atomic"
)

// streamLines bounds the lines that wait to be written. At about 300 bytes a
// line this is half a megabyte.
const streamLines = 2048

// DroppingWriter writes lines without ever blocking the writer: when the reader of the
// output is too slow, lines are dropped and counted.
type DroppingWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	done    sync.WaitGroup

	mu     sync.Mutex
	closed bool
}

// NewDroppingWriter returns a stream over out.
func NewDroppingWriter(out io.Writer) *DroppingWriter {
	s := &DroppingWriter{out: out, lines: make(chan []byte, streamLines)}
	s.done.Go(s.run)
	return s
}

// Write queues one line. It never fails.
func (s *DroppingWriter) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return len(line), nil
	}
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (s *DroppingWriter) Dropped() uint64 { return s.dropped.Load() }

func (s *DroppingWriter) run() {
	var (
		reported uint64
		batch    []byte
	)
	for line := range s.lines {
		batch = append(batch[:0], line...)
		batch = s.drain(batch)
		if n := s.dropped.Load(); n > reported {
			batch = append(batch, `{"level":"warn","layer":"logs","dropped":`...)
			batch = strconv.AppendUint(batch, n-reported, 10)
			batch = append(batch, `,"message":"log lines were dropped"}`+"\n"...)
			reported = n
		}
		// There is nowhere to report that the output itself fails.
		_, _ = s.out.Write(batch)
	}
}

// batchBytes bounds the lines that are written at once.
const batchBytes = 32 << 10

// drain appends the lines that are waiting, so that one write takes them all.
func (s *DroppingWriter) drain(batch []byte) []byte {
	for len(batch) < batchBytes {
		select {
		case line, ok := <-s.lines:
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

// Close writes the lines that are waiting and ends the stream.
func (s *DroppingWriter) Close() {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.lines)
	}
	s.mu.Unlock()
	s.done.Wait()
}
