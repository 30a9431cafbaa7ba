package soak

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// executions records the requests that backend servers executed.
type executions struct {
	mu sync.Mutex
	// runs counts executions by request id and service, as in "id1/single".
	runs       map[string]int
	violations []string
	// lastDisturbance is the time of the last fault of the store or of a host,
	// in Unix nanoseconds.
	lastDisturbance atomic.Int64
	// accounts are the client accounts; nil if requests need none.
	accounts atomic.Pointer[accounts]
}

func (e *executions) add(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[id]++
}

func (e *executions) count(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

func (e *executions) addViolation(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.violations = append(e.violations, fmt.Sprintf(format, args...))
}

// server is a simulated backend server behind a proxy.
type server struct {
	id         string
	service    string
	zone       string
	version    string
	started    time.Time
	trial      trial
	executions *executions
	http       *http.Server
	proxy      *proxy

	paused atomic.Bool
	// rejecting makes the server refuse requests without running them.
	rejecting atomic.Bool
	// answers is what the server does to its answers.
	answers atomic.Pointer[answerFault]
	// drainingSince is the time when the store accepted the state draining, in
	// Unix nanoseconds; zero before.
	drainingSince atomic.Int64
	limit         rateLimit
	refusal       pauseRequest
	// leavingSince is the time from which on the server says in its answers that it is
	// shutting down, in Unix nanoseconds; zero before.
	leavingSince atomic.Int64
	// lateRequests counts the requests that arrived later than drainLimit after that.
	lateRequests atomic.Int64
	slots        chan struct{}
}

// serverSlots is the number of requests that a server runs at once.
const serverSlots = 2

func newServer(id, service, zone, proxyAddr, listenAddr string, e *executions) (*server, error) {
	listener, err := net.Listen("tcp", listenAddr)
	if err != nil {
		return nil, err
	}
	s := &server{id: id, service: service, zone: zone, executions: e, slots: make(chan struct{}, serverSlots)}
	s.setAnswers(answerWhole{})
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: time.Second}
	go func() { _ = s.http.Serve(listener) }()
	if s.proxy, err = newProxy(proxyAddr, listenAddr); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *server) close() {
	s.proxy.close()
	_ = s.http.Close()
}

// drainLimit is the time after which a draining server must receive no new
// requests: 3 s is the target of the deployment, 300 ms is the time that a
// request may take to arrive.
const drainLimit = 3*time.Second + 300*time.Millisecond

// settleTime is the minimum time between a disturbance and the start of a drain
// for which drainLimit holds.
const settleTime = 4 * time.Second

// ServeHTTP answers a request with a body that is derived from the service and
// the request's id, so that clients can check it.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("Attempt-Id", id)
	defer s.trial.begin()()
	if r.Header.Get("Expect-Instance") != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.limit.record(w.Header())
	if leaving := s.leavingSince.Load(); leaving > 0 {
		w.Header().Set("Server-Leaving", "1")
		if time.Now().UnixNano()-leaving > int64(drainLimit) && s.lateRequests.Add(1) > maxLateRequests {
			s.executions.addViolation("server %s got more than %d requests after it had said that it leaves", s.id, maxLateRequests)
		}
	}
	if s.refusal.refuse(w, s) {
		return
	}
	// A host that was frozen or had no answer from the store may not have learned
	// that this server is draining.
	if drainingSince := s.drainingSince.Load(); drainingSince > s.executions.lastDisturbance.Load()+int64(settleTime) && time.Now().UnixNano()-drainingSince > int64(drainLimit) {
		s.executions.addViolation("server %s got request %s %s after it was registered as draining", s.id, id, time.Since(time.Unix(0, drainingSince)))
	}
	limit, err := strconv.Atoi(r.Header.Get("Deadline-Ms"))
	if err != nil {
		s.executions.addViolation("server %s got request %s without a deadline", s.id, id)
	}
	if s.rejecting.Load() || !s.acquireSlot(r, time.Duration(limit)*time.Millisecond) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slots }()
	if !isUnchanged(r, id, body) {
		s.executions.addViolation("server %s of %s got request %s changed: %s %s with a body of %d bytes", s.id, s.service, id, r.Method, r.RequestURI, len(body))
	}
	s.executions.accounts.Load().check(r.Header, id)
	s.executions.add(id + "/" + s.service)
	if s.trial.fail(w, r, s.service, id) {
		return
	}
	sleep(executionTime)
	answer := records(s.service, id)
	if r.RequestURI == pathOnce {
		answer = append([]byte("echo "), body...)
	}
	w.Header().Set("Server-Seal", seal(s.service, id))
	s.writeAnswer(w, answer)
}

func (s *server) setAnswers(f answerFault) { s.answers.Store(&f) }

// maxLateRequests is the number of requests that a leaving server may get after
// drainLimit: each host that starts then learns of it from one answer.
const maxLateRequests = 2 * zones * hostsPerZone

// pauseRequest makes a server refuse requests and ask for a pause.
type pauseRequest struct {
	mu       sync.Mutex
	until    time.Time
	arrivals int
}

// start makes the server refuse all requests for the duration.
func (p *pauseRequest) start(duration time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.until, p.arrivals = time.Now().Add(duration), 0
}

// maxPausedRequests is the number of requests that a server may get while it asks for a
// pause: those in progress, and two of each host, also of one that starts meanwhile.
const maxPausedRequests = clientCount + 2*2*zones*hostsPerZone

// refuse answers a request with the time that is left of the pause, if there is any.
func (p *pauseRequest) refuse(w http.ResponseWriter, s *server) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	left := time.Until(p.until)
	if left <= 0 {
		return false
	}
	if p.arrivals++; p.arrivals > maxPausedRequests {
		s.executions.addViolation("server %s got more than %d requests in a pause", s.id, maxPausedRequests)
	}
	w.Header().Set("Not-Executed", "1")
	w.Header().Set("Retry-After", strconv.FormatFloat(left.Seconds(), 'f', 3, 64))
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

const executionTime = 5 * time.Millisecond

// acquireSlot waits until the server is not paused and has a free slot. It
// returns false if the time limit passes or the client disconnects first.
func (s *server) acquireSlot(r *http.Request, limit time.Duration) bool {
	deadline := time.Now().Add(limit)
	for s.paused.Load() {
		if time.Now().After(deadline) || r.Context().Err() != nil {
			return false
		}
		sleep(pausePollInterval)
	}
	select {
	case s.slots <- struct{}{}:
		return true
	case <-time.After(time.Until(deadline)):
		return false
	case <-r.Context().Done():
		return false
	}
}

// pausePollInterval is the time between two checks whether a pause has ended.
const pausePollInterval = 5 * time.Millisecond

// seal returns the header value that identifies the service and the request of an
// answer.
func seal(service, id string) string { return "seal." + service + "." + id }

// recordsPerPart is the number of 16-byte records in the answer of one server.
const recordsPerPart = 8

// records returns the records of a service for a request. They are not sorted.
func records(service, id string) []byte {
	var b bytes.Buffer
	for i := range recordsPerPart {
		sum := sha256.Sum256([]byte(service + id + strconv.Itoa(i)))
		b.Write(sum[:16])
	}
	return b.Bytes()
}

// topRecords returns the top greatest records of all the services for a request,
// in descending order.
func topRecords(services []string, id string, top int) []byte {
	var all [][]byte
	for _, s := range services {
		r := records(s, id)
		for len(r) > 0 {
			all = append(all, r[:16])
			r = r[16:]
		}
	}
	sort.Slice(all, func(i, j int) bool { return bytes.Compare(all[i], all[j]) > 0 })
	return bytes.Join(all[:min(top, len(all))], nil)
}
