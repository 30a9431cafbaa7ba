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
	"hyssophub/work"
)

// Constants of the backend model.
const (
	// intraZoneDelay is the one-way network delay inside a zone.
	intraZoneDelay = 100 * time.Microsecond
	// serviceTimeSigma is the sigma of the log-normal distribution of service
	// times.
	serviceTimeSigma = 0.25
	// tailShare is the share of requests that take tailFactor times as long.
	tailShare  = 0.005
	tailFactor = 5
	// coldFactor is the service time of a cold server relative to a warm one.
	coldFactor = 4
	// overRateFactor multiplies the service time of a cold server while requests
	// exceed its allowed rate.
	overRateFactor = 2
	// maxQueuedPerSlot is the number of waiting requests per slot at which a
	// server sheds load.
	maxQueuedPerSlot = 8
	// drainNoticeLimit is the time after the start of draining during which a
	// server may still receive new requests.
	drainNoticeLimit = 2 * time.Second
	// restartTime is the time during which a restarting server refuses
	// connections.
	restartTime = time.Second
)

// Server models a backend server. It counts the requests and connections that
// exceed its limits.
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
	// coldSince is the time of a silent change to cold, or zero. firstSlowReply
	// is the end of the first request that began after this change; its owner
	// cannot detect the change earlier.
	coldSince      time.Time
	firstSlowReply time.Time
	// announcedAt is the time at which an owner announced that the server is
	// cold.
	announcedAt time.Time
	down        bool
	versions    []shard.VersionShards
	openConns   int
	idleConns   map[string]int
	silentConns map[string]int
	counts      Counts
	// lastCaller is the host that dispatched the latest request.
	lastCaller string
	gap        *ownerGap
	executions *executions
	// zoneOutAt is the time at which the zone was taken out of service, or zero.
	// lateArrivals counts the requests that arrived later than zoneOutLimit after
	// zoneOutAt.
	zoneOutAt    time.Time
	lateArrivals int
}

// Counts holds the counters of a server.
type Counts struct {
	Runs int
	// Breaches counts requests that exceed the slots, the queue, the connections
	// or the allowed rate of a cold server.
	Breaches int
	// Unavoidable counts the requests above the rate of a server that turned cold
	// silently, before its first slow reply. Breaches does not include them.
	Unavoidable int
	// AnnounceDelay is the longest time from the first slow reply of a server
	// that turned cold silently to the announcement by an owner.
	AnnounceDelay time.Duration
	// LateRequests counts requests to a draining server after drainNoticeLimit.
	LateRequests int
	// Interrupted counts requests in progress when the server stopped.
	Interrupted int
	// Shed counts requests refused because the queue was full.
	Shed int
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

// Do processes one sub-request of a calling host. Version zero selects the
// newest version.
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

// connect takes an idle connection or opens one. On a silent connection it
// blocks until the deadline or the end of ctx, and returns false.
func (s *Server) connect(ctx context.Context, caller string, deadline time.Time) bool {
	s.mu.Lock()
	switch {
	case s.silentConns[caller] > 0:
		s.silentConns[caller]--
		s.mu.Unlock()
		select {
		case <-time.After(work.TimerDelay(time.Until(deadline))):
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

// releaseConn returns a connection to the idle ones if keep is set and the
// server is up, and closes it otherwise.
func (s *Server) releaseConn(caller string, keep bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if keep && !s.down {
		s.idleConns[caller]++
		return
	}
	s.openConns = max(0, s.openConns-1)
}

// admit decides whether a request may run. For an admitted request it returns
// the index version and, if all slots are taken, a channel that is closed when
// the request is granted a slot.
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

// countBreach counts a request that exceeds the slots or the allowed rate.
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

// overRate takes a token for a request to a cold server and reports whether the
// request exceeds the allowed rate. Each request also advances the warm-up by
// the time since the previous one, at most a second.
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

// serve waits for a slot and runs a request until its end or its deadline.
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

// partialAnswer returns a partial answer with one hit that names the version and
// the shard, for load.checkAnswer.
func partialAnswer(version shard.Version, name string) shard.PartialAnswer {
	return shard.PartialAnswer{Version: version, Shard: name, Hits: []shard.Hit{{
		Key: name, Score: 1, Text: strconv.FormatUint(uint64(version), 10),
	}}}
}

// awaitSlot blocks until the request is granted a slot, and returns false if the
// deadline passes first.
func (s *Server) awaitSlot(granted chan struct{}, deadline time.Time) bool {
	timer := time.NewTimer(work.TimerDelay(time.Until(deadline)))
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

// finish releases the slot of a request that began at start, and reports whether
// the server is still up.
func (s *Server) finish(start time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.coldSince.IsZero() && s.firstSlowReply.IsZero() && !start.Before(s.coldSince) {
		s.firstSlowReply = time.Now()
	}
	s.releaseSlot()
	return !s.down
}

// releaseSlot grants a free slot to the next waiting request. The caller holds
// s.mu.
func (s *Server) releaseSlot() {
	if len(s.waiting) == 0 {
		s.busy--
		return
	}
	close(s.waiting[0])
	s.waiting = s.waiting[1:]
}

// drawServiceTime returns a random service time for the current state of the
// server.
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

// State returns the state that the server reports, and false if it is down.
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
