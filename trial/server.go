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
	intraZoneDelay = 100 * time.Microsecond
	// spread is the sigma of the log-normal service time.
	serviceTimeSigma = 0.25
	// tailShare of the requests take tailFactor times as long.
	tailShare  = 0.005
	tailFactor = 5
	// coldFactor is the service time of a cold server relative to a warm one.
	coldFactor = 4
	// overFactor slows a cold server for each request beyond its rate.
	overRateFactor = 2
	// backlog is the number of waiting requests per slot above which a server
	// sheds load.
	maxQueuedPerSlot = 8
	// noticeBound is how long after the first signal a leaving server may
	// still receive work.
	drainNoticeLimit = 2 * time.Second
	// startTime is how long a restarting server refuses connections.
	restartTime = time.Second
)

// Server models a backend server. It counts work beyond its limits.
type Server struct {
	name        string
	service     *config.Service
	zone        string
	serviceTime time.Duration

	mu         sync.Mutex
	rng        *rand.Rand
	busy       int
	waiting    []chan struct{}
	slowFactor float64
	warmth     float64
	tokens     float64
	refilled   time.Time
	draining   bool
	drainedAt  time.Time
	// turned is when a silent change to cold began, and zero without one.
	// firstSlow is the end of the first request that took longer because of
	// it, as the owner cannot know of the change before.
	coldSince      time.Time
	firstSlowReply time.Time
	// noticed is when an owner announced that the server is cold.
	announcedAt time.Time
	down        bool
	versions    []shard.VersionShards
	openConns   int
	idleConns   map[string]int
	silentConns map[string]int
	counts      Counts
	// caller ran the latest request.
	lastCaller string
	gap        *ownerGap
	executions *executions
	// outAt is when the server's zone was taken out, and afterOut counts the
	// requests that came too long after it.
	zoneOutAt    time.Time
	lateArrivals int
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

func newServer(service *config.Service, server config.Server, serviceTime time.Duration, seed uint64) *Server {
	return &Server{
		name:        server.Name,
		service:     service,
		zone:        server.Zone,
		serviceTime: serviceTime,
		rng:         rand.New(rand.NewPCG(seed, 1)),
		slowFactor:  1,
		warmth:      1,
		versions:    []shard.VersionShards{{Version: 1, All: service.Shards, Shards: service.Shards}},
		idleConns:   make(map[string]int),
		silentConns: make(map[string]int),
	}
}

// Do performs one exchange for a caller. Version zero asks for the newest.
func (s *Server) Do(ctx context.Context, caller string, sub shard.SubRequest) shard.Outcome {
	if !s.connect(ctx, caller, sub.Deadline) {
		return shard.Failed{Verdict: fault.MayHaveRun{}, Reason: fault.ReasonDeadline}
	}
	time.Sleep(intraZoneDelay)
	if sub.Write && s.executions.loseMessage() {
		return shard.Failed{Verdict: fault.MayHaveRun{}, Reason: fault.ReasonConnection}
	}
	held, granted, refusal := s.admit(sub.Version)
	if refusal != nil {
		s.releaseConn(caller, refusal.Reason != fault.ReasonDown)
		time.Sleep(intraZoneDelay)
		return *refusal
	}
	s.recordCaller(caller)
	s.recordArrival(time.Now())
	if sub.Write {
		s.executions.record(sub)
	}
	outcome := s.serve(sub, held, granted)
	if sub.Write && s.executions.loseMessage() {
		outcome = shard.Failed{Verdict: fault.MayHaveRun{}, Reason: fault.ReasonConnection}
	}
	s.releaseConn(caller, true)
	time.Sleep(intraZoneDelay)
	return outcome
}

// connect takes an idle connection or opens one. A silent connection holds
// its request until the deadline.
func (s *Server) connect(ctx context.Context, caller string, deadline time.Time) bool {
	s.mu.Lock()
	switch {
	case s.silentConns[caller] > 0:
		s.silentConns[caller]--
		s.mu.Unlock()
		select {
		case <-time.After(time.Until(deadline)):
		case <-ctx.Done():
		}
		s.mu.Lock()
		s.openConns--
		s.mu.Unlock()
		return false
	case s.idleConns[caller] > 0:
		s.idleConns[caller]--
		s.mu.Unlock()
		return true
	}
	s.openConns++
	if s.openConns > s.service.Connections {
		s.counts.Breaches++
	}
	s.mu.Unlock()
	time.Sleep(s.service.Connect)
	return true
}

func (s *Server) releaseConn(caller string, keep bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if keep && !s.down {
		s.idleConns[caller]++
		return
	}
	s.openConns = max(0, s.openConns-1)
}

// enter admits a request. A nil turn means that it holds a slot at once.
func (s *Server) admit(version shard.Version) (shard.VersionShards, chan struct{}, *shard.Refused) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	switch {
	case s.down:
		return shard.VersionShards{}, nil, &shard.Refused{Reason: fault.ReasonDown}
	case s.draining:
		if now.Sub(s.drainedAt) > drainNoticeLimit {
			s.counts.LateRequests++
		}
		return shard.VersionShards{}, nil, &shard.Refused{Reason: fault.ReasonDraining}
	case len(s.waiting) >= maxQueuedPerSlot*s.service.Slots:
		s.counts.Shed++
		s.counts.Breaches++
		return shard.VersionShards{}, nil, &shard.Refused{Reason: fault.ReasonShed, RetryAfter: s.serviceTime}
	}
	i := slices.IndexFunc(s.versions, func(h shard.VersionShards) bool { return h.Version == version })
	if version == 0 {
		i = len(s.versions) - 1
	}
	if i < 0 {
		return shard.VersionShards{}, nil, &shard.Refused{Reason: fault.ReasonVersionMissing}
	}
	s.counts.Runs++
	s.countBreach(s.overRate(now))
	if s.busy < s.service.Slots {
		s.busy++
		return s.versions[i], nil, nil
	}
	granted := make(chan struct{})
	s.waiting = append(s.waiting, granted)
	return s.versions[i], granted, nil
}

// judge counts a request that the server cannot bear.
func (s *Server) countBreach(overRate bool) {
	switch {
	case s.busy >= s.service.Slots:
		s.counts.Breaches++
	case !overRate:
	case !s.coldSince.IsZero() && s.firstSlowReply.IsZero():
		s.counts.Unavoidable++
	default:
		s.counts.Breaches++
	}
}

// overRate takes a request from the rate of a cold server and reports whether
// the server could not bear it. Load warms the server up.
func (s *Server) overRate(now time.Time) bool {
	if s.warmth >= 1 {
		return false
	}
	elapsed := now.Sub(s.refilled)
	s.refilled = now
	s.warmth = min(1, s.warmth+min(elapsed, time.Second).Seconds()/s.service.Warmup.Seconds())
	full := float64(s.service.Slots) / s.serviceTime.Seconds()
	rate := float64(s.service.Floor) + s.warmth*(full-float64(s.service.Floor))
	s.tokens = min(float64(s.service.Slots), s.tokens+rate*elapsed.Seconds())
	if s.tokens < 1 {
		return true
	}
	s.tokens--
	return false
}

// serve runs a request until its end or its deadline.
func (s *Server) serve(sub shard.SubRequest, held shard.VersionShards, granted chan struct{}) shard.Outcome {
	if granted != nil && !s.awaitSlot(granted, sub.Deadline) {
		return shard.Failed{Verdict: fault.MayHaveRun{}, Reason: fault.ReasonDeadline}
	}
	start := time.Now()
	need := s.drawServiceTime()
	left := time.Until(sub.Deadline)
	time.Sleep(min(need, left))
	if !s.finish(start) {
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
			answered.Parts = append(answered.Parts, partialAnswer(held.Version, name))
		}
	}
	return answered
}

// part makes a partial answer whose hit tells its version and shard.
func partialAnswer(version shard.Version, name string) shard.PartialAnswer {
	return shard.PartialAnswer{Version: version, Shard: name, Hits: []shard.Hit{{
		Key: name, Score: 1, Text: strconv.FormatUint(uint64(version), 10),
	}}}
}

// await waits for a slot until the deadline.
func (s *Server) awaitSlot(granted chan struct{}, deadline time.Time) bool {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-granted:
		return true
	case <-timer.C:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.Index(s.waiting, granted)
	if i < 0 {
		s.releaseSlot()
		return false
	}
	s.waiting = slices.Delete(s.waiting, i, i+1)
	return false
}

// leave gives the slot of a request back that began at start, and reports
// whether the server is still up.
func (s *Server) finish(start time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.coldSince.IsZero() && s.firstSlowReply.IsZero() && !start.Before(s.coldSince) {
		s.firstSlowReply = time.Now()
	}
	s.releaseSlot()
	return !s.down
}

// pass hands a free slot to the next waiting request.
func (s *Server) releaseSlot() {
	if len(s.waiting) == 0 {
		s.busy--
		return
	}
	close(s.waiting[0])
	s.waiting = s.waiting[1:]
}

// duration draws a service time.
func (s *Server) drawServiceTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.slowFactor * math.Exp(serviceTimeSigma*s.rng.NormFloat64())
	if s.rng.Float64() < tailShare {
		f *= tailFactor
	}
	if s.warmth < 1 {
		f *= 1 + (coldFactor-1)*(1-s.warmth)
		if s.tokens < 1 {
			f *= overRateFactor
		}
	}
	return time.Duration(f * float64(s.serviceTime))
}

// State returns the server's own report.
func (s *Server) State() (shard.StateReport, bool) {
	time.Sleep(intraZoneDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	return shard.StateReport{Server: s.name, Draining: s.draining, Versions: slices.Clone(s.versions)}, !s.down
}

func (s *Server) counters() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}
