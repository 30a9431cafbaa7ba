package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/samber/oops"
)

// listener is an HTTP server on one address. It opens its socket before it serves,
// so that the addresses are known before the host's components are built.
type listener struct {
	tcp     net.Listener
	server  *http.Server
	serving sync.WaitGroup
}

// headerTimeout closes connections on which no request header arrives.
const headerTimeout = 10 * time.Second

func listen(address string) (*listener, error) {
	n, err := net.Listen("tcp", address)
	if err != nil {
		return nil, oops.Wrapf(err, "listen on %s", address)
	}
	return &listener{tcp: n, server: &http.Server{ReadHeaderTimeout: headerTimeout}}, nil
}

func (l *listener) serve(handler http.Handler) {
	l.server.Handler = handler
	l.serving.Go(func() { _ = l.server.Serve(l.tcp) })
}

func (l *listener) address() string { return l.tcp.Addr().String() }

// close rejects new connections and waits up to limit for requests in progress,
// which it interrupts after that.
func (l *listener) close(ctx context.Context, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	err := l.server.Shutdown(ctx)
	if err != nil {
		_ = l.server.Close()
	}
	// Shutdown does not close a socket on which the server never served.
	_ = l.tcp.Close()
	l.serving.Wait()
	return err
}
