package fakes

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"

	"github.com/stretchr/testify/require"
)

// SilentServer is an HTTP server whose open connections can go silent for good, while new
// ones work.
type SilentServer struct {
	*httptest.Server
	opened, silent, requests atomic.Int64
	together                 sync.WaitGroup
}

// connNumber is the key of the number of a connection in its context.
type connNumber struct{}

// idleConnections is the number of connections that are idle before they go silent.
const idleConnections = 2

// NewSilentServer starts a server of a handler. Its first requests wait for each other, so that
// idleConnections are idle afterwards.
func NewSilentServer(handler http.Handler) *SilentServer {
	s := &SilentServer{}
	s.together.Add(idleConnections)
	s.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if number, _ := r.Context().Value(connNumber{}).(int64); number <= s.silent.Load() {
			// The end of the connection is noticed once the body is read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			return
		}
		if s.requests.Add(1) <= idleConnections {
			s.together.Done()
			s.together.Wait()
		}
		handler.ServeHTTP(w, r)
	}))
	s.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, connNumber{}, s.opened.Add(1))
	}
	s.Start()
	return s
}

// CheckFresh makes calls on idle connections that go silent, and requires that the call after
// a failed one uses a fresh connection.
func (s *SilentServer) CheckFresh(t require.TestingT, call func(timeout time.Duration) error) {
	var group sync.WaitGroup
	for range idleConnections {
		group.Go(func() { require.NoError(t, call(time.Minute)) })
	}
	group.Wait()
	s.silent.Store(s.opened.Load())
	require.Error(t, call(50*time.Millisecond))
	require.NoError(t, call(time.Minute))
}
