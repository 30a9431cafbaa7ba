package daemon

import (
	"cmp"
	"errors"
	"runtime"
	"syscall"
	"time"

	"github.com/samber/oops"
	"golang.org/x/sys/unix"

	"hyssophub/intake"
	"hyssophub/limits"
	"hyssophub/setup"
	"hyssophub/stats"
)

// Bounds of the messages that other hosts and administrators send, in bytes. A message of
// another host holds the body of a client's request.
const (
	maxPeerBytes  = 8 << 20
	maxAdminBytes = 4 << 20
	// maxStatusHead bounds the heads of requests for readiness and metrics, in bytes.
	maxStatusHead = 16 << 10
	// peerWeight counts what twirp takes for a message of another host: its bytes in buffers
	// that grow by half, and a copy of them or the decoded message.
	peerWeight = 3
)

// bounds are the tables and sizes that the listeners of a host share.
type bounds struct {
	table *intake.Table
	turns *intake.Turns
	// buffer is the size of the kernel's buffers of a connection, in bytes; zero leaves
	// them to the system.
	buffer int
}

// newBounds returns the bounds of a host with the given memory in bytes. Half of the
// processors may parse what has arrived; the others serve requests.
func newBounds(memory int64, buffer int) bounds {
	return bounds{
		table:  intake.NewTable(intake.LimitsFor(memory)),
		turns:  intake.NewTurns(runtime.GOMAXPROCS(0) / 2),
		buffer: buffer,
	}
}

// readIntake returns a function that reads the figures for the metrics of some listeners.
func (b bounds) readIntake(listeners ...*listener) func() stats.IntakeState {
	return func() stats.IntakeState {
		state := stats.IntakeState{Counts: b.table.Counts(), Turns: b.turns.Counts()}
		for _, l := range listeners {
			state.Queued += l.conns.queuedBytes()
		}
		return state
	}
}

// limit makes the connections, heads, bodies and answers of a listener keep to the bounds
// of a host. It is called before serve.
func (l *listener) limit(b bounds, connections int, limiter limits.Limiter) error {
	limiter.Table = b.table
	l.limiter = &limiter
	l.tcp.connLimiter = b.table.NewConnLimiter(connections)
	l.tcp.table, l.tcp.turns = b.table, b.turns
	return l.tcp.setBuffers(b.buffer)
}

// unackedTimeout is the time after which the kernel drops a connection whose peer takes no
// bytes, also one that the host has closed.
const unackedTimeout = 20 * time.Second

// setBuffers sets the sizes of the kernel's buffers, in bytes, of the connections that are
// accepted from now on. The kernel would else let each grow to megabytes, also for
// connections that wait to be accepted.
func (a *acceptor) setBuffers(size int) error {
	raw, err := a.SyscallConn()
	if err != nil {
		return err
	}
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
		if size > 0 {
			err = errors.Join(err,
				unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, size),
				unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, size))
		}
	})
	return oops.Wrapf(errors.Join(controlErr, err), "buffers of %s", a.Addr())
}

// descriptorLimit returns the number of descriptors that the process may have open, which
// the settings name or else the system; zero if neither does.
func descriptorLimit(configured int) int {
	if configured > 0 {
		return configured
	}
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	return int(min(limit.Cur, 1<<20))
}

// limitListeners bounds what the listeners of the host take in.
func (r *Relay) limitListeners() error {
	memory := int64(r.settings.MemoryMB) << 20
	connLimits := intake.ConnLimitsFor(memory, descriptorLimit(r.settings.Descriptors))
	b := newBounds(memory, connLimits.Buffer)
	r.intake = b
	err := errors.Join(
		r.clientListener.limit(b, connLimits.Clients, limits.Limiter{Weight: 1}),
		r.peerListener.limit(b, connLimits.Peers, limits.Limiter{Largest: maxPeerBytes, Weight: peerWeight}),
	)
	for _, l := range []*listener{r.readyListener, r.metricsListener} {
		err = errors.Join(err, l.limit(b, connLimits.Status, limits.Limiter{Bodiless: true}))
		l.server.MaxHeaderBytes = maxStatusHead
		l.server.IdleTimeout = clientIdleTimeout
	}
	return err
}

// limitListeners bounds what the listeners of the host take in.
func (d *Daemon) limitListeners() error {
	memory := int64(cmp.Or(d.settings.MemoryMB, setup.DefaultMemoryMB)) << 20
	connLimits := intake.ConnLimitsFor(memory, descriptorLimit(d.settings.Descriptors))
	b := newBounds(memory, connLimits.Buffer)
	d.intake = b
	return errors.Join(
		d.callerListener.limit(b, connLimits.Clients, limits.Limiter{Weight: 1}),
		d.peerListener.limit(b, connLimits.Peers, limits.Limiter{Largest: maxPeerBytes, Weight: peerWeight}),
		d.adminListener.limit(b, connLimits.Peers, limits.Limiter{Largest: maxAdminBytes, Weight: 1}),
	)
}
