package fakes

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// maxValue is the largest value that the store accepts, in bytes.
const maxValue = 1 << 20

// pathHosts is the path of the host list.
const pathHosts = "/hosts"

// Store is a fake platform: a key-value service with compare-and-swap, leases and
// watches, and the list of hosts.
type Store struct {
	listener net.Listener
	http     *http.Server
	serving  sync.WaitGroup

	mu      sync.Mutex
	entries map[string]entry
	// revisions holds the latest revision by key, also of deleted keys.
	revisions map[string]uint64
	lastLease uint64
	changed   chan struct{}
	leases    map[uint64]lease
	hostLists []hostList
	fault     StoreFault
	calls     map[string]int
	// writes counts the writes that took effect.
	writes int
	// watches is the number of watches in progress.
	watches int
}

type entry struct {
	value    []byte
	revision uint64
	lease    uint64
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// StoreFault describes the faults that the store simulates.
type StoreFault struct {
	// Down makes the store refuse every call.
	Down bool
	// HostsAvailable keeps the host list available while Down is set.
	HostsAvailable bool
	// Delay is added to every call.
	Delay time.Duration
	// LoseReplyEvery closes the connection instead of answering every nth
	// successful write; zero means never. Writes are swaps, grants and renewals.
	LoseReplyEvery int
	// MaxWatches is the largest number of concurrent watches; further watches are
	// refused. Zero means no limit.
	MaxWatches int
	// HostListLag is the delay until callers receive a new host list.
	HostListLag time.Duration
}

// NewStore starts a fake store. If the address is empty, it uses a free port on
// loopback.
func NewStore(address string) (*Store, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Store{
		listener:  listener,
		revisions: make(map[string]uint64),
		entries:   make(map[string]entry),
		changed:   make(chan struct{}),
		leases:    make(map[uint64]lease),
		calls:     make(map[string]int),
	}
	router := chi.NewRouter()
	router.Use(s.applyFaults)
	router.Get("/kv/*", s.get)
	router.Put("/kv/*", s.put)
	router.Post("/lease", s.grant)
	router.Put("/lease/{id}", s.renew)
	router.Get(pathHosts, s.serveHosts)
	s.http = &http.Server{Handler: router, ReadHeaderTimeout: time.Minute}
	s.serving.Go(func() { _ = s.http.Serve(listener) })
	return s, nil
}

// Address returns the address that the store listens on.
func (s *Store) Address() string { return s.listener.Addr().String() }

// SetFault replaces the simulated faults.
func (s *Store) SetFault(fault StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// Calls returns the number of calls by kind: get, put, watch, lease, hosts.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := make(map[string]int, len(s.calls))
	for kind, n := range s.calls {
		calls[kind] = n
	}
	return calls
}

// Close stops the store without waiting for calls in progress, and waits until
// its goroutine has ended.
func (s *Store) Close() error {
	err := s.http.Close()
	s.serving.Wait()
	return err
}

// applyFaults is the middleware that applies StoreFault.Down and Delay.
func (s *Store) applyFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		fault := s.fault
		s.mu.Unlock()
		if fault.Down && (!fault.HostsAvailable || r.URL.Path != pathHosts) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if !sleep(r.Context(), fault.Delay) {
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	key := chi.URLParam(r, "*")
	after, watching := r.URL.Query().Get("after"), r.URL.Query().Has("after")
	if !watching {
		s.countCall("get")
		e, _ := s.read(key)
		respond(w, http.StatusOK, e)
		return
	}
	s.countCall("watch")
	if !s.beginWatch() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.endWatch()
	revision, _ := strconv.ParseUint(after, 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("wait"), 10, 64)
	respond(w, http.StatusOK, s.await(r.Context(), key, revision, time.Duration(wait)*time.Millisecond))
}

// beginWatch counts a new watch. It returns false if MaxWatches is reached.
func (s *Store) beginWatch() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault.MaxWatches > 0 && s.watches >= s.fault.MaxWatches {
		return false
	}
	s.watches++
	return true
}

func (s *Store) endWatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watches--
}

// await returns the entry as soon as its revision is above after. Otherwise it
// returns the current entry when wait has passed or ctx ends.
func (s *Store) await(ctx context.Context, key string, after uint64, wait time.Duration) entry {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		e, changed := s.read(key)
		if e.revision > after {
			return e
		}
		select {
		case <-changed:
		case <-timer.C:
			return e
		case <-ctx.Done():
			return e
		}
	}
}

func (s *Store) read(key string) (entry, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	return s.entries[key], s.changed
}

func (s *Store) put(w http.ResponseWriter, r *http.Request) {
	s.countCall("put")
	value, err := io.ReadAll(io.LimitReader(r.Body, maxValue+1))
	if err != nil || len(value) > maxValue {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	previous, _ := strconv.ParseUint(r.Header.Get("Revision"), 10, 64)
	lease, _ := strconv.ParseUint(r.Header.Get("Lease"), 10, 64)
	e, status, lost := s.swap(chi.URLParam(r, "*"), previous, value, lease)
	if lost {
		panic(http.ErrAbortHandler)
	}
	respond(w, status, e)
}

func (s *Store) swap(key string, previous uint64, value []byte, leaseID uint64) (entry, int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	if _, ok := s.leases[leaseID]; leaseID != 0 && !ok {
		return entry{}, http.StatusGone, false
	}
	if current := s.entries[key]; current.revision != previous {
		return current, http.StatusConflict, false
	}
	s.revisions[key]++
	e := entry{value: value, revision: s.revisions[key], lease: leaseID}
	s.entries[key] = e
	close(s.changed)
	s.changed = make(chan struct{})
	return entry{revision: e.revision}, http.StatusOK, s.loseReply()
}

// loseReply counts a successful write and reports whether its answer must be
// lost. The caller holds s.mu.
func (s *Store) loseReply() bool {
	s.writes++
	return s.fault.LoseReplyEvery > 0 && s.writes%s.fault.LoseReplyEvery == 0
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	s.countCall("lease")
	ms, _ := strconv.ParseInt(r.URL.Query().Get("ttl"), 10, 64)
	ttl := time.Duration(ms) * time.Millisecond
	s.mu.Lock()
	s.lastLease++
	id := s.lastLease
	s.leases[id] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
	lost := s.loseReply()
	s.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Lease", strconv.FormatUint(id, 10))
}

func (s *Store) renew(w http.ResponseWriter, r *http.Request) {
	s.countCall("lease")
	id, _ := strconv.ParseUint(chi.URLParam(r, "id"), 10, 64)
	status, lost := s.extend(id)
	if lost {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
}

func (s *Store) extend(id uint64) (status int, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	l, ok := s.leases[id]
	if !ok {
		return http.StatusGone, false
	}
	l.expires = time.Now().Add(l.ttl)
	s.leases[id] = l
	return http.StatusOK, s.loseReply()
}

// expire deletes expired leases and their keys. The caller holds s.mu.
func (s *Store) expire(now time.Time) {
	for id, l := range s.leases {
		if now.Before(l.expires) {
			continue
		}
		delete(s.leases, id)
		for key, e := range s.entries {
			if e.lease == id {
				delete(s.entries, key)
			}
		}
	}
}

func (s *Store) countCall(kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[kind]++
}

func respond(w http.ResponseWriter, status int, e entry) {
	w.Header().Set("Revision", strconv.FormatUint(e.revision, 10))
	w.WriteHeader(status)
	_, _ = w.Write(e.value)
}
