package daemon

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// tripKey is the key of a connection's trip in the contexts of its requests.
type clientConnKey struct{}

// trip tells how far away the client of a connection is.
type clientConn struct {
	conn *net.TCPConn
	// used is true once the connection served a request.
	served atomic.Bool
}

// withTrip is a http.Server's ConnContext.
func withClientConn(ctx context.Context, conn net.Conn) context.Context {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return ctx
	}
	return context.WithValue(ctx, clientConnKey{}, &clientConn{conn: tcp})
}

// awayOf returns the part of a client's waiting time that passes on the network:
// a round trip for the request and its answer, and one more for a connection
// that was opened for the request. It is zero where the kernel does not tell.
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

// maxRound bounds the round trip that is believed, so that a wrong figure does
// not make every answer partial.
const maxRoundTrip = 50 * time.Millisecond
