//go:build review

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeDelay is the time that the store takes for an answer.
const storeDelay = 4 * time.Millisecond

type item struct {
	Key     string `json:"Key"`
	Value   []byte `json:"Value,omitempty"`
	Rev     uint64 `json:"Rev"`
	Deleted bool   `json:"Deleted,omitempty"`

	at time.Time
}

// store simulates the platform's metadata store.
type store struct {
	address string
	http    *http.Server

	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision uint64
	// changed is closed and replaced at each write, and cut at each cut of the watches.
	changed chan struct{}
	cut     chan struct{}
	// onRange, if not nil, is called before and after a page is read.
	onRange func(prefix string, before bool)
	// keep is how long changes are kept for watches; zero keeps all. dropped is the
	// revision of the newest change that is no longer kept.
	keep    time.Duration
	dropped uint64
}

func newStore(address string) (*store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{address: address, items: make(map[string]item), revision: 1, changed: make(chan struct{}), cut: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = s.http.Serve(l) }()
	return s, nil
}

func (s *store) close() { _ = s.http.Close() }

// write is one change of a transaction; a nil value deletes the key.
type write struct {
	key   string
	value any
}

// apply applies changes at once, each under its own revision, and returns the time of
// the confirmation.
func (s *store) apply(writes ...write) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range writes {
		s.revision++
		i := item{Key: w.key, Rev: s.revision, Deleted: w.value == nil, at: time.Now()}
		if w.value == nil {
			delete(s.items, w.key)
		} else {
			i.Value, _ = json.Marshal(w.value)
			s.items[w.key] = i
		}
		s.history = append(s.history, i)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

// cutWatches ends the connections of all watches that wait.
func (s *store) cutWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.cut)
	s.cut = make(chan struct{})
}

func (s *store) setOnRange(f func(prefix string, before bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onRange = f
}

func (s *store) setHistory(keep time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keep = keep
}

// dropOld drops the changes that are no longer kept. The lock must be held.
func (s *store) dropOld() {
	for s.keep > 0 && len(s.history) > 0 && time.Since(s.history[0].at) > s.keep {
		s.dropped = s.history[0].Rev
		s.history = s.history[1:]
	}
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	prefix := r.FormValue("Prefix")
	s.mu.Lock()
	hook := s.onRange
	s.mu.Unlock()
	if hook != nil {
		hook(prefix, true)
		defer hook(prefix, false)
	}
	s.mu.Lock()
	list := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > r.FormValue("after") {
			list = append(list, i)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	const page = 500
	more := len(list) > page
	list = list[:min(page, len(list))]
	_ = json.NewEncoder(w).Encode(map[string]any{"items": list, "HasMore": more, "StoreRevision": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("WaitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		s.dropOld()
		if after < s.dropped {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []item{}
		for _, i := range s.history {
			if i.Rev > after {
				events = append(events, i)
			}
		}
		revision, changed, cut := s.revision, s.changed, s.cut
		s.mu.Unlock()
		if len(events) > 0 {
			time.Sleep(storeDelay)
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "StoreRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "StoreRevision": revision})
			return
		case <-cut:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}
