package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
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
	// refusesWrites is set while the hosts' writes are refused.
	refusesWrites bool
	// onStatus, if not nil, is called with each status of a roll-out as it is written.
	onStatus func(service, state string)
	// era counts the drills. changes holds the changes of the present era, also those of
	// the dropped history, and intended what was written last.
	era      uint64
	changes  []change
	intended map[string]item
}

// change is an accepted write.
type change struct {
	item
	at time.Time
}

func newStore(addr string) (*store, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &store{addr: addr, items: make(map[string]item), revision: 1, changed: make(chan struct{}), fault: storeHealthy{}, era: 1, intended: make(map[string]item)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	mux.HandleFunc("POST /kv-txn", s.serveChange)
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = s.http.Serve(l) }()
	return s, nil
}

func (s *store) close() { _ = s.http.Close() }

func (s *store) refuseWrites(refuses bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusesWrites = refuses
}

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
	s.intended[key] = i
	s.accept(i)
	return time.Now()
}

// accept adds a change to the history; the lock must be held.
func (s *store) accept(i item) {
	s.history, s.changes = append(s.history, i), append(s.changes, change{item: i, at: time.Now()})
	close(s.changed)
	s.changed = make(chan struct{})
}

// drill brings the store back from a copy of the given age. Revisions go back to that of
// the copy and are given out again.
func (s *store) drill(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.items, s.revision = make(map[string]item), 1
	var kept []change
	for _, c := range s.changes {
		if time.Since(c.at) < age && c.Rev > 1 {
			continue
		}
		kept = append(kept, c)
		if s.revision = c.Rev; c.Deleted {
			delete(s.items, c.Key)
		} else {
			s.items[c.Key] = c.item
		}
	}
	s.changes = kept
	s.compacted = min(s.compacted, s.revision)
	s.history = slices.DeleteFunc(slices.Clone(s.history), func(i item) bool { return i.Rev > s.revision })
	close(s.changed)
	s.changed = make(chan struct{})
}

// rewrite writes again what the operator and the backend servers wrote and a drill lost.
func (s *store) rewrite() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, i := range s.intended {
		held, ok := s.items[key]
		if ok == !i.Deleted && bytes.Equal(held.Value, i.Value) {
			continue
		}
		s.revision++
		i.Rev = s.revision
		s.items[key] = i
		if i.Deleted {
			delete(s.items, key)
		}
		s.accept(i)
	}
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
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
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
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
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
		if after < s.compacted || after > s.revision {
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
		w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
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
