//go:build review

package main

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request that reached a server.
type arrival struct {
	at     time.Time
	id     string
	method string
	uri    string
	body   string
}

// server simulates a backend server.
type server struct {
	id      string
	service string
	zone    string
	address string
	http    *http.Server
	// work is how long a request runs.
	work  time.Duration
	slots chan struct{}
	ended atomic.Bool
	// note writes a line to the record.
	note func(format string, args ...any)

	mu       sync.Mutex
	arrivals []arrival
}

// registration is the entry of a server in the store.
func (s *server) registration(state string, seq int) map[string]any {
	return map[string]any{
		"Service": s.service, "Addr": s.address, "Zone": s.zone, "Version": "v1", "Slots": cap(s.slots),
		"State": state, "ColdLeftMs": 0, "Seq": seq, "born": 1780000000000,
	}
}

func (s *server) key() string { return "servers/" + s.id }

// addServer starts a server with a number of slots. Each has an address of its own.
func (d *deployment) addServer(service string, zone, slots int, work time.Duration) (*server, error) {
	n := len(d.servers) + 1
	s := &server{
		id: fmt.Sprintf("i-%06x", n*40503), service: service, zone: zoneName(zone), work: work, slots: make(chan struct{}, slots), note: d.note,
		address: d.address(fmt.Sprintf("127.61.%d.%d", 100+n/200, 1+n%200), offsetServer),
	}
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return nil, err
	}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: time.Second}
	go func() { _ = s.http.Serve(l) }()
	d.servers = append(d.servers, s)
	return s, nil
}

// close ends the server: its address refuses connections and open ones end.
func (s *server) close() {
	if s.http != nil && !s.ended.Swap(true) {
		_ = s.http.Close()
	}
}

// ServeHTTP runs a request as the platform's pages describe it.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("Attempt-Id", id)
	if r.Header.Get("Expect-Instance") != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, arrival{at: time.Now(), id: id, method: r.Method, uri: r.RequestURI, body: string(body)})
	s.mu.Unlock()
	left, _ := strconv.Atoi(r.Header.Get("Deadline-Ms"))
	select {
	case s.slots <- struct{}{}:
	case <-time.After(time.Duration(left) * time.Millisecond):
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.slots }()
	time.Sleep(s.work)
	s.note("server %s of %s in %s: ran %s %s %s with %d bytes", s.id, s.service, s.zone, id, r.Method, r.RequestURI, len(body))
	w.Header().Set("Server-Seal", seal(s.service, id))
	_, _ = w.Write(records(s.service, id))
}

func (s *server) seen() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}

func seal(service, id string) string { return service + "." + id }

// records returns the records of a service for a request.
func records(service, id string) []byte {
	var b bytes.Buffer
	for i := range 8 {
		sum := sha256.Sum256([]byte(service + id + strconv.Itoa(i)))
		b.Write(sum[:16])
	}
	return b.Bytes()
}

// topRecords returns the greatest records of services for a request.
func topRecords(services []string, id string, top int) []byte {
	var all [][]byte
	for _, s := range services {
		for r := records(s, id); len(r) > 0; r = r[16:] {
			all = append(all, r[:16])
		}
	}
	sort.Slice(all, func(i, j int) bool { return bytes.Compare(all[i], all[j]) > 0 })
	return bytes.Join(all[:min(top, len(all))], nil)
}
