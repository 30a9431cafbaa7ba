//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// hostName is the host of all routes.
const hostName = "review.example"

// answer is the answer to a request; its status is zero if none arrived.
type answer struct {
	id     string
	status int
	header http.Header
	body   []byte
	err    error
	sent   time.Time
	// kept is set if the request was sent on a connection that had served another one.
	kept bool
}

// client sends requests to one host over connections that it keeps.
type client struct {
	d    *deployment
	host *host
	http *http.Client
}

var lastID atomic.Int64

func newID() string { return fmt.Sprintf("%016x", 0x5000000000000000+lastID.Add(1)) }

func (d *deployment) newClient(h *host) *client {
	return &client{d: d, host: h, http: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 32}}}
}

// send sends a request, waits for its answer and records both.
func (c *client) send(method, path, body string, deadline time.Duration) answer {
	a := c.exchange(method, path, body, deadline)
	result := fmt.Sprintf("%d with %d bytes", a.status, len(a.body))
	if a.err != nil {
		result = fmt.Sprintf("no answer (%v)", a.err)
	}
	c.d.note("client of %s: sent %s %s %s with %d bytes %.3f s ago, got %s", c.host.name, a.id, method, path, len(body), time.Since(a.sent).Seconds(), result)
	return a
}

func (c *client) exchange(method, path, body string, deadline time.Duration) answer {
	a := answer{id: newID(), sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline+300*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.d.address(c.host.ip, offsetClients)+path, strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	var kept atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { kept.Store(i.Reused) }}
	r = r.WithContext(httptrace.WithClientTrace(ctx, trace))
	r.Host = hostName
	r.Header.Set("Attempt-Id", a.id)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	response, err := c.http.Do(r)
	a.kept = kept.Load()
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = response.Body.Close() }()
	a.body, a.err = io.ReadAll(response.Body)
	if a.err == nil {
		a.status, a.header = response.StatusCode, response.Header
	}
	return a
}

// every calls f at each interval in a goroutine of its own until the time, and waits for
// all calls.
func every(interval time.Duration, until time.Time, f func()) {
	var calls sync.WaitGroup
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for time.Now().Before(until) {
		calls.Go(f)
		<-ticker.C
	}
	calls.Wait()
}

// statuses counts answers by status.
type statuses struct {
	mu     sync.Mutex
	counts map[int]int
}

func (s *statuses) add(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counts == nil {
		s.counts = make(map[int]int)
	}
	s.counts[status]++
}

func (s *statuses) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprint(s.counts)
}
