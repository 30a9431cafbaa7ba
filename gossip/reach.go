package gossip

import "time"

const (
	// missedLimit is the number of exchanges in a row without an answer, and
	// missedTime the time since the last answer, from which on an availability
	// zone is taken to be cut off. Single servers that crash do not reach it,
	// because others in their zone answer.
	missedLimit = 4
	missedTime  = 400 * time.Millisecond
	// cutTime is how long a zone is taken to be cut off without further signs.
	// After it, requests find out again.
	cutTime = 3 * time.Second
)

// reach is what exchanges with an availability zone show of the way to it.
type reach struct {
	answered time.Time
	missed   int
	cutUntil time.Time
}

// RecordZoneSuccess records that something in an availability zone answered, and reports
// whether the zone was taken to be cut off.
func (t *Table) RecordZoneSuccess(zone string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.way(zone)
	was := now.Before(r.cutUntil)
	*r = reach{answered: now}
	return was
}

// RecordZoneFailure records that something in an availability zone did not answer, and
// reports whether the zone is newly taken to be cut off.
func (t *Table) RecordZoneFailure(zone string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if zone == t.self.Zone {
		return false
	}
	r := t.way(zone)
	r.missed++
	if r.missed < missedLimit || now.Sub(r.answered) < missedTime {
		return false
	}
	was := now.Before(r.cutUntil)
	r.cutUntil = now.Add(cutTime)
	return !was
}

func (t *Table) way(zone string) *reach {
	r := t.ways[zone]
	if r == nil {
		r = &reach{}
		t.ways[zone] = r
	}
	return r
}

// UnreachableZones returns the availability zones that are taken to be cut off.
func (t *Table) UnreachableZones(now time.Time) map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	cut := make(map[string]bool)
	for zone, r := range t.ways {
		if now.Before(r.cutUntil) {
			cut[zone] = true
		}
	}
	return cut
}

// HasUnreachableZone reports whether any availability zone is taken to be cut off.
func (t *Table) HasUnreachableZone(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.ways {
		if now.Before(r.cutUntil) {
			return true
		}
	}
	return false
}

// IsIsolated reports whether all other availability zones that were ever
// reached or missed are taken to be cut off.
func (t *Table) IsIsolated(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	others := 0
	for zone, r := range t.ways {
		if zone == t.self.Zone {
			continue
		}
		others++
		if !now.Before(r.cutUntil) {
			return false
		}
	}
	return others > 0
}

// KnownHosts returns the hosts of an availability zone that were heard of late,
// to try the way to it again.
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
