// Package fakes holds stand-ins for the outside systems: backend servers, the
// platform's key-value service and its list of hosts, over HTTP on loopback.
package fakes

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// Index is one index version of a backend server.
type Index struct {
	Version uint64
	// All is the partition map of the service, Shards the part held here.
	All    []string
	Shards []string
}

// ServerOptions describe a backend server.
type ServerOptions struct {
	Name    string
	Address string
	Slots   int
	// Service is the time that a request takes on a warm server.
	Service time.Duration
	Indexes []Index
}

// Server is a stand-in backend server.
type Server struct {
	options  ServerOptions
	listener net.Listener
	http     *http.Server
	serving  sync.WaitGroup

	mu       sync.Mutex
	busy     int
	peak     int
	handled  int
	draining bool
	indexes  []Index
	writes   map[string]int
}

// NewServer starts a backend server. An empty address takes a free port on
// loopback.
func NewServer(options ServerOptions) (*Server, error) {
	if options.Address == "" {
		options.Address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", options.Address)
	if err != nil {
		return nil, err
	}
	s := &Server{options: options, listener: listener, indexes: options.Indexes, writes: make(map[string]int)}
	router := chi.NewRouter()
	router.Post("/v1/search", s.search)
	router.Get("/v1/state", s.state)
	s.http = &http.Server{Handler: router, ReadHeaderTimeout: time.Minute}
	s.serving.Go(func() { _ = s.http.Serve(listener) })
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Drain makes the server refuse new work.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Handled returns the number of requests that ran.
func (s *Server) Handled() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.handled
}

// Close stops the server at once and waits.
func (s *Server) Close() error {
	err := s.http.Close()
	s.serving.Wait()
	return err
}

type wireSearch struct {
	ID      uint64   `json:"id"`
	Version uint64   `json:"version"`
	Shards  []string `json:"shards"`
	Text    string   `json:"text"`
	Limit   int      `json:"limit"`
	Write   bool     `json:"write"`
	Key     string   `json:"key"`
}

type wireAnswer struct {
	ID      uint64     `json:"id"`
	Parts   []wirePart `json:"parts"`
	Receipt string     `json:"receipt,omitempty"`
}

type wirePart struct {
	Version uint64    `json:"version"`
	Shard   string    `json:"shard"`
	Hits    []wireHit `json:"hits"`
}

type wireHit struct {
	Key   string  `json:"key"`
	Score float64 `json:"score"`
	Text  string  `json:"text"`
}

type wireState struct {
	Draining bool       `json:"draining"`
	Held     []wireHeld `json:"held"`
}

type wireHeld struct {
	Version uint64   `json:"version"`
	All     []string `json:"all"`
	Shards  []string `json:"shards"`
}

func (s *Server) search(w http.ResponseWriter, r *http.Request) {
	var request wireSearch
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, "malformed body", http.StatusBadRequest)
		return
	}
	index, status := s.enter(request.Version)
	if status != http.StatusOK {
		if status == http.StatusServiceUnavailable && s.isDraining() {
			w.Header().Set("Draining", "true")
		}
		w.WriteHeader(status)
		return
	}
	defer s.leave()
	if !sleep(r.Context(), s.options.Service) {
		return
	}
	answer := wireAnswer{ID: request.ID}
	if request.Write {
		answer.Receipt = s.run(request.Key)
	}
	for _, name := range request.Shards {
		if slices.Contains(index.Shards, name) {
			answer.Parts = append(answer.Parts, wirePart{Version: index.Version, Shard: name, Hits: hits(name, request.Text, request.Limit)})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

func (s *Server) state(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	state := wireState{Draining: s.draining}
	for _, i := range s.indexes {
		state.Held = append(state.Held, wireHeld(i))
	}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(state)
}

// enter takes a slot. A server sheds load above twice its slots.
func (s *Server) enter(version uint64) (Index, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining || s.busy >= 2*s.options.Slots {
		return Index{}, http.StatusServiceUnavailable
	}
	for _, i := range s.indexes {
		if i.Version == version {
			s.busy++
			s.peak = max(s.peak, s.busy)
			s.handled++
			return i, http.StatusOK
		}
	}
	return Index{}, http.StatusConflict
}

func (s *Server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy--
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// run records a write and returns its receipt.
func (s *Server) run(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes[key]++
	return s.options.Name + "/" + key + "/" + strconv.Itoa(s.writes[key])
}

// sleep waits and returns false if the caller went away first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// hits makes up search results that depend on the shard and the text only, so
// that replicas agree.
func hits(shard, text string, limit int) []wireHit {
	const perShard = 3
	list := make([]wireHit, 0, perShard)
	for i := range min(limit, perShard) {
		hash := fnv.New32a()
		_, _ = hash.Write([]byte(shard + "/" + text + "/" + strconv.Itoa(i)))
		key := shard + "-" + strconv.Itoa(i)
		list = append(list, wireHit{Key: key, Score: float64(hash.Sum32()%1000) / 1000, Text: text + " in " + shard})
	}
	return list
}
