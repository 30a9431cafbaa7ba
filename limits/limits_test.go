package limits

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"hyssophub/intake"
	"hyssophub/props"
)

// TestScripts guards against requests that are run although their body was not read whole,
// against a body that is refused without the status that promises this, against a
// connection that stays open with a body unread, and against memory that is not given back.
// Each script sends raw requests to a server on loopback, whose handler answers with the
// length of the body.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{}
		datadriven.RunTest(t, path, s.run)
	})
}

type script struct {
	table   *intake.Table
	address string
	held    []net.Conn
}

const (
	scriptBody = 1 << 16
	scriptTime = 20 * time.Second
)

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "server":
		bounds := intake.Limits{
			Memory: int64(props.Number(t, d, "memory")),
			Stall:  props.Duration(t, d, "stall"),
			Window: props.Duration(t, d, "window"),
			Least:  1024,
		}
		s.table = intake.NewTable(bounds)
		limiter := &Limiter{Table: s.table, Weight: 1, Bodiless: d.HasArg("bodiless")}
		server := httptest.NewServer(limiter.Handler(http.HandlerFunc(answerLength)))
		t.Cleanup(server.Close)
		t.Cleanup(func() {
			for _, conn := range s.held {
				_ = conn.Close()
			}
		})
		s.address = server.Listener.Addr().String()
	case "hold":
		s.hold(t, d)
	case "send":
		return s.send(t, d)
	case "idle":
		require.Eventually(t, func() bool { return s.table.Counts().Memory == 0 }, scriptTime, time.Millisecond, "memory is given back")
	default:
		d.Fatalf(t, "unknown command")
	}
	return ""
}

// answerLength answers with the length of the body.
func answerLength(w http.ResponseWriter, r *http.Request) {
	if size, err := strconv.ParseInt(r.Header.Get("Keep"), 10, 64); err == nil && !w.(*answer).Keep(size) {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	body, err := ReadBody(w, r, scriptBody)
	var (
		refused *Refusal
		large   *http.MaxBytesError
	)
	switch {
	case errors.As(err, &refused):
		w.WriteHeader(http.StatusServiceUnavailable)
	case errors.Is(err, ErrSlow):
		w.WriteHeader(http.StatusRequestTimeout)
	case errors.As(err, &large):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
	default:
		_, _ = fmt.Fprintf(w, "%d", len(body))
	}
}

func message(d *datadriven.TestData) string {
	head, body, _ := strings.Cut(d.Input, "$body")
	size := 0
	_, _ = fmt.Sscanf(body, "%d", &size)
	return strings.NewReplacer("\n", "", "$n", "\r\n").Replace(head) + strings.Repeat("x", size)
}

// hold sends bytes on a connection that stays open, and waits until the account holds them.
func (s *script) hold(t *testing.T, d *datadriven.TestData) {
	conn, err := net.Dial("tcp", s.address)
	require.NoError(t, err)
	s.held = append(s.held, conn)
	before := s.table.Counts().Memory
	_, err = io.WriteString(conn, message(d))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return s.table.Counts().Memory > before }, scriptTime, time.Millisecond)
	wait := props.Duration(t, d, "wait")
	<-time.After(wait)
}

// send sends bytes and describes what comes back until the connection ends, or the first
// answer if it is kept.
func (s *script) send(t *testing.T, d *datadriven.TestData) string {
	conn, err := net.Dial("tcp", s.address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(scriptTime))
	_, err = io.WriteString(conn, message(d))
	require.NoError(t, err)
	var all bytes.Buffer
	_, err = io.Copy(&all, conn)
	text := all.String()
	status, _, _ := strings.Cut(text, "\r\n")
	_, body, _ := strings.Cut(text, "\r\n\r\n")
	// A connection that is closed with unread bytes may end with a reset.
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return fmt.Sprintf("%s %q, not closed\n", status, body)
	}
	return fmt.Sprintf("%s %q\n", status, body)
}

// heapBound is what a request of the fuzz target may allocate, in bytes.
const heapBound = 8 << 20

// FuzzRequest guards against requests that take more memory than the bounds, that end the
// process, or after which the account is not empty.
func FuzzRequest(f *testing.F) {
	for _, seed := range []string{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"\r\n\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 999999999\r\n\r\nabc",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffff\r\na",
		"POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nabc",
	} {
		f.Add([]byte(seed))
	}
	table := intake.NewTable(intake.Limits{Memory: 1 << 18, Stall: time.Second, Window: time.Second, Least: 1024})
	limiter := &Limiter{Table: table, Weight: 1}
	server := httptest.NewServer(limiter.Handler(http.HandlerFunc(answerLength)))
	f.Cleanup(server.Close)
	f.Fuzz(func(t *testing.T, data []byte) {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		require.NoError(t, err)
		_, _ = conn.Write(data)
		_ = conn.(*net.TCPConn).CloseWrite()
		_ = conn.SetReadDeadline(time.Now().Add(scriptTime))
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
		require.Eventually(t, func() bool { return table.Counts().Memory == 0 }, scriptTime, time.Millisecond, "memory is given back")
		runtime.ReadMemStats(&after)
		require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(heapBound+16*len(data)), "bytes allocated for one request")
	})
}
