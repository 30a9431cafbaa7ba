package daemon

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// stopLoad is the load of clients that use their connections again during a planned
// stop.
type stopLoad struct {
	address string
	// answered counts the answers, and unanswered the requests that were written
	// whole on an open connection that then ended without an answer.
	answered   atomic.Int64
	unanswered atomic.Int64
	// unlisted is set once the balancer sends no further connections to the host.
	unlisted atomic.Bool
	clients  sync.WaitGroup
}

// start starts clients. Each sends one request after the other, with a pause, until
// the host is unlisted and its connection has ended.
func (l *stopLoad) start(count int, pause time.Duration) {
	for range count {
		l.clients.Go(func() {
			for !l.unlisted.Load() && l.useConnection(pause) {
			}
		})
	}
}

// useConnection sends requests on one connection until the server announces its end
// or ends it. It returns false if the server refuses connections.
func (l *stopLoad) useConnection(pause time.Duration) bool {
	conn, err := net.Dial("tcp", l.address)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		if _, err := fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
			return true
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			l.unanswered.Add(1)
			return true
		}
		_ = response.Body.Close()
		l.answered.Add(1)
		if response.Close {
			return true
		}
		<-time.After(pause)
	}
}

// TestStopAnswersAcceptedRequests guards against requests that are cut off during a
// planned stop: those in the kernel's queue of connections, on connections that were
// idle at the moment of the close, and in progress.
func TestStopAnswersAcceptedRequests(t *testing.T) {
	l, err := listen("127.0.0.1:0")
	require.NoError(t, err)
	var stopping atomic.Bool
	l.serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		<-time.After(2 * time.Millisecond)
	}))
	load := &stopLoad{address: l.address()}
	load.start(100, time.Millisecond)
	<-time.After(200 * time.Millisecond)
	stopping.Store(true)
	<-time.After(50 * time.Millisecond)
	load.unlisted.Store(true)
	require.NoError(t, l.close(context.Background(), 5*time.Second))
	load.clients.Wait()
	require.Zero(t, load.unanswered.Load(), "requests without an answer, of %d", load.answered.Load())
}
