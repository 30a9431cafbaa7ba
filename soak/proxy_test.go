package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// proxyFault is what a proxy does to the bytes of its connections. The
// interface is sealed.
type proxyFault interface{ proxyFault() }

type (
	proxyHealthy struct{}
	// proxyDelayed delays each piece of data by proxyDelay.
	proxyDelayed struct{}
	// proxyDropsReplies drops all bytes from the target to the client. Open
	// connections stay silent after the fault has ended; new ones are not affected.
	proxyDropsReplies struct{}
	// proxyReset resets connections.
	proxyReset struct{}
)

func (proxyHealthy) proxyFault()      {}
func (proxyDelayed) proxyFault()      {}
func (proxyDropsReplies) proxyFault() {}
func (proxyReset) proxyFault()        {}

// proxyDelay is the delay of bytes in each direction.
const proxyDelay = 60 * time.Millisecond

// proxy forwards TCP connections from its listener to the target address.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	fault proxyFault
	conns map[net.Conn]bool
	// dropsReplies holds the client connections that receive no more bytes.
	dropsReplies map[net.Conn]bool
}

func newProxy(addr, target string) (*proxy, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, fault: proxyHealthy{}, conns: make(map[net.Conn]bool), dropsReplies: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(c net.Conn) {
	server, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		reset(c)
		return
	}
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go func() { p.forward(server, c, c); done <- struct{}{} }()
	go func() { p.forward(c, server, c); done <- struct{}{} }()
	<-done
	_ = server.Close()
	_ = c.Close()
	<-done
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.dropsReplies, c)
	p.mu.Unlock()
}

// forward copies bytes from one connection to another until one of them fails.
// client is the connection to the client, one of the two.
func (p *proxy) forward(to, from, client net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.mu.Lock()
			fault, dropReply := p.fault, p.dropsReplies[client]
			p.mu.Unlock()
			if _, delayed := fault.(proxyDelayed); delayed {
				sleep(proxyDelay)
			}
			// Requests still pass on a connection whose replies are dropped.
			if !dropReply || to != client {
				if _, err := to.Write(buffer[:n]); err != nil {
					return
				}
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				reset(to)
			}
			return
		}
	}
}

// setFault sets the fault and applies it to the open connections.
func (p *proxy) setFault(f proxyFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	for c := range p.conns {
		switch f.(type) {
		case proxyDropsReplies:
			p.dropsReplies[c] = true
		case proxyReset:
			reset(c)
		}
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.setFault(proxyReset{})
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
