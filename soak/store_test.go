package soak

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeFault is a fault of the simulated store. The interface is sealed.
type storeFault interface{ storeFault() }

type (
	storeHealthy struct{}
	// storeUnavailable answers each call with status 503.
	storeUnavailable struct{}
	// storeUnresponsive answers no call.
	storeUnresponsive struct{}
	// storeSlow delays each answer by slowDelay.
	storeSlow struct{}
)

func (storeHealthy) storeFault()      {}
func (storeUnavailable) storeFault()  {}
func (storeUnresponsive) storeFault() {}
func (storeSlow) storeFault()         {}

type item struct {
	Key     string `json:"Key"`
	Value   []byte `json:"Value,omitempty"`
	Rev     uint64 `json:"Rev"`
	Deleted bool   `json:"Deleted,omitempty"`
}

// store simulates the key-value store of the platform.
type store struct {
	http *http.Server
	addr string

	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision uint64
	// compacted is the revision up to which the history was dropped.
	compacted uint64
	// changed is closed and replaced at each write.
	changed chan struct{}
	fault   storeFault
	// onStatus, if not nil, is called with each status of a roll-out as it is written.
	onStatus func(service, state string)
}

func newStore(addr string) (*store, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &store{addr: addr, items: make(map[string]item), revision: 1, changed: make(chan struct{}), fault: storeHealthy{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	mux.HandleFunc("POST /kv-txn", s.serveChange)
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = s.http.Serve(l) }()
	return s, nil
}

func (s *store) close() { _ = s.http.Close() }

func (s *store) setFault(f storeFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// put writes a value, or deletes the key if value is nil. It returns the time
// when the store accepted the write.
func (s *store) put(key string, value any) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i := item{Key: key, Rev: s.revision, Deleted: value == nil}
	if value == nil {
		delete(s.items, key)
	} else {
		i.Value, _ = json.Marshal(value)
		s.items[key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

// compact drops the history of changes. Watches from an earlier revision are
// answered with status 410.
func (s *store) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.revision
}

// applyFault applies the fault to a call. It reports whether the call has ended.
func (s *store) applyFault(ctx context.Context, w http.ResponseWriter) bool {
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	switch fault.(type) {
	case storeUnavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	case storeUnresponsive:
		<-ctx.Done()
		return true
	case storeSlow:
		sleep(slowDelay)
	}
	return false
}

// slowDelay is the delay of each answer of a slow store.
const slowDelay = 200 * time.Millisecond

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	if s.applyFault(r.Context(), w) {
		return
	}
	s.mu.Lock()
	list := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, r.FormValue("Prefix")) {
			list = append(list, i)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	_ = json.NewEncoder(w).Encode(map[string]any{"items": list, "HasMore": false, "StoreRevision": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	if s.applyFault(r.Context(), w) {
		return
	}
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("WaitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.compacted {
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
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "StoreRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "StoreRevision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}
