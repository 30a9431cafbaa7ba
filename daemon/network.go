package daemon

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// clientConnKey is the context key of a request's clientConn.
type clientConnKey struct{}

// clientConn is a connection from a client.
type clientConn struct {
	conn *net.TCPConn
	// served is true once the connection has served a request.
	served atomic.Bool
}

// withClientConn adds the clientConn to the contexts of a connection's requests. It
// is used as http.Server.ConnContext.
func withClientConn(ctx context.Context, conn net.Conn) context.Context {
	tracked, ok := conn.(*trackedConn)
	if !ok {
		return ctx
	}
	ctx = withTrackedConn(ctx, conn)
	return context.WithValue(ctx, clientConnKey{}, &clientConn{conn: tracked.TCPConn})
}

// networkTime returns the part of a client's waiting time that is spent on the
// network: one round trip for the request and its answer, and one more if the
// connection was opened for this request. It is zero if the kernel does not
// report a round-trip time.
func networkTime(r *http.Request) time.Duration {
	client, ok := r.Context().Value(clientConnKey{}).(*clientConn)
	if !ok {
		return 0
	}
	roundTrips := time.Duration(1)
	if !client.served.Swap(true) {
		roundTrips++
	}
	raw, err := client.conn.SyscallConn()
	if err != nil {
		return 0
	}
	var roundTrip time.Duration
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			roundTrip = time.Duration(info.Rtt) * time.Microsecond
		}
	})
	return roundTrips * min(roundTrip, maxRoundTrip)
}

// maxRoundTrip caps the round-trip time that the kernel reports, so that a wrong
// value does not make every answer partial.
const maxRoundTrip = 50 * time.Millisecond
