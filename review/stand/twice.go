//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// Load and doses of the case.
const (
	twiceLength   = 50 * time.Second
	twiceInterval = 5 * time.Millisecond
	twiceSlots    = 2
	// twiceQueue is the number of requests that wait for a slot.
	twiceQueue = 1
	twiceWork  = 30 * time.Millisecond
	// spoiledShare is the share of the answers of a faulty server after which more bytes
	// follow: the beginning of a second copy.
	spoiledShare = 0.04
)

// spoiler is a server that writes its answers byte by byte. One that is faulty sends
// after some of its refusals the beginning of a second copy, late: where the answer to
// the next request on the connection is due.
type spoiler struct {
	*server
	d        *deployment
	faulty   bool
	listener net.Listener
	runs     *runs
	// room holds a place for each request that runs or waits.
	room chan struct{}
}

// runs records the servers that ran each request.
type runs struct {
	mu   sync.Mutex
	byID map[string][]string
	// extras counts the second copies, sheds the refusals.
	extras, sheds int
}

func (d *deployment) addSpoiler(service string, zone, n int, faulty bool, r *runs) (*spoiler, error) {
	s := &spoiler{
		server: &server{
			id: fmt.Sprintf("i-%06x", n*40503), service: service, zone: zoneName(zone), work: twiceWork, slots: make(chan struct{}, twiceSlots),
			address: d.address(fmt.Sprintf("127.61.100.%d", n), offsetServer),
		},
		d: d, faulty: faulty, runs: r, room: make(chan struct{}, twiceSlots+twiceQueue),
	}
	var err error
	if s.listener, err = net.Listen("tcp", s.address); err != nil {
		return nil, err
	}
	go func() {
		for {
			conn, err := s.listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s, nil
}

// serve answers the requests of a connection.
func (s *spoiler) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	var late []byte
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("Attempt-Id")
		if len(late) > 0 {
			s.d.note("server %s: bytes that belong to no request come before the answer to %s: %q", s.id, id, late)
			if _, err := conn.Write(late); err != nil {
				return
			}
			late = nil
		}
		if r.Header.Get("Expect-Instance") != s.id {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nAttempt-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id, id)
			continue
		}
		select {
		case s.room <- struct{}{}:
		default:
			head := "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nDate: " + time.Now().UTC().Format(http.TimeFormat)
			if _, err := fmt.Fprintf(conn, "%s\r\nAttempt-Id: %s\r\nContent-Length: 0\r\n\r\n", head, id); err != nil {
				return
			}
			s.d.note("server %s: refused %s", s.id, id)
			s.runs.mu.Lock()
			s.runs.sheds++
			if s.faulty && rand.Float64() < spoiledShare {
				s.runs.extras++
				// The copy breaks off within the date.
				late = []byte(head[:len(head)-12])
			}
			s.runs.mu.Unlock()
			continue
		}
		s.slots <- struct{}{}
		s.runs.mu.Lock()
		s.runs.byID[id] = append(s.runs.byID[id], s.id)
		s.runs.mu.Unlock()
		time.Sleep(s.work)
		<-s.slots
		<-s.room
		s.d.note("server %s: ran %s", s.id, id)
		body := records(s.service, id)
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: %s\r\nContent-Length: %d\r\n\r\n%s", id, seal(s.service, id), len(body), body); err != nil {
			return
		}
	}
}

func init() { cases["twice"] = runTwice }

// runTwice sends requests that are not idempotent to a service whose servers refuse some
// of them, as they are full. Half of the servers are faulty.
func runTwice(d *deployment, trouble bool) (bool, error) {
	r := &runs{byID: make(map[string][]string)}
	var servers []*spoiler
	for n := 1; n <= 4; n++ {
		s, err := d.addSpoiler("invoices", 1+(n-1)/2, n, trouble && n%2 == 1, r)
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
		d.store.apply(write{s.key(), s.registration("ready", 1)})
	}
	defer func() {
		for _, s := range servers {
			_ = s.listener.Close()
		}
	}()
	d.store.apply(write{"op/config", configuration(1, []map[string]any{
		singleRoute("pay", "invoices", "non_idempotent", 600*time.Millisecond, 6*time.Second),
	}, []string{"invoices"}, 110)})
	d.addHost(1, 1)
	d.addHost(2, 1)
	if err := d.startAll(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var answered statuses
	var mu sync.Mutex
	status := make(map[string]int)
	clients := []*client{d.newClient(d.hosts[0]), d.newClient(d.hosts[1])}
	every(twiceInterval, time.Now().Add(twiceLength), func() {
		a := clients[rand.IntN(len(clients))].send(http.MethodPost, "/pay/2f", "amount=1", 6*time.Second)
		answered.add(a.status)
		mu.Lock()
		defer mu.Unlock()
		status[a.id] = a.status
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	twice, refused := 0, 0
	for id, by := range r.byID {
		if len(by) > 1 {
			twice++
			d.note("request %s was run by %v; its client got %d", id, by, status[id])
		}
		if status[id] == http.StatusServiceUnavailable {
			refused++
			d.note("request %s was run by %v; its client got 503", id, by)
		}
	}
	d.note("answers by status: %s; refusals of full servers: %d; second copies: %d; requests that ran twice: %d; answered 503 and run: %d", &answered, r.sheds, r.extras, twice, refused)
	return twice+refused > 0, nil
}
