package gossip

import "time"

const (
	// A zone is considered unreachable after failureLimit consecutive exchanges
	// without an answer, if its last answer is at least failureWindow old. Crashes
	// of single backend servers do not reach the limit, because other servers in
	// their zone answer.
	failureLimit  = 4
	failureWindow = 400 * time.Millisecond
	// unreachableTime is how long a zone is considered unreachable after the last
	// failure. After that, requests probe it again.
	unreachableTime = 3 * time.Second
	// A zone is also considered unreachable if no heartbeat of any of its hosts and no
	// answer from it is newer than silentTime, and silentSpreadTime for each round in
	// which heartbeats spread through a zone. Hosts of a large tier each send too few
	// requests to another zone to notice a partition by them. After forgetTime the
	// hosts of the zone may have been removed for good.
	silentTime       = 2 * time.Second
	silentSpreadTime = 500 * time.Millisecond
	forgetTime       = time.Minute
)

// reachability holds the outcome of recent exchanges with an availability zone:
// failures counts those without an answer since the last answer.
type reachability struct {
	lastAnswer       time.Time
	failures         int
	unreachableUntil time.Time
	// lastHeartbeat is the newest heartbeat of any host of the zone.
	lastHeartbeat time.Time
}

// isUnreachable reports whether a zone other than the own one is considered
// unreachable.
func (t *Table) isUnreachable(zone string, r *reachability, now time.Time) bool {
	if zone == t.self.Zone {
		return false
	}
	if now.Before(r.unreachableUntil) {
		return true
	}
	silent := now.Sub(r.lastHeartbeat)
	limit := silentTime + time.Duration(t.spreadRounds)*silentSpreadTime
	return !r.lastHeartbeat.IsZero() && silent > limit && silent < forgetTime && now.Sub(r.lastAnswer) > limit
}

// RecordZoneSuccess records that a host or backend server in an availability zone
// answered. It reports whether the zone was considered unreachable until now.
func (t *Table) RecordZoneSuccess(zone string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.zoneReachability(zone)
	wasUnreachable := t.isUnreachable(zone, r, now)
	*r = reachability{lastAnswer: now, lastHeartbeat: r.lastHeartbeat}
	return wasUnreachable
}

// RecordZoneFailure records that a host or backend server in an availability zone
// did not answer. It reports whether the zone becomes unreachable. The own zone
// never does.
func (t *Table) RecordZoneFailure(zone string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if zone == t.self.Zone {
		return false
	}
	r := t.zoneReachability(zone)
	r.failures++
	if r.failures < failureLimit || now.Sub(r.lastAnswer) < failureWindow {
		return false
	}
	wasUnreachable := t.isUnreachable(zone, r, now)
	r.unreachableUntil = now.Add(unreachableTime)
	return !wasUnreachable
}

// zoneReachability returns the record of an availability zone, adding it if
// necessary. The lock must be held.
func (t *Table) zoneReachability(zone string) *reachability {
	r := t.zones[zone]
	if r == nil {
		r = &reachability{}
		t.zones[zone] = r
	}
	return r
}

// UnreachableZones returns the availability zones that are considered unreachable.
func (t *Table) UnreachableZones(now time.Time) map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	unreachable := make(map[string]bool)
	for zone, r := range t.zones {
		if t.isUnreachable(zone, r, now) {
			unreachable[zone] = true
		}
	}
	return unreachable
}

// HasUnreachableZone reports whether any availability zone is considered
// unreachable.
func (t *Table) HasUnreachableZone(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for zone, r := range t.zones {
		if t.isUnreachable(zone, r, now) {
			return true
		}
	}
	return false
}

// IsIsolated reports whether all other availability zones that are known from exchanges
// or heartbeats are considered unreachable. It is false if there are none.
func (t *Table) IsIsolated(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	others := 0
	for zone, r := range t.zones {
		if zone == t.self.Zone {
			continue
		}
		others++
		if !t.isUnreachable(zone, r, now) {
			return false
		}
	}
	return others > 0
}

// KnownHosts returns the hosts of an availability zone that Expire has not removed
// and that are not stopping, whether live or not, to probe whether the zone is
// reachable again.
func (t *Table) KnownHosts(zone string) []Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Host
	for _, e := range t.hosts {
		if e.Zone == zone && !e.Leaving {
			list = append(list, e.Host)
		}
	}
	return list
}
