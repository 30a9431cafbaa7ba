package dial

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"
)

// ProbeResult is what a probe finds out about a server that does not answer. The
// interface is sealed.
type ProbeResult interface{ fault() }

type (
	// Down means that the server refused a new connection.
	Down struct{}
	// Silent means that a new connection is answered, so that only the old one
	// is lost.
	Silent struct{}
	// Slow means that a new connection is not answered in time either.
	Slow struct{}
)

func (Down) fault()   {}
func (Silent) fault() {}
func (Slow) fault()   {}

const (
	// patience is the least time without an answer after which a server is
	// probed. Two of it and a probe stay under the target of 1 s.
	patience = 250 * time.Millisecond
	// patienceFactor is the multiple of the slowest recent exchange that gives
	// the patience where it is more.
	patienceFactor = 3
	// slowestDecay is the number of exchanges in which the slowest recent one
	// loses its weight.
	slowestDecay = 32
	// probeTime bounds a probe.
	probeTime = 200 * time.Millisecond
	// lateAnswer is how long a request may still be answered after the probe.
	lateAnswer = 5 * time.Millisecond
)

// inspection is a probe that all exchanges in doubt share.
type inspection struct {
	done  chan struct{}
	found ProbeResult
}

// patient returns how long an exchange waits before the server is probed.
func (p *Pool) patient() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(patience, patienceFactor*p.slowest)
}

// answeredSince reports whether the server answered on any connection after
// the given time.
func (p *Pool) answeredSince(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.answered.After(at)
}

// inspect probes the server over a new connection, or starts to, and returns
// the inspection.
func (p *Pool) inspect() *inspection {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.probe != nil {
		return p.probe
	}
	i := &inspection{done: make(chan struct{}), found: Slow{}}
	if p.closed {
		close(i.done)
		return i
	}
	p.probe = i
	p.probes.Go(func() {
		i.found = p.probeNew()
		close(i.done)
		if _, silent := i.found.(Silent); silent {
			p.probeIdle()
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		p.probe = nil
	})
	return i
}

// wait returns what the inspection found, or Slow if it takes longer than the
// context.
func (i *inspection) wait(ctx context.Context) ProbeResult {
	select {
	case <-i.done:
		return i.found
	case <-ctx.Done():
		return Slow{}
	}
}

func (p *Pool) probeNew() ProbeResult {
	ctx, cancel := context.WithTimeout(context.Background(), probeTime)
	defer cancel()
	c, err := p.dial(ctx, true)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			return Down{}
		}
		return Slow{}
	}
	if !p.ping(c) {
		p.drop(c)
		return Slow{}
	}
	p.keep(c)
	return Silent{}
}

// keep puts a probe's connection into the pool unless the pool has used its
// headroom.
func (p *Pool) keep(c *connection) {
	p.mu.Lock()
	over := p.limit > 0 && p.open+p.countLost(time.Now()) > p.limit-max(headroomMin, p.limit/headroomShare)
	p.mu.Unlock()
	if over {
		p.drop(c)
		return
	}
	p.put(c)
}

// probeIdle replaces the idle connections that do not answer.
func (p *Pool) probeIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		p.probes.Go(func() {
			if p.ping(c) {
				p.put(c)
				return
			}
			p.lose(c, time.Now().Add(silentGrace))
		})
	}
}

// ping asks for the server's state over a connection.
func (p *Pool) ping(c *connection) bool {
	s := scratches.Get().(*scratch)
	defer s.free()
	s.body.Reset()
	s.compose(http.MethodGet, pathState, p.address, probeTime)
	if c.conn.SetDeadline(time.Now().Add(probeTime)) != nil {
		return false
	}
	if _, err := s.send(c); err != nil {
		return false
	}
	r, err := s.receive(c, getRequest)
	return err == nil && r.reusable
}
