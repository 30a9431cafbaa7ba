package dial

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"
)

// ProbeResult is the result of probing a server that does not answer a request.
// The interface is sealed.
type ProbeResult interface{ probeResult() }

type (
	// Down means that the server refused a new connection.
	Down struct{}
	// Silent means that the server answered over a new connection, so that only
	// the old connection is silent.
	Silent struct{}
	// Slow means that the server did not answer over a new connection in time
	// either.
	Slow struct{}
)

func (Down) probeResult()   {}
func (Silent) probeResult() {}
func (Slow) probeResult()   {}

const (
	// minProbeDelay is the least time without an answer after which a server is
	// probed. Twice this time plus a probe stays under the target of 1 s.
	minProbeDelay = 250 * time.Millisecond
	// probeDelayFactor is the multiple of the slowest recent exchange that is
	// used as the delay if it is longer than minProbeDelay.
	probeDelayFactor = 3
	// slowestDecay is the number of exchanges over which the maximum of their
	// durations decays.
	slowestDecay = 32
	// probeTimeout bounds a probe.
	probeTimeout = 200 * time.Millisecond
	// lateAnswerTime is how long a request may still be answered after a probe
	// whose result is Silent.
	lateAnswerTime = 5 * time.Millisecond
)

// probe is a check of a server. All exchanges that wait for an answer of the
// server share it. The result is valid once done is closed.
type probe struct {
	done   chan struct{}
	result ProbeResult
}

// probeDelay returns how long an exchange waits for the first byte of a response
// before the server is probed.
func (p *Pool) probeDelay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(minProbeDelay, probeDelayFactor*p.slowest)
}

// answeredSince reports whether the server answered on any connection after
// the given time.
func (p *Pool) answeredSince(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastAnswer.After(at)
}

// startProbe starts a probe of the server over a new connection, unless one is in
// progress, and returns the probe.
func (p *Pool) startProbe() *probe {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.runningProbe != nil {
		return p.runningProbe
	}
	started := &probe{done: make(chan struct{}), result: Slow{}}
	if p.closed {
		close(started.done)
		return started
	}
	p.runningProbe = started
	p.probes.Go(func() {
		started.result = p.probeNewConnection()
		close(started.done)
		if _, silent := started.result.(Silent); silent {
			p.probeIdleConnections()
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		p.runningProbe = nil
	})
	return started
}

// wait returns the result of the probe, or Slow if the context ends first.
func (pr *probe) wait(ctx context.Context) ProbeResult {
	select {
	case <-pr.done:
		return pr.result
	case <-ctx.Done():
		return Slow{}
	}
}

// probeNewConnection opens a connection and requests the server's state over it.
func (p *Pool) probeNewConnection() ProbeResult {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
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
	p.putProbed(c)
	return Silent{}
}

// putProbed adds a probe's connection to the idle ones, or drops it if it uses
// the headroom.
func (p *Pool) putProbed(c *connection) {
	p.mu.Lock()
	inHeadroom := p.limit > 0 && p.open+p.countSilent(time.Now()) > p.limit-max(minHeadroom, p.limit/headroomDivisor)
	p.mu.Unlock()
	if inHeadroom {
		p.drop(c)
		return
	}
	p.put(c)
}

// probeIdleConnections drops the idle connections that do not answer.
func (p *Pool) probeIdleConnections() {
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
			p.dropSilent(c, time.Now().Add(silentGrace))
		})
	}
}

// ping requests the server's state over a connection and reports whether a
// complete response arrived and the connection may be used again.
func (p *Pool) ping(c *connection) bool {
	s := scratchPool.Get().(*scratch)
	defer s.release()
	s.requestBody.Reset()
	s.compose(http.MethodGet, pathState, p.address, probeTimeout)
	if c.conn.SetDeadline(time.Now().Add(probeTimeout)) != nil {
		return false
	}
	if _, err := s.send(c); err != nil {
		return false
	}
	r, err := s.receive(c, getRequest)
	return err == nil && r.reusable
}
