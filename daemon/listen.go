package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/samber/oops"
)

// listener is an HTTP server on one address.
type listener struct {
	net     net.Listener
	http    *http.Server
	serving sync.WaitGroup
}

// headerTimeout ends connections that never send a request.
const headerTimeout = 10 * time.Second

func startListener(address string, handler http.Handler) (*listener, error) {
	n, err := net.Listen("tcp", address)
	if err != nil {
		return nil, oops.Wrapf(err, "listen on %s", address)
	}
	l := &listener{net: n, http: &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}}
	l.serving.Go(func() { _ = l.http.Serve(n) })
	return l, nil
}

func (l *listener) address() string { return l.net.Addr().String() }

// close refuses new connections and waits for requests in progress.
func (l *listener) close(limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	err := l.http.Shutdown(ctx)
	if err != nil {
		_ = l.http.Close()
	}
	l.serving.Wait()
	return err
}
