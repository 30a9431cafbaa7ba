package relay

import (
	"sync"
	"time"

	"hyssophub/fault"
	"hyssophub/fleet"
	"hyssophub/gossip"
	"hyssophub/rules"
)

// Times of a request in progress.
const (
	// answerMargin is the time that merging and writing an answer takes. A
	// gathered request is answered that long before the response-time objective,
	// less the time on the network and the host's usual delay.
	answerMargin = 3 * time.Millisecond
	// lagMax bounds the delay of the host that is allowed for.
	lagMax = 12 * time.Millisecond
	// lagDecay is the share of the greatest recent delay that each answer keeps.
	lagDecay = 0.97
	// endMargin is the time before the client's deadline at which the final
	// answer is given, so that it arrives in time.
	endMargin = 10 * time.Millisecond
	// pauseTime is how long a part waits when no instance can take it.
	pauseTime = 15 * time.Millisecond
	// offerShare is the share of the response-time objective after which a
	// request that reached no server is refused, unless a server that seems to
	// serve can be asked.
	offerShare = 0.2
	// refuseAfter is the time after which a refused client may come back.
	refuseAfter = 100 * time.Millisecond
	// cutAfter is the time after which a client may come back that met a host
	// which is cut off: the balancer takes two to three seconds to send clients
	// elsewhere, and clients keep to a third of the time that they have left.
	cutAfter = 500 * time.Millisecond
	// extraSends bounds the exchanges of a part beyond its attempts: those
	// that servers provably did not run.
	extraSends = 2
)

// Table holds the requests in progress and the budgets. Its lock comes after
// that of rules and before that of fleet.
type Table struct {
	rules  *rules.Table
	fleet  *fleet.Table
	hosts  *gossip.Table
	limits Limits

	mu      sync.Mutex
	budgets map[string]*budget
	// sharing is the number of hosts that share the budgets.
	sharing int
	// lag follows the greatest recent delay between the time at which an answer
	// was due and its decision: a host whose processor is busy is late.
	lag time.Duration
}

// NewTable returns a table without requests.
func NewTable(routing *rules.Table, instances *fleet.Table, hosts *gossip.Table, limits Limits, sharing int) *Table {
	return &Table{
		rules:   routing,
		fleet:   instances,
		hosts:   hosts,
		limits:  limits,
		budgets: make(map[string]*budget),
		sharing: sharing,
	}
}

// SetSharing sets the number of hosts that share the budgets.
func (t *Table) SetSharing(hosts int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sharing = max(1, hosts)
}

// SetLimits sets the bounds on extra requests.
func (t *Table) SetLimits(limits Limits) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if limits.Window != t.limits.Window {
		// Slots of another length cannot be compared.
		t.budgets = make(map[string]*budget)
	}
	t.limits = limits
}

// effects are what a step asks the engine to do.
type effects struct {
	send []*exchange
	// collect and rest are calls to other hosts.
	collect []*delegation
	rest    []*delegation
	// next is when the request is looked at again.
	next time.Time
	// result is the request's answer; nil while it is in progress.
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

// begin plans the first exchanges of a request.
func (t *Table) begin(r *record, now time.Time) effects {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !r.collecting && !t.isReachable(r, now) {
		return effects{result: declined(fault.NotRun{}, fault.ReasonZoneCut, cutAfter)}
	}
	var delegations []*delegation
	if r.gather != nil && !r.collecting {
		delegations = t.plan(r, now)
	}
	for i := range r.parts {
		// The host that sends a part first counts it.
		if r.parts[i].delegation == nil {
			t.budget(r.parts[i].service).earn(now, t.limits)
		}
	}
	e := t.advance(r, now)
	e.collect = delegations
	return e
}

// step looks at a request again.
func (t *Table) step(r *record, now time.Time) effects {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.advance(r, now)
}

// margin returns the time before the response-time objective at which a request
// with the given time on the network is answered.
func (t *Table) margin(away time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return answerMargin + away + t.lag
}

// late records by how much a decision was late.
func (t *Table) late(by time.Duration) {
	t.lag = max(time.Duration(lagDecay*float64(t.lag)), min(max(0, by), lagMax))
}

// finish marks a request as done and reports whether another host still collects
// a part of it.
func (t *Table) finish(r *record) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.finished = true
	return r.isCollected()
}

// advance decides on all parts of a request, in order of time.
func (t *Table) advance(r *record, now time.Time) effects {
	var e effects
	if e.result = t.conclude(r, now); e.result != nil {
		return e
	}
	e.next = r.end
	offer := r.request.Arrived.Add(time.Duration(offerShare * float64(r.request.Route.Goal)))
	expired := !r.collecting && r.isUnoffered() && !now.Before(offer)
	if r.gather != nil && now.Before(r.answerAt) {
		e.at(r.answerAt)
	}
	e.rest, r.resting = r.resting, nil
	for i := range r.parts {
		p := &r.parts[i]
		if p.isDone() || p.delegation != nil {
			continue
		}
		if len(p.open) == 0 {
			t.start(r, i, expired, now, &e)
		} else {
			t.hedge(r, i, now, &e)
		}
	}
	switch {
	case r.collecting || !r.isUnoffered():
	case expired:
		e.result = declined(fault.NotRun{}, fault.ReasonNoReplica, r.retryAfter())
	default:
		e.at(offer)
	}
	return e
}

// isUnoffered reports whether no server has the request or ever had it.
func (r *record) isUnoffered() bool {
	for i := range r.parts {
		p := &r.parts[i]
		if p.arrivals > 0 || p.isBusy() || p.answer != nil {
			return false
		}
	}
	return true
}

func (e *effects) at(when time.Time) {
	if when.Before(e.next) {
		e.next = when
	}
}

// take records the outcome of an exchange.
func (t *Table) take(x *exchange, outcome Outcome, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fleet.Observe(x.order.Choice.ID, x.began, observe(x, outcome, now), now)
	switch o := outcome.(type) {
	case Failed:
		if o.Reason != fault.ReasonSilentConnection && (o.Reason != fault.ReasonStopping || now.Sub(x.began) > unanswered) {
			t.reach(x.order.Choice.Zone, false, now)
		}
	default:
		t.reach(x.order.Choice.Zone, true, now)
	}
	r := x.record
	p := &r.parts[x.part]
	p.close(x)
	if r.finished {
		return
	}
	switch o := outcome.(type) {
	case Answered:
		p.arrivals++
		p.ran++
		r.ran = true
		t.keep(r, p, o)
	case Refused:
		p.arrivals++
		p.reason = o.Reason
	case Failed:
		p.reason = o.Reason
		if _, unsent := o.Verdict.(fault.NotRun); unsent {
			p.sends--
			break
		}
		p.arrivals++
		p.ran++
		r.ran = true
	}
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// keep takes in a complete answer. A part counts once, and two parts never
// have one seal.
func (t *Table) keep(r *record, p *part, o Answered) {
	if p.answer != nil {
		return
	}
	if !o.IsSuccess() || r.isDuplicate(o.Seal) {
		p.failure = &o
		p.reason = fault.ReasonInternal
		return
	}
	p.answer = &o
	r.covered++
	r.progress = true
}

func (r *record) isDuplicate(seal string) bool {
	for i := range r.parts {
		if a := r.parts[i].answer; a != nil && a.Seal == seal {
			return true
		}
	}
	return false
}

// observe converts an outcome to what it shows of the instance.
func observe(x *exchange, outcome Outcome, now time.Time) fleet.Observation {
	switch o := outcome.(type) {
	case Answered:
		if !o.IsSuccess() {
			return fleet.Broken{}
		}
		return fleet.Answered{Took: now.Sub(x.began)}
	case Refused:
		switch o.Reason {
		case fault.ReasonNotOwner:
			return fleet.Leaving{}
		case fault.ReasonDown:
			return fleet.Broken{}
		default:
			return fleet.Shed{}
		}
	case Failed:
		if o.Reason == fault.ReasonStopping || o.Reason == fault.ReasonSilentConnection {
			return fleet.Abandoned{}
		}
		return fleet.Broken{}
	}
	return fleet.Abandoned{}
}
