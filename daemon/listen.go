package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"hyssophub/limits"
)

// listener is an HTTP server on one address. It opens its socket before it serves,
// so that the addresses are known before the host's components are built.
type listener struct {
	tcp     *acceptor
	server  *http.Server
	serving sync.WaitGroup
	conns   connTable
	// leaving makes all answers ask the client to close its connection.
	leaving atomic.Bool
	// limiter bounds requests and answers; nil sets no bound.
	limiter *limits.Limiter
}

const (
	// headerTimeout closes connections on which no request header arrives.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds the head of a request. It is above every limit that
	// operators set for their clients.
	maxHeaderBytes = 256 << 10
	// newConnGrace is how long a stopping server waits for the first byte on a new
	// connection. Clients that have just connected send within a round trip.
	newConnGrace = 300 * time.Millisecond
)

func listen(address string) (*listener, error) {
	// A multipath socket takes no TCP_USER_TIMEOUT.
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	n, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, oops.Wrapf(err, "listen on %s", address)
	}
	l := &listener{tcp: &acceptor{TCPListener: n.(*net.TCPListener)}}
	l.conns.init()
	l.server = &http.Server{
		ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: l.conns.recordState, ConnContext: withTrackedConn,
	}
	return l, nil
}

func (l *listener) serve(handler http.Handler) {
	if l.limiter != nil {
		handler = l.limiter.Handler(handler)
	}
	l.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if l.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
	l.serving.Go(func() { _ = l.server.Serve(l.tcp) })
}

func (l *listener) address() string { return l.tcp.Addr().String() }

// leave makes all further answers ask the client to close its connection.
func (l *listener) leave() { l.leaving.Store(true) }

// close rejects new connections and waits up to limit for requests in progress,
// which it interrupts after that. Connections that the kernel has accepted are served,
// and an idle connection is closed only if no byte of a request has arrived on it.
func (l *listener) close(ctx context.Context, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	l.leave()
	l.tcp.drain()
	l.serving.Wait()
	l.conns.endIdle(time.Now().Add(min(newConnGrace, limit/2)))
	err := l.conns.wait(ctx)
	if err != nil {
		_ = l.server.Close()
	}
	// Close closes a socket on which the server never served.
	_ = l.server.Shutdown(ctx)
	_ = l.tcp.Close()
	return err
}
