package soak

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// versionFault is a fault of all servers of a software version. The interface is sealed.
type versionFault interface{ versionFault() }

type (
	versionGood struct{}
	// versionFails fails a share of the requests, from a time on, on one path (or all
	// if it is empty), and only with more than minOpen requests in progress.
	versionFails struct {
		share   float64
		from    time.Time
		path    string
		minOpen int
	}
	// versionSlow runs a share of the requests for longer.
	versionSlow struct {
		share float64
		by    time.Duration
	}
)

func (versionGood) versionFault()  {}
func (versionFails) versionFault() {}
func (versionSlow) versionFault()  {}

// trial is what a server sees while its service's version is moved.
type trial struct {
	mu       sync.Mutex
	fault    versionFault
	arrivals []time.Time
	bad      []time.Time
	open     int
}

func (t *trial) set(f versionFault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fault = f
}

// begin counts a request that arrived, and returns the function that ends it.
func (t *trial) begin() func() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.arrivals = append(t.arrivals, time.Now())
	t.open++
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.open--
	}
}

// fail applies the fault to a request that runs, and reports whether it was answered.
func (t *trial) fail(w http.ResponseWriter, r *http.Request, service, id string) bool {
	now := time.Now()
	t.mu.Lock()
	fails, wait := false, time.Duration(0)
	switch f := t.fault.(type) {
	case versionFails:
		fails = now.After(f.from) && (f.path == "" || f.path == r.RequestURI) && t.open > f.minOpen && rand.Float64() < f.share
	case versionSlow:
		if rand.Float64() < f.share {
			wait = f.by
		}
	}
	if fails || wait > 0 {
		t.bad = append(t.bad, now)
	}
	t.mu.Unlock()
	sleep(wait)
	if fails {
		w.Header().Set("Server-Seal", seal(service, id))
		w.WriteHeader(http.StatusInternalServerError)
	}
	return fails
}

// count returns the number of arrivals in a span of time.
func (t *trial) count(from, to time.Time) int { return countBetween(t.read(&t.arrivals), from, to) }

func (t *trial) read(times *[]time.Time) []time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]time.Time(nil), *times...)
}

func (t *trial) inProgress() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open
}

func countBetween(times []time.Time, from, to time.Time) int {
	count := 0
	for _, at := range times {
		if at.After(from) && at.Before(to) {
			count++
		}
	}
	return count
}

// serveChange performs a conditional write.
func (s *store) serveChange(w http.ResponseWriter, r *http.Request) {
	if s.applyFault(r.Context(), w) {
		return
	}
	var change struct {
		Expect []item
		Puts   []item
	}
	if err := json.NewDecoder(r.Body).Decode(&change); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	if s.refusesWrites {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	current := []item{}
	holds := true
	for _, e := range change.Expect {
		held := s.items[e.Key]
		holds = holds && held.Rev == e.Rev
		current = append(current, held)
	}
	if !holds {
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]any{"items": current})
		return
	}
	s.revision++
	for _, p := range change.Puts {
		i := item{Key: p.Key, Value: p.Value, Rev: s.revision}
		s.items[p.Key] = i
		s.accept(i)
		if service, ok := strings.CutPrefix(p.Key, "status/rollout/"); ok && s.onStatus != nil {
			var status struct{ State string }
			_ = json.Unmarshal(p.Value, &status)
			s.onStatus(service, status.State)
		}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"Rev": s.revision})
}
