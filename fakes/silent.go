package fakes

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
)

// SilentServer is an HTTP server whose open connections can go silent for good, while new
// ones work.
type SilentServer struct {
	*httptest.Server
	opened, silent atomic.Int64
}

// connNumber is the key of the number of a connection in its context.
type connNumber struct{}

// NewSilentServer starts a server of a handler.
func NewSilentServer(handler http.Handler) *SilentServer {
	s := &SilentServer{}
	s.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if number, _ := r.Context().Value(connNumber{}).(int64); number <= s.silent.Load() {
			// The end of the connection is noticed once the body is read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			return
		}
		handler.ServeHTTP(w, r)
	}))
	s.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, connNumber{}, s.opened.Add(1))
	}
	s.Start()
	return s
}

// Address returns the address of the server.
func (s *SilentServer) Address() string { return strings.TrimPrefix(s.URL, "http://") }

// Silence makes all open connections silent.
func (s *SilentServer) Silence() { s.silent.Store(s.opened.Load()) }
