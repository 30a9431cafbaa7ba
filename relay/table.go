package relay

import (
	"math"
	"sync"
	"time"

	"hyssophub/canary"
	"hyssophub/fault"
	"hyssophub/fleet"
	"hyssophub/flow"
	"hyssophub/gossip"
	"hyssophub/place"
	"hyssophub/rules"
)

// Timing of requests in progress.
const (
	// answerMargin and answerTime are the time for reading a request, and for
	// merging and writing its answer: a fixed time, and one on a whole core. A
	// gathered request is answered before its response-time objective by these,
	// the network time and the usual lag of this host.
	answerMargin = 2 * time.Millisecond
	answerTime   = 800 * time.Microsecond
	// maxLag is the greatest lag of this host that is subtracted from the
	// response-time objective.
	maxLag = 12 * time.Millisecond
	// lagHalfLife is the half-life of the recent maximum of the lag.
	lagHalfLife = 10 * time.Second
	// deadlineMargin is the time before the client's deadline at which the
	// final answer is sent, so that it arrives in time.
	deadlineMargin = 10 * time.Millisecond
	// retryPause is the time until a part is tried again after no instance
	// could be chosen or the budget was empty.
	retryPause = 15 * time.Millisecond
	// deliveryShare is the fraction of the response-time objective within which
	// a request must have reached a backend server. After that it is sent only
	// to a server that seems healthy, and refused if there is none.
	deliveryShare = 0.2
	// refusalRetryAfter is the least time after which a refused client may
	// retry.
	refusalRetryAfter = 100 * time.Millisecond
	// cutOffRetryAfter is the time after which a client may retry if this host
	// is cut off from too many backend servers. The load balancer takes two to
	// three seconds to send clients to other hosts, and clients wait for at
	// most a third of their remaining time.
	cutOffRetryAfter = 500 * time.Millisecond
	// maxUnexecutedSends is the number of exchanges of a part beyond its
	// attempts, for those that provably did not run.
	maxUnexecutedSends = 2
)

// Table decides on the requests in progress and holds the budgets for extra
// requests. Its lock is acquired after the lock of rules and before that of
// fleet.
type Table struct {
	rules *rules.Table
	fleet *fleet.Table
	hosts *gossip.Table
	// rollouts are the roll-outs of services' versions; nil if there are none.
	rollouts *canary.Table
	limits   BudgetLimits
	// placement holds this host's shares of the limits on services.
	placement *place.Table

	mu      sync.Mutex
	budgets map[string]*budget
	// groupings holds the groups of each route by its name.
	groupings map[string]*grouping
	// hostCount is the number of hosts that share the budgets.
	hostCount int
	// lag is a decaying maximum of the recent delays between the time at which
	// an answer was due and its decision. It grows while the processor of the
	// host is busy.
	// It is that of the time lagAt.
	lag   time.Duration
	lagAt time.Time
}

// NewTable returns a table without requests. hostCount is the number of hosts
// that share the budgets.
func NewTable(routing *rules.Table, instances *fleet.Table, hosts *gossip.Table, limits BudgetLimits, hostCount int) *Table {
	return &Table{
		rules:     routing,
		fleet:     instances,
		hosts:     hosts,
		limits:    limits,
		placement: place.NewTable(),
		budgets:   make(map[string]*budget),
		groupings: make(map[string]*grouping),
		hostCount: hostCount,
	}
}

// SetHostCount sets the number of hosts that share the budgets.
func (t *Table) SetHostCount(hosts int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hostCount = max(1, hosts)
}

// SetLimits sets the limits of extra requests.
func (t *Table) SetLimits(limits BudgetLimits) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if limits.Window != t.limits.Window {
		// The counts of slots of another length cannot be converted.
		t.budgets = make(map[string]*budget)
	}
	t.limits = limits
}

// actions are what the engine is to do next for a request.
type actions struct {
	send []*exchange
	// collect and collectMore are calls to helpers.
	collect     []*delegation
	collectMore []*delegation
	// wakeAt is when the request is to be evaluated again.
	wakeAt time.Time
	// result is the answer to the request; nil while it is in progress.
	result Result
}

func (t *Table) budget(service string) *budget {
	b := t.budgets[service]
	if b == nil {
		b = &budget{}
		t.budgets[service] = b
	}
	return b
}

// begin returns the first actions for a request.
func (t *Table) begin(r *requestState, now time.Time) actions {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !r.collecting && !t.isReachable(r, now) {
		return actions{result: declined(fault.NotRun{}, fault.ReasonZoneCut, cutOffRetryAfter)}
	}
	if !r.collecting && t.isClosedOff(r, now) {
		return actions{result: declined(fault.NotRun{}, r.refusalReason(), r.retryAfter())}
	}
	if r.collecting {
		r.setResultTimes(now)
	}
	var delegations []*delegation
	switch {
	case r.gather == nil:
	case r.spread:
		delegations = t.planSpread(r, now)
	case !r.collecting:
		delegations = t.plan(r, now)
	}
	setMargins(delegations, t.hosts.Self().Weight)
	for i := range r.parts {
		// A delegated part is counted by its helper, which sends it first.
		if r.parts[i].delegation == nil {
			t.budget(r.parts[i].service).countOrdinary(now, t.limits)
		}
	}
	a := t.advance(r, now)
	a.collect = append(a.collect, delegations...)
	return a
}

// step evaluates a request again, after an outcome or at the time wakeAt.
func (t *Table) step(r *requestState, now time.Time) actions {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.advance(r, now)
}

// answerLead returns how long before the response-time objective a request with
// the given network time is to be answered.
func (t *Table) answerLead(networkTime time.Duration, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return answerMargin + timeOn(t.hosts.Self().Weight, answerTime) + networkTime + t.recentLag(now)
}

// timeOn returns how long a host takes for work of the given time on a whole core. The
// weight is its processor share in thousandths of a core; zero means that it is unknown
// and taken to be a whole core.
func timeOn(weight int, work time.Duration) time.Duration {
	if weight <= 0 {
		return work
	}
	return work * 1000 / time.Duration(weight)
}

// recentLag returns the recent maximum of the lag. It decays with time and not with the
// answers, of which a host of a large tier gives one in some seconds.
func (t *Table) recentLag(now time.Time) time.Duration {
	return time.Duration(math.Exp2(-float64(now.Sub(t.lagAt))/float64(lagHalfLife)) * float64(t.lag))
}

// recordLag updates lag with the delay of one decision.
func (t *Table) recordLag(lag time.Duration, now time.Time) {
	t.lag, t.lagAt = max(t.recentLag(now), min(max(0, lag), maxLag)), now
}

// finish marks a request as finished and reports whether a helper is still
// collecting parts of it.
func (t *Table) finish(r *requestState) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.finished = true
	return r.isDelegated()
}

// advance returns the result of a request if it is decided, and otherwise the
// next actions for each part. The caller holds mu.
func (t *Table) advance(r *requestState, now time.Time) actions {
	a := actions{wakeAt: r.end}
	t.releaseLost(r, now, &a)
	if a.result = t.conclude(r, now); a.result != nil {
		return a
	}
	deliverBy := r.request.Arrived.Add(time.Duration(deliveryShare * float64(r.request.Route.TargetLatency)))
	overdue := !r.collecting && r.isUndelivered() && !now.Before(deliverBy)
	if r.gather != nil && now.Before(r.answerAt) {
		a.wakeBy(r.answerAt)
	}
	if r.awaitsEarlyResult() && now.Before(r.earlyAt) {
		a.wakeBy(r.earlyAt)
	}
	a.collectMore, r.incomplete = r.incomplete, nil
	a.collect, r.redelegations = r.redelegations, nil
	for i := range r.parts {
		p := &r.parts[i]
		if p.isDone() || p.delegation != nil {
			continue
		}
		if len(p.open) == 0 {
			t.start(r, i, overdue, now, &a)
		} else {
			t.hedge(r, i, now, &a)
		}
	}
	switch {
	case r.collecting || !r.isUndelivered():
	case overdue, r.isClosed(deliverBy):
		a.result = declined(fault.NotRun{}, r.refusalReason(), r.retryAfter())
	default:
		a.wakeBy(deliverBy)
	}
	return a
}

// isUndelivered reports whether no backend server has received the request, as
// far as this host can determine.
func (r *requestState) isUndelivered() bool {
	for i := range r.parts {
		p := &r.parts[i]
		if p.deliveries > 0 || p.isInProgress() || p.answer != nil {
			return false
		}
	}
	return true
}

// isClosed reports whether so many parts find no instance in time, because all of
// theirs bound their requests, that the request cannot succeed. deliverBy is when a
// request to one service must have reached an instance.
func (r *requestState) isClosed(deliverBy time.Time) bool {
	by := deliverBy
	if r.gather != nil {
		by = r.answerAt
	}
	closed := 0
	for i := range r.parts {
		if r.parts[i].closedUntil.After(by) {
			closed++
		}
	}
	return r.cannotSucceed(closed)
}

func (a *actions) wakeBy(when time.Time) {
	if when.Before(a.wakeAt) {
		a.wakeAt = when
	}
}

// recordOutcome applies the outcome of an exchange to the fleet's state of the
// instance, to the reachability of its availability zone and to the request. It
// returns what the instance newly said of the requests that it takes.
func (t *Table) recordOutcome(x *exchange, outcome Outcome, now time.Time) []flow.Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fleet.Observe(x.request.Choice.ID, x.began, observe(x, outcome, now), now)
	t.endTrial(x, outcome, now)
	var changes []flow.Change
	if notice := noticeOf(outcome); notice != nil {
		changes = t.fleet.Learn(x.request.Choice, *notice, x.began, now)
	}
	switch o := outcome.(type) {
	case Failed:
		if o.Reason != fault.ReasonSilentConnection && (o.Reason != fault.ReasonStopping || now.Sub(x.began) > minUnansweredAge) {
			t.recordReach(x.request.Choice.Zone, false, now)
		}
	default:
		t.recordReach(x.request.Choice.Zone, true, now)
	}
	r := x.state
	p := &r.parts[x.part]
	p.removeOpen(x)
	if r.finished {
		return changes
	}
	switch o := outcome.(type) {
	case Answered:
		p.deliveries++
		p.possibleRuns++
		r.mayHaveRun = true
		t.acceptAnswer(r, p, o)
	case Refused:
		p.deliveries++
		p.reason = o.Reason
	case Failed:
		p.reason = o.Reason
		if _, unsent := o.Verdict.(fault.NotRun); unsent {
			p.sends--
			break
		}
		p.deliveries++
		p.possibleRuns++
		r.mayHaveRun = true
	}
	select {
	case r.wake <- struct{}{}:
	default:
	}
	return changes
}

// noticeOf returns what a backend server said, in the answer of an exchange, of the
// requests that it takes; nil if no answer arrived.
func noticeOf(outcome Outcome) *flow.Notice {
	switch o := outcome.(type) {
	case Answered:
		return o.Notice
	case Refused:
		return o.Notice
	}
	return nil
}

// acceptAnswer stores a successful answer. A part is answered once, and no two
// parts may have the same seal. A part of a gathered answer must also be known to be
// complete; of its records only those are kept that the merged answer can contain.
func (t *Table) acceptAnswer(r *requestState, p *part, o Answered) {
	if p.answer != nil {
		return
	}
	if r.gather != nil && o.IsSuccess() {
		if o.Unframed {
			p.reason = fault.ReasonTruncated
			return
		}
		o.Body, o.Header = r.trimToTop(o.Body), nil
	}
	if !o.IsSuccess() || r.isDuplicate(o.Seal) {
		p.failure = &o
		p.reason = fault.ReasonInternal
		return
	}
	p.answer = &o
	r.answered++
	r.hasNew = true
	// The other exchanges would hold connections, and the places of the backend servers,
	// as long as the request waits for other parts.
	for _, other := range p.open {
		other.cancel()
	}
}

func (r *requestState) isDuplicate(seal string) bool {
	for i := range r.parts {
		if a := r.parts[i].answer; a != nil && a.Seal == seal {
			return true
		}
	}
	return false
}

// observe returns what an outcome says about the health of the instance.
func observe(x *exchange, outcome Outcome, now time.Time) fleet.Observation {
	switch o := outcome.(type) {
	case Answered:
		if !o.IsSuccess() {
			return fleet.Failed{}
		}
		return fleet.Answered{Took: now.Sub(x.began)}
	case Refused:
		switch o.Reason {
		case fault.ReasonNotOwner:
			return fleet.Leaving{}
		case fault.ReasonDown:
			return fleet.Failed{}
		default:
			return fleet.Shed{}
		}
	case Failed:
		if o.Reason == fault.ReasonStopping || o.Reason == fault.ReasonSilentConnection {
			return fleet.Abandoned{}
		}
		return fleet.Failed{}
	}
	return fleet.Abandoned{}
}
