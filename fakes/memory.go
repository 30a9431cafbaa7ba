package fakes

import (
	"context"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
)

// Network connects clients with listeners in memory over net.Pipe, for tests in
// virtual time. In a synctest bubble, time does not advance while a goroutine
// is blocked on a real socket. The zero value is ready to use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
	last      int
}

// acceptBacklog is the largest number of connections that wait for Accept.
const acceptBacklog = 64

// Listen returns a listener on a new address.
func (n *Network) Listen() net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = make(map[string]*memoryListener)
	}
	n.last++
	l := &memoryListener{
		network:  n,
		address:  memoryAddress("memory-" + strconv.Itoa(n.last)),
		incoming: make(chan net.Conn, acceptBacklog),
		closed:   make(chan struct{}),
	}
	n.listeners[l.address.String()] = l
	return l
}

// Dial opens a connection. If nothing listens on the address, it returns
// ECONNREFUSED as over TCP.
func (n *Network) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	refused := &net.OpError{Op: "dial", Net: network, Addr: memoryAddress(address), Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	if l == nil {
		return nil, refused
	}
	clientEnd, serverEnd := net.Pipe()
	client := newMemoryClientConn(clientEnd)
	select {
	case l.incoming <- &memoryServerConn{Conn: serverEnd, client: client}:
		return client, nil
	case <-l.closed:
		_ = client.Close()
		return nil, refused
	case <-ctx.Done():
		_ = client.Close()
		return nil, ctx.Err()
	}
}

type memoryAddress string

// Network implements net.Addr.
func (memoryAddress) Network() string { return "memory" }

// String implements net.Addr.
func (a memoryAddress) String() string { return string(a) }

type memoryListener struct {
	network  *Network
	address  memoryAddress
	incoming chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// Accept implements net.Listener.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.incoming:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close refuses further connections and closes those not yet accepted.
func (l *memoryListener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		delete(l.network.listeners, l.address.String())
		l.network.mu.Unlock()
		close(l.closed)
		for {
			select {
			case c := <-l.incoming:
				_ = c.Close()
			default:
				return
			}
		}
	})
	return nil
}

// Addr implements net.Listener.
func (l *memoryListener) Addr() net.Addr { return l.address }
