package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"hyssophub/fault"
	"hyssophub/flow"
	"hyssophub/rules"
)

// Terms of an instance's cost. The cost is its expected latency in seconds,
// increased by failures and by traffic between availability zones.
const (
	// crossZoneCost is the added cost of an instance in another availability zone, as a
	// share of the response-time objective. Bytes between zones are the most
	// expensive resource, and answering faster than the objective gains nothing.
	crossZoneCost = 0.3
	// failureCost is the added cost of an instance whose exchanges all fail, in
	// multiples of its expected latency.
	failureCost = 8.0
	// unhealthyCost is the added cost in seconds of an instance that seems down,
	// stalled or overloaded. Such an instance is chosen only if no other is left.
	unhealthyCost = 1000.0
	// trialCost is the added cost in seconds for each trial that an instance got before.
	trialCost = 10.0
)

// Constraints restrict the instances that a request may be sent to.
type Constraints struct {
	// View is the snapshot of the rules that the request was matched with.
	View *rules.View
	// Out holds the availability zones that are out of service at present.
	Out map[string]bool
	// TargetLatency is the response-time objective of the request.
	TargetLatency time.Duration
	// HealthyOnly excludes instances that seem down, stalled, overloaded or
	// unreachable.
	HealthyOnly bool
	// Versions holds which software versions the requests to a service may go to; nil
	// where the deployment has no roll-outs, and all versions are alike.
	Versions map[string]Versions
	// Trial, if not empty, is the only version that the request may go to. The instance
	// with the fewest trials is chosen, so that all of them are judged.
	Trial string
	// ConnShare is the part, 0 to 1, of the connections of an instance that belongs to this
	// host, if that is more than an equal one.
	ConnShare float64
	// Again is set if no instance could be chosen for the request before.
	Again bool
}

// Choice is the instance that a request is sent to.
type Choice struct {
	Instance
	// Detour is set if another instance would have been better but bounds its requests.
	Detour bool
	// IsCold is set if the instance is cold.
	IsCold bool
	// ConnLimit is this host's share of the connections that the instance accepts;
	// zero sets no limit.
	ConnLimit int
}

// Refusal says when to try again after no instance could be chosen.
type Refusal struct {
	// RetryAfter is the time until an instance that bounds its requests, because it is
	// cold or names a rate limit, accepts the next one from this host; zero if no such
	// instance was passed over.
	RetryAfter time.Duration
	// Bounded is set if all instances that could serve the request bound their
	// requests, so that none serves it before RetryAfter.
	Bounded bool
	// Full is set if an instance was passed over because this host uses its share of the
	// instance's connections.
	Full bool
	// Reason is why the instance that accepts the next request first accepts none now,
	// or that all instances are shutting down; empty if neither is the cause.
	Reason fault.Reason
}

// add adds an instance that accepts no request before a time.
func (r *Refusal) add(until, now time.Time, reason fault.Reason) {
	if wait := until.Sub(now); r.RetryAfter == 0 || wait < r.RetryAfter {
		r.RetryAfter, r.Reason = wait, reason
	}
}

func reasonOf(c flow.Closed) fault.Reason {
	switch {
	case c.Paused:
		return fault.ReasonPause
	case c.Cold:
		return fault.ReasonCold
	default:
		return fault.ReasonRateLimit
	}
}

// Choose returns the instance of a service with the lowest cost and records the
// start of an exchange with it, which Observe ends. exclude lists the IDs of
// instances that the request was already sent to; they are not chosen. Zones that
// are out and draining instances are checked at each call, because either may
// have changed between a first attempt and a retry or hedge.
func (t *Table) Choose(constraints Constraints, service string, exclude []string, now time.Time) (Choice, Refusal, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rule, _ := constraints.View.Service(service)
	best, detour, refusal := t.best(constraints, rule, service, exclude, now)
	if best == nil {
		return Choice{}, refusal, false
	}
	best.inFlight = append(best.inFlight, now)
	t.bounds.Send(best.flowServer(), now)
	if constraints.Trial != "" {
		best.trials++
	}
	return Choice{Instance: best.Instance, Detour: detour, IsCold: best.isCold(now), ConnLimit: t.connLimit(rule, constraints.ConnShare)}, refusal, true
}

// best returns the eligible instance with the lowest cost, and whether one with a lower
// cost bounds its requests; or nil and when to try again.
func (t *Table) best(constraints Constraints, rule *rules.Service, service string, exclude []string, now time.Time) (chosen *server, detour bool, why Refusal) {
	var (
		best, wanted         *server
		bestCost, wantedCost = math.Inf(1), math.Inf(1)
		closedServers        []*server
		refusal              Refusal
		unbounded            bool
	)
	for _, s := range t.services[service] {
		if !t.isEligible(constraints, rule, s, exclude, now, &refusal) {
			continue
		}
		closed, isClosed := t.bounds.Check(s.flowServer(), now).(flow.Closed)
		if constraints.HealthyOnly && t.isUnhealthy(s, now) {
			unbounded = unbounded || !isClosed
			continue
		}
		if limit := t.connLimit(rule, constraints.ConnShare); limit > 0 && len(s.inFlight) >= limit {
			unbounded = unbounded || !isClosed
			refusal.Full = true
			continue
		}
		cost := t.cost(s, now)
		if s.Zone != t.zone {
			cost += crossZoneCost * constraints.TargetLatency.Seconds()
		}
		if constraints.Trial != "" {
			cost += trialCost * float64(s.trials)
		}
		switch {
		case isClosed:
			refusal.add(closed.Until, now, reasonOf(closed))
			closedServers = append(closedServers, s)
			if cost < wantedCost {
				wanted, wantedCost = s, cost
			}
		case cost < bestCost:
			best, bestCost = s, cost
		}
	}
	switch {
	case best == nil:
		for _, s := range closedServers {
			t.bounds.Want(s.flowServer(), constraints.Again, now)
		}
	case wantedCost < bestCost:
		t.bounds.Want(wanted.flowServer(), constraints.Again, now)
	}
	refusal.Bounded = !unbounded && refusal.RetryAfter > 0
	return best, wantedCost < bestCost, refusal
}

// CountClosed returns the number of services none of whose instances takes a request
// from this host before a time, because all of them bound their requests, and when the
// first of these takes one. It counts only services of whose instances at
// least one is in service.
func (t *Table) CountClosed(constraints Constraints, services []string, before, now time.Time) (int, Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.bounds.IsEmpty() {
		return 0, Refusal{}
	}
	count := 0
	var first Refusal
	for _, service := range services {
		if c, closed := t.closedUntil(constraints, service, now); closed && !c.Until.Before(before) {
			count++
			first.add(c.Until, now, reasonOf(c))
		}
	}
	return count, first
}

// closedUntil returns which instance of a service takes a request from this host first,
// and whether all of them bound their requests.
func (t *Table) closedUntil(constraints Constraints, service string, now time.Time) (flow.Closed, bool) {
	var (
		refusal Refusal
		first   flow.Closed
	)
	rule, _ := constraints.View.Service(service)
	for _, s := range t.services[service] {
		if !t.isEligible(constraints, rule, s, nil, now, &refusal) {
			continue
		}
		c, ok := t.bounds.Check(s.flowServer(), now).(flow.Closed)
		if !ok {
			return flow.Closed{}, false
		}
		if first.Until.IsZero() || c.Until.Before(first.Until) {
			first = c
		}
	}
	return first, !first.Until.IsZero()
}

// isEligible reports whether new requests may be sent to an instance at all, apart from
// bounds on their rate. If the instance is shutting down, refusal gets that reason.
func (t *Table) isEligible(constraints Constraints, rule *rules.Service, s *server, exclude []string, now time.Time, refusal *Refusal) bool {
	if _, draining := s.State.(Draining); draining || constraints.Out[s.Zone] {
		return false
	}
	if slices.Contains(exclude, s.ID) || !t.isVersionAllowed(constraints, s) {
		return false
	}
	if rule != nil && rule.ColdRate > 0 && s.isCold(now) {
		t.bounds.SetCold(s.flowServer(), rule.ColdRate, s.coldUntil)
	}
	if _, ended := t.bounds.Check(s.flowServer(), now).(flow.Ended); ended {
		refusal.Reason = cmp.Or(refusal.Reason, fault.ReasonDraining)
		return false
	}
	return true
}

// cost returns the cost of an instance without that of traffic between
// availability zones.
func (t *Table) cost(s *server, now time.Time) float64 {
	cost := s.expectedLatency(now).Seconds() * (1 + failureCost*s.failureRate)
	if t.isUnhealthy(s, now) {
		cost += unhealthyCost
	}
	return cost
}

// isUnhealthy reports whether an instance is not expected to answer at all.
func (t *Table) isUnhealthy(s *server, now time.Time) bool {
	return t.unreachable[s.Zone] || s.isStalled(now) || now.Before(s.retryAt) || now.Before(s.shedUntil)
}

// connOvercommit is the factor by which the sum of all hosts' limits may exceed
// the connections of an instance. The hosts seldom use their whole shares at the
// same moment.
const connOvercommit = 1.5

// minConnLimit is the minimum of connLimit. It allows a host a second exchange with
// an instance while another is slow.
const minConnLimit = 2

// connLimit returns this host's share of the connections that each instance of a
// service accepts; zero sets no limit.
func (t *Table) connLimit(rule *rules.Service, share float64) int {
	if rule == nil || rule.MaxConnections == 0 {
		return 0
	}
	equal := int(connOvercommit * float64(rule.MaxConnections) / float64(t.hosts))
	return max(minConnLimit, equal, int(share*float64(rule.MaxConnections)))
}

// Zone returns the availability zone of the host.
func (t *Table) Zone() string { return t.zone }

// slowZoneFactor is the greatest ratio between the lowest cost in an availability
// zone and the lowest cost in any zone at which the zone is still healthy.
// Ordinary differences between backend servers and their queues stay below it.
const slowZoneFactor = 3.0

// ServableByZone returns for each availability zone the indexes of the services that it
// serves well. Such a zone is reachable, has instances that accept new requests, and
// its best instance is at most slowZoneFactor times as costly as the best one in any
// zone.
func (t *Table) ServableByZone(constraints Constraints, services []string, now time.Time) map[string][]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	servable := make(map[string][]int)
	var costs []zoneCost
	for i, service := range services {
		costs = t.zoneCosts(constraints, service, now, costs[:0])
		lowest := math.Inf(1)
		for _, c := range costs {
			lowest = min(lowest, c.cost)
		}
		for _, c := range costs {
			if c.cost <= slowZoneFactor*lowest {
				servable[c.zone] = append(servable[c.zone], i)
			}
		}
	}
	return servable
}

// zoneCost is the lowest cost of an instance of a service in a zone.
type zoneCost struct {
	zone string
	cost float64
}

// zoneCosts appends the reachable zones with eligible instances of a service to costs.
func (t *Table) zoneCosts(constraints Constraints, service string, now time.Time, costs []zoneCost) []zoneCost {
	rule, _ := constraints.View.Service(service)
	var refusal Refusal
	for _, s := range t.services[service] {
		if t.unreachable[s.Zone] || !t.isEligible(constraints, rule, s, nil, now, &refusal) {
			continue
		}
		cost := t.cost(s, now)
		if at := slices.IndexFunc(costs, func(c zoneCost) bool { return c.zone == s.Zone }); at >= 0 {
			costs[at].cost = min(costs[at].cost, cost)
			continue
		}
		costs = append(costs, zoneCost{zone: s.Zone, cost: cost})
	}
	return costs
}
