//go:build review

package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// The case "kept": many clients send whole bodies of legal size to one host and come again at
// once. Others send requests without a body on connections that they keep, and get
// answers of the greatest length of the site. A host must answer what it has passed on.

const (
	// keptBody is the length of each body, below the operators' limit bodyLimit, and
	// keptAnswer that of each answer to a request without a body.
	keptBody   = 200_000
	keptAnswer = 18_000
	// senders send bodies, senderPause after the last answer, whatever it was.
	senders     = 300
	senderPause = 2 * time.Millisecond
	// readers send requests on connections that they keep, readerPause after the last
	// answer.
	readers     = 32
	readerPause = 10 * time.Millisecond
	keptTime    = 30 * time.Second
	// serverTime is how long a server works on a request.
	serverTime = 50 * time.Millisecond
	// allowedLost is the number of requests that may be closed without an answer.
	allowedLost = 3
)

// answered holds the ids of the requests that servers have answered whole.
type answered struct{ ids sync.Map }

func (a *answered) serve(w http.ResponseWriter, r *http.Request, id string) {
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", id)
		return
	}
	attempt := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", attempt)
	if r.Header.Get("Expect-Instance") != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	time.Sleep(serverTime)
	w.Header().Set("Server-Seal", id+"."+attempt)
	if r.Method != http.MethodGet {
		_, _ = io.WriteString(w, "answer to "+attempt)
		return
	}
	w.Header().Set("Content-Length", fmt.Sprint(keptAnswer))
	if _, err := w.Write(bytes.Repeat([]byte("x"), keptAnswer)); err == nil {
		a.ids.Store(attempt, id)
	}
}

// reader sends requests on a connection that it keeps.
type reader struct {
	name    string
	address string
	server  *answered
	record  *record
	got     *outcomes
	lost    *atomic.Int64

	conn   net.Conn
	buffer *bufio.Reader
}

func (c *reader) run(over *atomic.Bool) {
	for k := 0; !over.Load(); k++ {
		id := fmt.Sprintf("%s-%d", c.name, k)
		isNew := c.conn == nil
		if isNew && !c.open() {
			time.Sleep(readerPause)
			continue
		}
		status, closes, err := c.request(id)
		c.got.add(status, err)
		if server, sent := c.server.ids.Load(id); err != nil && sent && !isNew && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.lost.Add(1)
			c.record.printf("LOST: request %s on a kept connection: server %v has run it and sent its whole answer, the host has closed the connection without an answer: %v", id, server, err)
		}
		if err != nil || closes {
			_ = c.conn.Close()
			c.conn = nil
		}
		time.Sleep(readerPause)
	}
	if c.conn != nil {
		_ = c.conn.Close()
	}
}

func (c *reader) open() bool {
	conn, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return false
	}
	c.conn, c.buffer = conn, bufio.NewReader(conn)
	return true
}

func (c *reader) request(id string) (status int, closes bool, err error) {
	_ = c.conn.SetDeadline(time.Now().Add(9 * time.Second))
	if _, err := fmt.Fprintf(c.conn, "GET /records/%s HTTP/1.1\r\nHost: review.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 8000\r\n\r\n", id, id); err != nil {
		return 0, true, err
	}
	response, err := http.ReadResponse(c.buffer, nil)
	if err != nil {
		return 0, true, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Close, err
}

func kept(r *record, trouble bool) int {
	machine := settings{cores: 0.192, memory: 184, files: 4100, burst: 162}
	d, err := newDeployment([]string{"bp-kelenfold", "bp-angyalfold", "bp-csepel", "bp-kobanya"}, machine)
	if err != nil {
		r.printf("not run: %v", err)
		return exitFailed
	}
	defer d.close()
	server := &answered{}
	for i := range 4 {
		id := fmt.Sprintf("i-%d", i)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			r.printf("not run: %v", err)
			return exitFailed
		}
		s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { server.serve(w, q, id) })}
		go func() { _ = s.Serve(l) }()
		d.store.put("servers/"+id, registration(l.Addr().String(), d.hosts[2*i].zone))
	}
	d.store.put("op/config", configuration())
	if err := d.start(); err != nil {
		r.printf("not run: %v", err)
		return exitFailed
	}
	r.printf("%d hosts ready, %d MB each", len(d.hosts), machine.memory)
	return playKept(d, r, server, trouble)
}

func playKept(d *deployment, r *record, server *answered, trouble bool) int {
	var (
		over       atomic.Bool
		group      sync.WaitGroup
		read, sent outcomes
		lost       atomic.Int64
	)
	address := d.hosts[0].address(d.hosts[0].ports.front)
	for n := range readers {
		c := &reader{name: fmt.Sprintf("r%d", n), address: address, server: server, record: r, got: &read, lost: &lost}
		group.Go(func() { c.run(&over) })
	}
	count := ordinaryClients
	if trouble {
		count = senders
	}
	r.printf("%d clients send requests on kept connections to %s, %d send bodies of %d bytes", readers, d.hosts[0].name, count, keptBody)
	for n := range count {
		group.Go(func() {
			for k := 0; !over.Load(); k++ {
				status, retryAfter, err := post(address, fmt.Sprintf("s%d-%d", n, k), keptBody)
				sent.add(status, err)
				if trouble {
					retryAfter = 0
				}
				time.Sleep(max(senderPause, retryAfter))
			}
		})
	}
	time.Sleep(keptTime)
	over.Store(true)
	group.Wait()
	r.printf("bodies: %s", &sent)
	r.printf("kept connections: %s; %d of the latter lost, %d allowed", &read, lost.Load(), allowedLost)
	switch {
	case lost.Load() > allowedLost:
		return exitBroken
	case read.served.Load() == 0:
		return exitFailed
	default:
		return exitHeld
	}
}
