//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request that reached a backend server.
type arrival struct {
	at     time.Time
	server string
	id     string
	// tenant is the account that the request names, and key is set if it bears a key.
	tenant string
	key    bool
	ran    bool
}

// arrivals are the requests that reached the backend servers.
type arrivals struct {
	mu   sync.Mutex
	list []arrival
}

func (a *arrivals) add(x arrival) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, x)
}

func (a *arrivals) all() []arrival {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]arrival(nil), a.list...)
}

// backend is a stand-in for a backend server. It registers itself, echoes Attempt-Id,
// seals its answers and answers 421 to a request that expects another instance.
type backend struct {
	id, service, zone string
	listener          net.Listener
	server            *http.Server
	born              int64
	seq               atomic.Int64
	arrivals          *arrivals
	// registered is cleared once the server has removed its entry.
	registered atomic.Bool
	// refusing is set while the server refuses part of its requests, as not run.
	refusing atomic.Bool
	// unframed is the size in bytes of an answer without a length; zero answers with one.
	unframed int
}

const (
	beat  = 1200 * time.Millisecond
	work  = 15 * time.Millisecond
	slots = 6
)

func newBackend(id, service, zone string, a *arrivals) (*backend, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &backend{id: id, service: service, zone: zone, listener: l, born: time.Now().UnixMilli(), arrivals: a}
	b.server = &http.Server{Handler: b}
	go func() { _ = b.server.Serve(l) }()
	return b, nil
}

func (b *backend) key() string { return "servers/" + b.id }

// register writes the entry now and at each beat until it is removed.
func (b *backend) register(s *store) {
	b.registered.Store(true)
	write := func() {
		s.put(b.key(), map[string]any{
			"Service": b.service, "Addr": b.listener.Addr().String(), "Zone": b.zone, "Version": "v1", "Slots": slots,
			"State": "ready", "ColdLeftMs": 0, "Seq": b.seq.Add(1), "born": b.born,
		})
	}
	write()
	go func() {
		// The entry changes when more than Seq changes, so a beat writes nothing here.
		for b.registered.Load() {
			time.Sleep(beat)
		}
	}()
}

// leave removes the entry. The server goes on serving.
func (b *backend) leave(s *store) time.Time {
	b.registered.Store(false)
	return s.remove(b.key())
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	header := w.Header()
	header.Set("Attempt-Id", id)
	if r.Header.Get("Expect-Instance") != b.id {
		b.arrivals.add(arrival{at: time.Now(), server: b.id, id: id})
		header.Set("Instance-Id", b.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if b.refusing.Load() && isRefused() {
		b.arrivals.add(arrival{at: time.Now(), server: b.id, id: id})
		header.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.arrivals.add(arrival{at: time.Now(), server: b.id, id: id, tenant: r.Header.Get("Tenant"), key: r.Header.Get("Key") != "", ran: true})
	time.Sleep(work)
	header.Set("Server-Seal", seal(b.id, id))
	if b.unframed == 0 {
		content := body(b.id, id, 6000)
		header.Set("Content-Length", strconv.Itoa(len(content)))
		_, _ = w.Write(content)
		return
	}
	// net/http sends an HTTP/1.1 answer without a length only over a connection that it
	// has handed over.
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: %s\r\nConnection: close\r\n\r\n", id, seal(b.id, id))
	_, _ = conn.Write(append([]byte(head), body(b.id, id, b.unframed)...))
}

func seal(server, id string) string { return "seal." + server + "." + id }

// body returns the bytes of a server's answer to a request.
func body(server, id string, size int) []byte {
	line := server + " " + id + "\n"
	return []byte(strings.Repeat(line, size/len(line)+1))[:size]
}
