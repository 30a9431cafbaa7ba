// Package fakes provides fake external systems for tests and the demo: backend
// servers, the platform's key-value service and the platform's list of hosts.
// They serve HTTP on loopback or on an in-memory Network, and simulate faults
// and limits. Checks of the results are left to the callers.
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
	// All is the partition map of the service, Shards the shards on this server.
	All    []string
	Shards []string
}

// ServerOptions describes a fake backend server.
type ServerOptions struct {
	Name    string
	Address string
	// Listener replaces the listener on Address, for tests in virtual time.
	Listener net.Listener
	// Slots is the number of requests that may run at a time; from twice this
	// number on, the server refuses requests.
	Slots int
	// ServiceTime is the processing time of a request on a warm server.
	ServiceTime time.Duration
	Indexes     []Index
	// Floor is the allowed rate of the cold server in requests per second. Zero
	// means that the server is never cold.
	Floor int
	// Warmup is the time under load after which the server is warm.
	Warmup time.Duration
	// Connections is the connection limit; zero means none.
	Connections int
	// ConnectTime delays the first request on a new connection.
	ConnectTime time.Duration
	// MaxBreaches is the number of requests above the allowed rate after which a
	// cold server refuses all requests for a second. With zero, breaches only
	// make requests slower.
	MaxBreaches int
}

// Server is a fake backend server.
type Server struct {
	options  ServerOptions
	listener *listener
	http     *http.Server
	serving  sync.WaitGroup

	mu           sync.Mutex
	coldStart    coldStart
	busy         int
	counts       Counts
	draining     bool
	hideDraining bool
	shedding     bool
	indexes      []Index
	writes       map[string]int
}

// Counts holds the counters of a Server.
type Counts struct {
	// Received counts the search requests that arrived, Handled the admitted ones,
	// and Cancelled those that ended early because of their deadline or because
	// the caller disconnected.
	Received, Handled, Cancelled int
	// Peak is the largest number of concurrent requests.
	Peak int
	// RateBreaches, SlotBreaches and ConnectionBreaches count the requests and
	// connections that exceeded the limits of the server.
	RateBreaches, SlotBreaches, ConnectionBreaches int
	// Connections is the number of open connections, Opened the number of all
	// accepted connections.
	Connections, Opened int
}

// NewServer starts a fake backend server. If the address is empty, it uses a
// free port on loopback.
func NewServer(options ServerOptions) (*Server, error) {
	inner, err := options.listen()
	if err != nil {
		return nil, err
	}
	s := &Server{
		options:   options,
		listener:  newListener(inner, options.Connections, options.ConnectTime),
		coldStart: newColdStart(options),
		indexes:   options.Indexes,
		writes:    make(map[string]int),
	}
	router := chi.NewRouter()
	router.Post("/v1/search", s.search)
	router.Get("/v1/state", s.state)
	s.http = &http.Server{Handler: router, ReadHeaderTimeout: time.Minute}
	s.serving.Go(func() { _ = s.http.Serve(s.listener) })
	return s, nil
}

func (o ServerOptions) listen() (net.Listener, error) {
	if o.Listener != nil {
		return o.Listener, nil
	}
	if o.Address == "" {
		o.Address = "127.0.0.1:0"
	}
	return net.Listen("tcp", o.Address)
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Handled returns the number of admitted requests.
func (s *Server) Handled() int { return s.Counts().Handled }

// Counts returns the current counters.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.counts
	counts.Connections, counts.Opened, counts.ConnectionBreaches = s.listener.counts()
	return counts
}

// Close stops the server without waiting for requests in progress, and waits
// until its goroutine has ended.
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
	admitted := s.admit(request.Version, time.Now())
	if admitted.draining {
		w.Header().Set("Draining", "true")
	}
	if admitted.status != http.StatusOK {
		w.Header().Set("Retry-After-Ms", "100")
		w.WriteHeader(admitted.status)
		return
	}
	defer s.release()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	if left, err := strconv.Atoi(r.Header.Get("Time-Left-Ms")); err == nil {
		ctx, cancel = context.WithTimeout(ctx, time.Duration(left)*time.Millisecond)
		defer cancel()
	}
	if !sleep(ctx, admitted.serviceTime) {
		s.countCancelled()
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	answer := wireAnswer{ID: request.ID}
	if request.Write {
		answer.Receipt = s.recordWrite(request.Key)
	}
	for _, name := range request.Shards {
		if slices.Contains(admitted.index.Shards, name) {
			answer.Parts = append(answer.Parts, wirePart{
				Version: admitted.index.Version,
				Shard:   name,
				Hits:    searchHits(name, request.Text, request.Limit),
			})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

func (s *Server) state(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	state := wireState{Draining: s.draining && !s.hideDraining}
	for _, i := range s.indexes {
		state.Held = append(state.Held, wireHeld(i))
	}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(state)
}

// admission is the decision of the server on a request. If status is 200, the
// request runs on index for serviceTime.
type admission struct {
	index       Index
	status      int
	draining    bool
	serviceTime time.Duration
}

// admit takes a slot for a request. The server refuses requests while twice as
// many as its slots are in progress.
func (s *Server) admit(version uint64, now time.Time) admission {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Received++
	a := admission{status: http.StatusServiceUnavailable, draining: s.draining}
	if s.draining || s.shedding || s.busy >= 2*s.options.Slots || now.Before(s.coldStart.outageUntil) {
		return a
	}
	i := slices.IndexFunc(s.indexes, func(i Index) bool { return i.Version == version })
	if i < 0 {
		a.status = http.StatusConflict
		return a
	}
	factor, breach := s.coldStart.recordRequest(now)
	if breach {
		s.counts.RateBreaches++
	}
	s.busy++
	if s.busy > s.options.Slots {
		s.counts.SlotBreaches++
	}
	s.counts.Peak = max(s.counts.Peak, s.busy)
	s.counts.Handled++
	a.index, a.status = s.indexes[i], http.StatusOK
	a.serviceTime = time.Duration(factor * float64(s.options.ServiceTime))
	return a
}

func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy--
}

func (s *Server) countCancelled() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Cancelled++
}

// recordWrite records a write and returns its receipt, which contains the number
// of writes with this key.
func (s *Server) recordWrite(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes[key]++
	return s.options.Name + "/" + key + "/" + strconv.Itoa(s.writes[key])
}

// sleep blocks for d and returns false if ctx ends first.
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

// searchHits returns generated search results. They depend only on the shard,
// the text and the limit, so that all replicas return the same results.
func searchHits(shard, text string, limit int) []wireHit {
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
