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

// item is an entry of the store as PROTOCOL.md describes it.
type item struct {
	Key     string
	Value   []byte `json:",omitempty"`
	Rev     uint64
	Created uint64 `json:",omitempty"`
	Lease   uint64
	Deleted bool `json:",omitempty"`
}

// store is a stand-in for the platform's metadata store: ranges and watches, with writes of
// the operator and the backend servers as method calls.
type store struct {
	listener net.Listener

	mu      sync.Mutex
	rev     uint64
	items   map[string]item
	events  []item
	changed chan struct{}
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: l, rev: 1, items: make(map[string]item), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

func (s *store) append(i item) {
	s.events = append(s.events, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes an entry and returns the time of the confirmation.
func (s *store) put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	i := item{Key: key, Value: data, Rev: s.rev, Created: s.rev}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.append(i)
	return time.Now()
}

// remove removes entries and returns the time of the confirmation.
func (s *store) remove(keys ...string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range keys {
		s.rev++
		delete(s.items, key)
		s.append(item{Key: key, Rev: s.rev, Deleted: true})
	}
	return time.Now()
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	const page = 500
	query := r.URL.Query()
	s.mu.Lock()
	list := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, query.Get("Prefix")) && key > query.Get("after") {
			list = append(list, i)
		}
	}
	rev := s.rev
	s.mu.Unlock()
	sort.Slice(list, func(a, b int) bool { return list[a].Key < list[b].Key })
	more := len(list) > page
	if more {
		list = list[:page]
	}
	reply(w, map[string]any{"items": list, "HasMore": more, "StoreRevision": rev})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("WaitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		list := []item{}
		for _, e := range s.events {
			if e.Rev > after && strings.HasPrefix(e.Key, query.Get("Prefix")) {
				list = append(list, e)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(list) > 0 {
			reply(w, map[string]any{"events": list, "StoreRevision": rev})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, map[string]any{"events": list, "StoreRevision": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
