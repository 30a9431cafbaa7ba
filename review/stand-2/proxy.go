//go:build review

package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// proxy passes connections on to an address.
type proxy struct {
	listener net.Listener
	target   string
	// pace, if not zero, is the time for which a piece of an answer is held back, as on a
	// slow link.
	pace time.Duration
	// piece is the size of a piece in bytes.
	piece int

	mu    sync.Mutex
	conns map[*proxied]bool
}

// proxied is a connection through a proxy. A silent one passes nothing on and stays open.
type proxied struct {
	mu     sync.Mutex
	silent chan struct{}
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: make(map[*proxied]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c.(*net.TCPConn))
	}
}

// smallWindow makes a connection take in little at a time, like the links of the
// deployments, whose windows are small.
func smallWindow(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1400)
	})
}

func (p *proxy) serve(in *net.TCPConn) {
	dialer := net.Dialer{Timeout: time.Second}
	if p.pace > 0 {
		dialer.Control = smallWindow
	}
	conn, err := dialer.Dial("tcp", p.target)
	if err != nil {
		_ = in.SetLinger(0)
		_ = in.Close()
		return
	}
	out := conn.(*net.TCPConn)
	c := &proxied{silent: make(chan struct{})}
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.pass(c, out, in, 0) })
	both.Go(func() { p.pass(c, in, out, p.pace) })
	both.Wait()
	_ = in.Close()
	_ = out.Close()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// pass copies from one connection to another. The end of one direction is passed on as it
// came: a FIN as a FIN, a reset as a reset.
func (p *proxy) pass(c *proxied, to, from *net.TCPConn, pace time.Duration) {
	size := 32 << 10
	if pace > 0 {
		size = p.piece
	}
	buffer := make([]byte, size)
	for {
		n, err := from.Read(buffer)
		select {
		case <-c.silent:
			// The connection stays open, and nothing passes.
			return
		default:
		}
		if n > 0 {
			time.Sleep(pace)
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.SetLinger(0)
				_ = from.Close()
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			_ = to.CloseWrite()
			return
		case err != nil:
			_ = to.SetLinger(0)
			_ = to.Close()
			return
		}
	}
}

// silence makes all open connections silent for good. New ones work.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for c := range p.conns {
		c.mu.Lock()
		select {
		case <-c.silent:
		default:
			close(c.silent)
			n++
		}
		c.mu.Unlock()
	}
	return n
}
