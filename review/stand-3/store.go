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

// item is an entry of the store, or the deletion of one.
type item struct {
	Key     string
	Value   []byte `json:",omitempty"`
	Rev     uint64
	Created uint64
	Lease   uint64
	Deleted bool `json:",omitempty"`
}

// store is a stand-in of the platform's metadata store. It keeps its whole history.
type store struct {
	addr string
	http *http.Server

	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision uint64
	// changed is closed and replaced at each write.
	changed chan struct{}
}

func newStore(addr string) (*store, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &store{addr: l.Addr().String(), items: make(map[string]item), revision: 1, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.serveKey)
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	mux.HandleFunc("POST /kv-txn", s.serveChange)
	s.http = &http.Server{Handler: mux}
	go func() { _ = s.http.Serve(l) }()
	return s, nil
}

// put writes a value, or deletes the key if value is nil.
func (s *store) put(key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var encoded []byte
	if value != nil {
		encoded, _ = json.Marshal(value)
	}
	s.revision++
	s.write(key, encoded, value == nil)
	s.announce()
}

// write applies one change at the present revision; the lock must be held.
func (s *store) write(key string, value []byte, deleted bool) {
	i := item{Key: key, Value: value, Rev: s.revision, Created: s.revision, Deleted: deleted}
	if held, ok := s.items[key]; ok {
		i.Created = held.Created
	}
	if deleted {
		delete(s.items, key)
	} else {
		s.items[key] = i
	}
	s.history = append(s.history, i)
}

func (s *store) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.FormValue("Key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, map[string]any{"Key": i.Key, "Value": i.Value, "Rev": i.Rev, "Created": i.Created, "Lease": 0, "StoreRevision": revision})
}

// pageItems is the number of items in a page.
const pageItems = 500

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	list := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, r.FormValue("Prefix")) && key > r.FormValue("after") {
			list = append(list, i)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(list, func(a, b int) bool { return list[a].Key < list[b].Key })
	more := len(list) > pageItems
	reply(w, map[string]any{"items": list[:min(len(list), pageItems)], "HasMore": more, "StoreRevision": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("WaitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Rev > after && strings.HasPrefix(i.Key, r.FormValue("Prefix")) {
				events = append(events, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, map[string]any{"events": events, "StoreRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, map[string]any{"events": events, "StoreRevision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// serveChange accepts the changes of hosts, which may not write the keys of the operator
// and the backend servers.
func (s *store) serveChange(w http.ResponseWriter, r *http.Request) {
	var change struct {
		Expect []struct {
			Key string
			Rev uint64
		}
		Puts []struct {
			Key   string
			Value []byte
		}
		Deletes []string
	}
	if json.NewDecoder(r.Body).Decode(&change) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range change.Expect {
		if s.items[e.Key].Rev != e.Rev {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusPreconditionFailed)
			_ = json.NewEncoder(w).Encode(map[string]any{"items": []item{s.items[e.Key]}})
			return
		}
	}
	s.revision++
	for _, p := range change.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		s.write(p.Key, p.Value, false)
	}
	for _, key := range change.Deletes {
		s.write(key, nil, true)
	}
	s.announce()
	reply(w, map[string]any{"Rev": s.revision})
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
