package fleet

import (
	"math"
	"slices"
	"time"

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
}

// Choice is the instance that a request is sent to.
type Choice struct {
	Instance
	// ConnLimit is this host's share of the connections that the instance accepts;
	// zero sets no limit.
	ConnLimit int
}

// Refusal says when to try again after no instance could be chosen.
type Refusal struct {
	// RetryAfter is the time until a cold instance accepts the next request from
	// this host; zero if no cold instance was passed over.
	RetryAfter time.Duration
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
	best, refusal := t.best(constraints, rule, service, exclude, now)
	if best == nil {
		return Choice{}, refusal, false
	}
	best.inFlight = append(best.inFlight, now)
	t.reserveColdRequest(rule, best, now)
	return Choice{Instance: best.Instance, ConnLimit: t.connLimit(rule)}, refusal, true
}

// best returns the eligible instance with the lowest cost, or nil and when to try
// again.
func (t *Table) best(constraints Constraints, rule *rules.Service, service string, exclude []string, now time.Time) (*server, Refusal) {
	var (
		best     *server
		bestCost = math.Inf(1)
		refusal  Refusal
	)
	for _, s := range t.services[service] {
		if !t.isEligible(constraints, rule, s, exclude, now, &refusal) {
			continue
		}
		if constraints.HealthyOnly && t.isUnhealthy(s, now) {
			continue
		}
		if limit := t.connLimit(rule); limit > 0 && len(s.inFlight) >= limit {
			continue
		}
		cost := t.cost(s, now)
		if s.Zone != t.zone {
			cost += crossZoneCost * constraints.TargetLatency.Seconds()
		}
		if cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best, refusal
}

// isEligible reports whether new requests may be sent to an instance at all. If
// only the rate limit of a cold instance forbids it, refusal gets the shortest
// time to wait.
func (t *Table) isEligible(constraints Constraints, rule *rules.Service, s *server, exclude []string, now time.Time, refusal *Refusal) bool {
	if _, draining := s.State.(Draining); draining || constraints.Out[s.Zone] {
		return false
	}
	for _, id := range exclude {
		if id == s.ID {
			return false
		}
	}
	if rule == nil || rule.ColdRate <= 0 || !s.isCold(now) {
		return true
	}
	t.startColdInterval(rule, s, now)
	if now.Before(s.nextColdRequest) {
		if wait := s.nextColdRequest.Sub(now); refusal.RetryAfter == 0 || wait < refusal.RetryAfter {
			refusal.RetryAfter = wait
		}
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

// reserveColdRequest sets the time of this host's next request to a cold
// instance, so that all hosts together stay below the cold rate of the service.
func (t *Table) reserveColdRequest(rule *rules.Service, s *server, now time.Time) {
	if rule == nil || rule.ColdRate <= 0 || !s.isCold(now) {
		return
	}
	s.nextColdRequest = now.Add(t.coldInterval(rule))
}

// coldRateShare is the share of a cold instance's rate that the hosts together
// use. The margin is for requests that do not arrive evenly.
const coldRateShare = 0.7

// coldInterval is the time between two requests of this host to a cold instance.
func (t *Table) coldInterval(rule *rules.Service) time.Duration {
	return time.Duration(float64(t.hosts) / (coldRateShare * rule.ColdRate) * float64(time.Second))
}

// startColdInterval delays this host's first request to an instance that became
// cold by the host's phase within the interval, so that the hosts do not all send
// their first requests at once.
func (t *Table) startColdInterval(rule *rules.Service, s *server, now time.Time) {
	if !s.phasedColdUntil.Equal(s.coldUntil) {
		s.phasedColdUntil = s.coldUntil
		s.nextColdRequest = now.Add(time.Duration(t.phase * float64(t.coldInterval(rule))))
	}
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
func (t *Table) connLimit(rule *rules.Service) int {
	if rule == nil || rule.MaxConnections == 0 {
		return 0
	}
	return max(minConnLimit, int(connOvercommit*float64(rule.MaxConnections)/float64(t.hosts)))
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
