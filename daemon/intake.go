package daemon

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
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
	// freeHead is the part of a head, in bytes, that is not counted: it fits into the
	// buffer of its connection. Each further byte counts headWeight times, because
	// short fields take many times their bytes once they are parsed.
	freeHead   = 4 << 10
	headWeight = 16
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

// errNoRoom ends the reading of a head for which there is no memory.
var errNoRoom = errors.New("no memory for the head of a request")

// taken is what a connection holds of the bounds of its listener. The zero value holds
// nothing and counts nothing.
type taken struct {
	table       *intake.Table
	connLimiter *intake.ConnLimiter
	conn        *intake.Conn
	// address is the IP address of the peer.
	address string
	turn    turn
	// inBody is set while the next bytes belong to a body.
	inBody atomic.Bool

	mu sync.Mutex
	// inHead is set while the next bytes belong to a head.
	inHead   bool
	headRead int
	head     *intake.Entry
}

// turn is the turn of a connection in intake.Turns. A connection has one from the arrival
// of bytes of a head or a body until it reads again, writes, or the message has ended. The
// zero value takes no turns.
type turn struct {
	turns *intake.Turns
	// spent is the cost of all turns so far. Only the reader uses it.
	spent int64
	// held is set while the connection has a turn. It gets none once closed is set.
	held   atomic.Bool
	closed atomic.Bool
}

// take waits for a turn for bytes that have arrived.
func (t *turn) take(address string, bytes int) {
	if t.turns == nil || t.closed.Load() {
		return
	}
	cost := intake.Cost(bytes)
	if w, ok := t.turns.Take(address, t.spent, cost).(intake.Waiting); ok {
		<-w.Ready
	}
	t.spent += cost
	t.held.Store(true)
	if t.closed.Load() {
		t.end()
	}
}

func (t *turn) end() {
	if t.held.Swap(false) {
		t.turns.End()
	}
}

func (t *turn) close() {
	t.closed.Store(true)
	t.end()
}

// withTrackedConn adds the connection to the contexts of its requests. It is used as
// http.Server.ConnContext.
func withTrackedConn(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := conn.(*trackedConn); ok && c.taken.connLimiter != nil {
		return limits.WithConn(ctx, c)
	}
	return ctx
}

// BeginBody implements limits.Conn.
func (c *trackedConn) BeginBody(message *intake.Entry) {
	c.taken.inBody.Store(true)
	c.taken.connLimiter.Attach(c.taken.conn, message)
}

// BeginAnswer implements limits.Conn.
func (c *trackedConn) BeginAnswer(message *intake.Entry) {
	c.taken.connLimiter.Attach(c.taken.conn, message)
}

// EndMessage implements limits.Conn.
func (c *trackedConn) EndMessage() {
	c.taken.inBody.Store(false)
	c.taken.turn.end()
	c.taken.connLimiter.Attach(c.taken.conn, nil)
}

// DiscardBody implements limits.Conn.
func (c *trackedConn) DiscardBody() { c.taken.inBody.Store(true) }

// enter enters an accepted connection in the bounds of the listener. It returns false if the
// connection must be closed.
func (a *acceptor) enter(c *trackedConn) bool {
	if a.connLimiter == nil {
		return true
	}
	c.taken.table, c.taken.connLimiter, c.taken.inHead = a.table, a.connLimiter, true
	c.taken.turn.turns, c.taken.address = a.turns, addressOf(c)
	conn, decision := a.connLimiter.Open(c.taken.address, c, time.Now())
	granted, ok := decision.(intake.Granted)
	c.taken.conn = conn
	for _, holder := range granted.Evicted {
		holder.Evict()
	}
	return ok
}

func addressOf(c *trackedConn) string {
	host, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		return c.RemoteAddr().String()
	}
	return host
}

// Evict implements intake.Holder. It closes the connection. One on which a message is in
// progress is reset, which also frees what the kernel has not sent; the last answer on an
// idle one still reaches the client.
func (c *trackedConn) Evict() {
	if c.begun.Load() {
		_ = c.SetLinger(0)
	}
	c.taken.turn.close()
	_ = c.TCPConn.Close()
}

// beforeRead reserves memory for the next bytes of a head. It returns their bound.
func (c *trackedConn) beforeRead(p []byte) ([]byte, error) {
	t := &c.taken
	if t.connLimiter == nil {
		return p, nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.inHead || len(p) == 0 {
		return p, nil
	}
	if t.headRead < freeHead {
		return p[:min(len(p), freeHead-t.headRead)], nil
	}
	now := time.Now()
	if t.head == nil {
		t.head = t.table.Begin(intake.Head{}, t.address, c, now)
	}
	p = p[:min(len(p), freeHead)]
	switch d := t.table.Reserve(t.head, headWeight*int64(len(p)), now).(type) {
	case intake.Granted:
		for _, holder := range d.Evicted {
			holder.Evict()
		}
		return p, nil
	default:
		return nil, errNoRoom
	}
}

// afterRead records the bytes that have arrived, and waits for a turn to parse them.
func (c *trackedConn) afterRead(n int) {
	t := &c.taken
	if t.connLimiter == nil || n <= 0 {
		return
	}
	t.connLimiter.Receive(t.conn, n)
	if t.recordHead(n) || t.inBody.Load() {
		t.turn.take(t.address, n)
	}
}

// recordHead records bytes of a head. It reports whether the bytes belong to one.
func (t *taken) recordHead(n int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.inHead {
		return false
	}
	t.headRead += n
	if t.head != nil {
		t.table.Progress(t.head, int64(n), time.Now())
	}
	return true
}

// record follows the states of a connection.
func (t *taken) record(state http.ConnState) {
	if t.connLimiter == nil {
		return
	}
	t.turn.end()
	t.inBody.Store(false)
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case http.StateNew:
	case http.StateActive:
		t.inHead = false
		t.connLimiter.Occupy(t.conn)
		if t.head != nil {
			t.table.Hold(t.head)
		}
	case http.StateIdle:
		t.inHead, t.headRead = true, 0
		t.connLimiter.Free(t.conn, time.Now())
		t.endHead()
	case http.StateClosed, http.StateHijacked:
		t.endHead()
	}
}

func (t *taken) endHead() {
	if t.head != nil {
		t.table.End(t.head)
		t.head = nil
	}
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	err := c.TCPConn.Close()
	c.taken.turn.close()
	if c.taken.connLimiter != nil && c.taken.conn != nil {
		c.taken.connLimiter.Close(c.taken.conn)
	}
	return err
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
