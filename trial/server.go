package trial

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"hyssophub/config"
	"hyssophub/fault"
	"hyssophub/shard"
)

// Constants of the backend model.
const (
	// hop is the one-way delay inside a zone.
	hop = 100 * time.Microsecond
	// spread is the sigma of the log-normal service time.
	spread = 0.25
	// tailShare of the requests take tailFactor times as long.
	tailShare  = 0.005
	tailFactor = 5
	// coldFactor is the service time of a cold server relative to a warm one.
	coldFactor = 4
	// overFactor slows a cold server for each request beyond its rate.
	overFactor = 2
	// backlog is the number of waiting requests per slot above which a server
	// sheds load.
	backlog = 8
	// noticeBound is how long after the first signal a leaving server may
	// still receive work.
	noticeBound = 2 * time.Second
	// startTime is how long a restarting server refuses connections.
	startTime = time.Second
)

// Server models a backend server. It counts work beyond its limits.
type Server struct {
	name    string
	service *config.Service
	zone    string
	base    time.Duration

	mu        sync.Mutex
	rng       *rand.Rand
	busy      int
	waiting   []chan struct{}
	slow      float64
	warm      float64
	tokens    float64
	refilled  time.Time
	draining  bool
	drainedAt time.Time
	// turned is when a silent change to cold began, and zero without one.
	// firstSlow is the end of the first request that took longer because of
	// it, as the owner cannot know of the change before.
	turned    time.Time
	firstSlow time.Time
	// noticed is when an owner announced that the server is cold.
	noticed time.Time
	down    bool
	held    []shard.VersionShards
	open    int
	idle    map[string]int
	silent  map[string]int
	counts  Counts
	// caller ran the latest request.
	caller string
	gap    *gap
	runs   *runs
	// outAt is when the server's zone was taken out, and afterOut counts the
	// requests that came too long after it.
	outAt    time.Time
	afterOut int
}

// Counts are what a server saw.
type Counts struct {
	Runs int
	// Breaches counts requests beyond the slots, the connections or the rate
	// of a cold server.
	Breaches int
	// Unknowable counts the requests beyond the rate of a server that turned
	// cold silently, before its first slow reply. Breaches leaves them out.
	Unavoidable int
	// Notice is the longest time from the first slow reply of a server that
	// turned cold silently to the announcement by an owner.
	AnnounceDelay time.Duration
	// Late counts requests that came noticeBound after the first signal.
	LateRequests int
	// Interrupted counts requests in progress when the server stopped.
	Interrupted int
	Shed        int
}

func newServer(service *config.Service, server config.Server, base time.Duration, seed uint64) *Server {
	return &Server{
		name:    server.Name,
		service: service,
		zone:    server.Zone,
		base:    base,
		rng:     rand.New(rand.NewPCG(seed, 1)),
		slow:    1,
		warm:    1,
		held:    []shard.VersionShards{{Version: 1, All: service.Shards, Shards: service.Shards}},
		idle:    make(map[string]int),
		silent:  make(map[string]int),
	}
}

// Do performs one exchange for a caller. Version zero asks for the newest.
func (s *Server) Do(ctx context.Context, caller string, sub shard.SubRequest) shard.Outcome {
	if !s.connect(ctx, caller, sub.Deadline) {
		return shard.Failed{Verdict: fault.MayHaveRun{}, Reason: fault.ReasonDeadline}
	}
	time.Sleep(hop)
	if sub.Write && s.runs.lost() {
		return shard.Failed{Verdict: fault.MayHaveRun{}, Reason: fault.ReasonConnection}
	}
	held, turn, refusal := s.enter(sub.Version)
	if refusal != nil {
		s.hangUp(caller, refusal.Reason != fault.ReasonDown)
		time.Sleep(hop)
		return *refusal
	}
	s.called(caller)
	s.reached(time.Now())
	if sub.Write {
		s.runs.count(sub)
	}
	outcome := s.serve(sub, held, turn)
	if sub.Write && s.runs.lost() {
		outcome = shard.Failed{Verdict: fault.MayHaveRun{}, Reason: fault.ReasonConnection}
	}
	s.hangUp(caller, true)
	time.Sleep(hop)
	return outcome
}

// connect takes an idle connection or opens one. A silent connection holds
// its request until the deadline.
func (s *Server) connect(ctx context.Context, caller string, deadline time.Time) bool {
	s.mu.Lock()
	switch {
	case s.silent[caller] > 0:
		s.silent[caller]--
		s.mu.Unlock()
		select {
		case <-time.After(time.Until(deadline)):
		case <-ctx.Done():
		}
		s.mu.Lock()
		s.open--
		s.mu.Unlock()
		return false
	case s.idle[caller] > 0:
		s.idle[caller]--
		s.mu.Unlock()
		return true
	}
	s.open++
	if s.open > s.service.Connections {
		s.counts.Breaches++
	}
	s.mu.Unlock()
	time.Sleep(s.service.Connect)
	return true
}

func (s *Server) hangUp(caller string, keep bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if keep && !s.down {
		s.idle[caller]++
		return
	}
	s.open = max(0, s.open-1)
}

// enter admits a request. A nil turn means that it holds a slot at once.
func (s *Server) enter(version shard.Version) (shard.VersionShards, chan struct{}, *shard.Refused) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	switch {
	case s.down:
		return shard.VersionShards{}, nil, &shard.Refused{Reason: fault.ReasonDown}
	case s.draining:
		if now.Sub(s.drainedAt) > noticeBound {
			s.counts.LateRequests++
		}
		return shard.VersionShards{}, nil, &shard.Refused{Reason: fault.ReasonDraining}
	case len(s.waiting) >= backlog*s.service.Slots:
		s.counts.Shed++
		s.counts.Breaches++
		return shard.VersionShards{}, nil, &shard.Refused{Reason: fault.ReasonShed, RetryAfter: s.base}
	}
	i := slices.IndexFunc(s.held, func(h shard.VersionShards) bool { return h.Version == version })
	if version == 0 {
		i = len(s.held) - 1
	}
	if i < 0 {
		return shard.VersionShards{}, nil, &shard.Refused{Reason: fault.ReasonVersionMissing}
	}
	s.counts.Runs++
	s.judge(s.overRate(now))
	if s.busy < s.service.Slots {
		s.busy++
		return s.held[i], nil, nil
	}
	turn := make(chan struct{})
	s.waiting = append(s.waiting, turn)
	return s.held[i], turn, nil
}

// judge counts a request that the server cannot bear.
func (s *Server) judge(overRate bool) {
	switch {
	case s.busy >= s.service.Slots:
		s.counts.Breaches++
	case !overRate:
	case !s.turned.IsZero() && s.firstSlow.IsZero():
		s.counts.Unavoidable++
	default:
		s.counts.Breaches++
	}
}

// overRate takes a request from the rate of a cold server and reports whether
// the server could not bear it. Load warms the server up.
func (s *Server) overRate(now time.Time) bool {
	if s.warm >= 1 {
		return false
	}
	elapsed := now.Sub(s.refilled)
	s.refilled = now
	s.warm = min(1, s.warm+min(elapsed, time.Second).Seconds()/s.service.Warmup.Seconds())
	full := float64(s.service.Slots) / s.base.Seconds()
	rate := float64(s.service.Floor) + s.warm*(full-float64(s.service.Floor))
	s.tokens = min(float64(s.service.Slots), s.tokens+rate*elapsed.Seconds())
	if s.tokens < 1 {
		return true
	}
	s.tokens--
	return false
}

// serve runs a request until its end or its deadline.
func (s *Server) serve(sub shard.SubRequest, held shard.VersionShards, turn chan struct{}) shard.Outcome {
	if turn != nil && !s.await(turn, sub.Deadline) {
		return shard.Failed{Verdict: fault.MayHaveRun{}, Reason: fault.ReasonDeadline}
	}
	start := time.Now()
	need := s.duration()
	left := time.Until(sub.Deadline)
	time.Sleep(min(need, left))
	if !s.leave(start) {
		return shard.Failed{Verdict: fault.MayHaveRun{}, Reason: fault.ReasonConnection}
	}
	if need > left {
		return shard.Failed{Verdict: fault.MayHaveRun{}, Reason: fault.ReasonDeadline}
	}
	var answered shard.Answered
	wanted := sub.Shards
	if sub.Version == 0 {
		wanted = held.Shards
	}
	for _, name := range wanted {
		if slices.Contains(held.Shards, name) {
			answered.Parts = append(answered.Parts, part(held.Version, name))
		}
	}
	return answered
}

// part makes a partial answer whose hit tells its version and shard.
func part(version shard.Version, name string) shard.PartialAnswer {
	return shard.PartialAnswer{Version: version, Shard: name, Hits: []shard.Hit{{
		Key: name, Score: 1, Text: strconv.FormatUint(uint64(version), 10),
	}}}
}

// await waits for a slot until the deadline.
func (s *Server) await(turn chan struct{}, deadline time.Time) bool {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-turn:
		return true
	case <-timer.C:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.Index(s.waiting, turn)
	if i < 0 {
		s.pass()
		return false
	}
	s.waiting = slices.Delete(s.waiting, i, i+1)
	return false
}

// leave gives the slot of a request back that began at start, and reports
// whether the server is still up.
func (s *Server) leave(start time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.turned.IsZero() && s.firstSlow.IsZero() && !start.Before(s.turned) {
		s.firstSlow = time.Now()
	}
	s.pass()
	return !s.down
}

// pass hands a free slot to the next waiting request.
func (s *Server) pass() {
	if len(s.waiting) == 0 {
		s.busy--
		return
	}
	close(s.waiting[0])
	s.waiting = s.waiting[1:]
}

// duration draws a service time.
func (s *Server) duration() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.slow * math.Exp(spread*s.rng.NormFloat64())
	if s.rng.Float64() < tailShare {
		f *= tailFactor
	}
	if s.warm < 1 {
		f *= 1 + (coldFactor-1)*(1-s.warm)
		if s.tokens < 1 {
			f *= overFactor
		}
	}
	return time.Duration(f * float64(s.base))
}

// State returns the server's own report.
func (s *Server) State() (shard.StateReport, bool) {
	time.Sleep(hop)
	s.mu.Lock()
	defer s.mu.Unlock()
	return shard.StateReport{Server: s.name, Draining: s.draining, Versions: slices.Clone(s.held)}, !s.down
}

func (s *Server) counters() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}
