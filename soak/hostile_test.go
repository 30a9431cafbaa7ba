package soak

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// answerFault is what a server does to the answers of requests that it has run. The
// interface is sealed.
type answerFault interface{ answerFault() }

type (
	answerWhole struct{}
	// answerTruncated announces more bytes than the server sends.
	answerTruncated struct{}
	// answerUnframed sends half of the body without a length and closes the connection.
	answerUnframed struct{}
	// answerCutHead breaks off in the middle of a header line and closes the connection.
	answerCutHead struct{}
	// answerCopied sends the answer twice, the second time when the connection may be
	// in use for another request.
	answerCopied struct{}
	// answerEndless sends one block again and again after the prefix.
	answerEndless struct{ prefix, block string }
)

func (answerWhole) answerFault()     {}
func (answerTruncated) answerFault() {}
func (answerUnframed) answerFault()  {}
func (answerCutHead) answerFault()   {}
func (answerCopied) answerFault()    {}
func (answerEndless) answerFault()   {}

// hostileAnswers are the faults of which the soak draws one.
var hostileAnswers = []answerFault{
	answerUnframed{},
	answerCutHead{},
	answerCopied{},
	answerEndless{prefix: "HTTP/1.1 200 OK\r\n", block: "X-Filler: 0123456789abcdef\r\n"},
	answerEndless{block: "HTTP/1.1 103 Early Hints\r\nX-Filler: 0123456789abcdef\r\n\r\n"},
	answerEndless{prefix: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", block: "10\r\n0123456789abcdef\r\n"},
	answerEndless{prefix: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", block: "1;filler=0123456789abcdef\r\n0\r\n"},
}

const (
	// endlessTime bounds an endless answer, if the host does not close the connection.
	endlessTime = 2 * time.Second
	// copyDelay is the time after an answer at which its copy follows.
	copyDelay = 20 * time.Millisecond
	// blockRepeats is the number of blocks of an endless answer in one write.
	blockRepeats = 64
)

// writeAnswer writes the answer to a request that was run.
func (s *server) writeAnswer(w http.ResponseWriter, answer []byte) {
	fault := *s.answers.Load()
	switch fault.(type) {
	case answerTruncated:
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)+16))
		_, _ = w.Write(answer)
		return
	case answerWhole:
		_, _ = w.Write(answer)
		return
	}
	var head bytes.Buffer
	_, _ = head.WriteString("HTTP/1.1 200 OK\r\n")
	_ = w.Header().Write(&head)
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	write := func(text string) bool {
		_, err := io.WriteString(conn, text)
		return err == nil
	}
	switch f := fault.(type) {
	case answerUnframed:
		write(head.String() + "\r\n" + string(answer[:len(answer)/2]))
	case answerCutHead:
		write(head.String() + "Content-Len")
	case answerCopied:
		whole := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head.String(), len(answer), answer)
		for range 2 {
			write(whole)
			sleep(copyDelay)
		}
	case answerEndless:
		block := strings.Repeat(f.block, blockRepeats)
		write(f.prefix)
		for end := time.Now().Add(endlessTime); time.Now().Before(end) && write(block); {
		}
	}
}

// memoryLimit is the memory that a host of the deployment may use.
const memoryLimit = 184 << 20

// checkMemory records a violation if the process of a host has used more memory than a
// host has, as after reading answers without end. It returns the peak, see peakMemory.
func (h *host) checkMemory(e *executions) int {
	peak := h.peakMemory()
	if peak > memoryLimit {
		e.addViolation("host %s used %d MB of memory", h.name, peak>>20)
	}
	return peak
}

// peakMemory returns the greatest memory that the process of a host has used, in bytes,
// zero if the process has ended.
func (h *host) peakMemory() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.isRunning() {
		return 0
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.process.Process.Pid))
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(status), "VmHWM:")
	line, _, _ := strings.Cut(after, "kB")
	kilobytes, _ := strconv.Atoi(strings.TrimSpace(line))
	return kilobytes << 10
}
