package fleet

import (
	"math"
	"slices"
	"time"

	"hyssophub/rules"
)

// Weights of a choice, in multiples of an instance's expected time and in
// seconds.
const (
	// crossZone is the cost of leaving the own availability zone, as a share of
	// the response-time objective: bytes between zones are the dearest resource,
	// and an answer that comes sooner within the objective is worth no more.
	crossZone = 0.3
	// greyCost is the cost of an instance all of whose exchanges fail.
	greyCost = 8.0
	// lastResort is the cost of an instance that seems down, stalled or
	// overloaded. It is chosen only if no other one is left.
	lastResort = 1000.0
)

// Constraints is what the rules say of a choice.
type Constraints struct {
	// View holds the services as the request was matched with them.
	View *rules.View
	// Out holds the availability zones that are out at present.
	Out map[string]bool
	// TargetLatency is the response-time objective of the request.
	TargetLatency time.Duration
	// HealthyOnly leaves out instances that do not seem to serve.
	HealthyOnly bool
}

// Choice is the instance that a request goes to.
type Choice struct {
	Instance
	// ConnLimit is this host's share of the connections that the instance accepts;
	// zero sets no limit.
	ConnLimit int
}

// Refusal tells why no instance can be chosen.
type Refusal struct {
	// RetryAfter is when a cold instance takes the next request; zero where
	// nothing is known.
	RetryAfter time.Duration
}

// Choose returns the best instance of a service and counts an exchange with
// it. avoid lists instances that the request was sent to before; they are not
// chosen. The rules are checked at each call, so that repeats and hedges keep
// to zones that went out and instances that began to drain meanwhile.
func (t *Table) Choose(scope Constraints, service string, avoid []string, now time.Time) (Choice, Refusal, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rule, _ := scope.View.Service(service)
	best, refusal := t.best(scope, rule, service, avoid, now)
	if best == nil {
		return Choice{}, refusal, false
	}
	best.begun = append(best.begun, now)
	t.spendCold(rule, best, now)
	return Choice{Instance: best.Instance, ConnLimit: t.share(rule)}, refusal, true
}

func (t *Table) best(scope Constraints, rule *rules.Service, service string, avoid []string, now time.Time) (*server, Refusal) {
	var (
		best     *server
		bestCost = math.Inf(1)
		refusal  Refusal
	)
	for _, s := range t.services[service] {
		if !t.admits(scope, rule, s, avoid, now, &refusal) {
			continue
		}
		if scope.HealthyOnly && t.isDoubtful(s, now) {
			continue
		}
		if limit := t.share(rule); limit > 0 && len(s.begun) >= limit {
			continue
		}
		cost := t.cost(s, now)
		if s.Zone != t.zone {
			cost += crossZone * scope.TargetLatency.Seconds()
		}
		if cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best, refusal
}

// admits reports whether new work may go to an instance at all.
func (t *Table) admits(scope Constraints, rule *rules.Service, s *server, avoid []string, now time.Time, refusal *Refusal) bool {
	if _, draining := s.State.(Draining); draining || scope.Out[s.Zone] {
		return false
	}
	for _, id := range avoid {
		if id == s.ID {
			return false
		}
	}
	if rule == nil || rule.ColdRate <= 0 || !s.isCold(now) {
		return true
	}
	t.holdCold(rule, s, now)
	if now.Before(s.coldNext) {
		if wait := s.coldNext.Sub(now); refusal.RetryAfter == 0 || wait < refusal.RetryAfter {
			refusal.RetryAfter = wait
		}
		return false
	}
	return true
}

// cost weighs an instance without the way between availability zones.
func (t *Table) cost(s *server, now time.Time) float64 {
	cost := s.expected(now).Seconds() * (1 + greyCost*s.grey)
	if t.isDoubtful(s, now) {
		cost += lastResort
	}
	return cost
}

// isDoubtful reports whether an instance is not expected to answer at all.
func (t *Table) isDoubtful(s *server, now time.Time) bool {
	return t.cut[s.Zone] || s.isHung(now) || now.Before(s.retry) || now.Before(s.shedUntil)
}

// spendCold spaces the requests to a cold instance: the hosts together stay
// at the rate that it bears.
func (t *Table) spendCold(rule *rules.Service, s *server, now time.Time) {
	if rule == nil || rule.ColdRate <= 0 || !s.isCold(now) {
		return
	}
	s.coldNext = now.Add(t.coldInterval(rule))
}

// coldShare keeps the hosts together below the rate that a cold instance bears,
// because their requests do not come evenly.
const coldShare = 0.7

// coldInterval is the time between two requests of this host to a cold instance.
func (t *Table) coldInterval(rule *rules.Service) time.Duration {
	return time.Duration(float64(t.hosts) / (coldShare * rule.ColdRate) * float64(time.Second))
}

// holdCold places the host's first request to an instance that turned cold
// within its interval, so that not all hosts send theirs at once.
func (t *Table) holdCold(rule *rules.Service, s *server, now time.Time) {
	if !s.held.Equal(s.coldUntil) {
		s.held = s.coldUntil
		s.coldNext = now.Add(time.Duration(t.phase * float64(t.coldInterval(rule))))
	}
}

// connectionShare is by how much the hosts together may exceed an instance's
// connections: they seldom all use their shares at the same moment.
const connectionShare = 1.5

// minConnections lets a host overlap one slow exchange with another.
const minConnections = 2

func (t *Table) share(rule *rules.Service) int {
	if rule == nil || rule.Connections == 0 {
		return 0
	}
	return max(minConnections, int(connectionShare*float64(rule.Connections)/float64(t.hosts)))
}

// Zone returns the availability zone of the host.
func (t *Table) Zone() string { return t.zone }

// slowZone is by how many times the best instance of an availability zone may
// be worse than the best one anywhere, so that the zone still counts as one that
// serves. Ordinary differences between servers and their queues stay below it.
const slowZone = 3.0

// HealthyZones returns the availability zones that serve a service well: they have
// instances that new work may go to, none of them is cut off, and their best
// instance is not several times slower than the best one anywhere. They are in
// no particular order.
func (t *Table) HealthyZones(scope Constraints, service string, now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	rule, _ := scope.View.Service(service)
	var (
		zones   []string
		costs   []float64
		refusal Refusal
		lowest  = math.Inf(1)
	)
	for _, s := range t.services[service] {
		if t.cut[s.Zone] || !t.admits(scope, rule, s, nil, now, &refusal) {
			continue
		}
		cost := t.cost(s, now)
		lowest = min(lowest, cost)
		if at := slices.Index(zones, s.Zone); at >= 0 {
			costs[at] = min(costs[at], cost)
			continue
		}
		zones, costs = append(zones, s.Zone), append(costs, cost)
	}
	well := zones[:0]
	for i, zone := range zones {
		if costs[i] <= slowZone*lowest {
			well = append(well, zone)
		}
	}
	return well
}
