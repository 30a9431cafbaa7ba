package quota

import (
	"time"

	"hyssophub/share"
)

const (
	// raiseDelay is the time for which this host must have seen a greater part of the
	// hosts of its zone before it grants that part of the zone's share: after a cut has
	// ended, the owner on its other side learns so later.
	raiseDelay = 3 * time.Second
	// takeoverDelay exceeds the time between two hosts' notice of the same cut within their
	// zone, two heartbeats.
	takeoverDelay = time.Second
	// retainLost is how long a lost host keeps its part of the share of its zone.
	retainLost = 2 * time.Hour
	// retainGone is how long the ledger of an account is kept that the rules lack.
	retainGone = time.Minute
	// retainTold is how long the number of hosts that another host knows is used.
	retainTold = time.Minute
	// maxWait bounds the time to come back that a host names.
	maxWait = 5 * time.Second
)

// ledger is the account of the permits that this host granted for its zone's share of a
// cap.
type ledger struct {
	cap Cap
	// granted is the account of the owner since the time since, zero if this host is not
	// the owner.
	granted share.Bucket
	since   time.Time
	// promised is the time until which permits were promised to refused callers.
	promised time.Time
	// goneAt is when the account was found to be in no rules any more.
	goneAt time.Time
}

// ledger returns the ledger of a cap. It holds the cap of the newest rules that this host
// or an asking one knows.
func (t *Table) ledger(c Cap) *ledger {
	l := t.ledgers[c.Account]
	if l == nil {
		l = &ledger{cap: c}
		t.ledgers[c.Account] = l
	}
	if c.Version > l.cap.Version {
		l.cap, l.goneAt = c, time.Time{}
	}
	return l
}

// decide decides on a claim of this host or another one.
func (t *Table) decide(claim Claim, now time.Time) Result {
	l := t.ledger(claim.Cap)
	if l.cap.Rate <= 0 {
		return Granted{Permits: claim.Want}
	}
	t.recordHosts(claim.Hosts, now)
	ranked := t.ranking(l.cap.Account)
	if !ranked.owns || now.Before(ranked.from) {
		l.since = time.Time{}
		if owner := ranked.ownZone(); owner != nil && owner.Name != t.members.Self {
			return Elsewhere{Owner: owner.Name}
		}
		return Elsewhere{}
	}
	rate, available := t.refill(l, ranked.from, now)
	if available >= 1 {
		n := min(float64(claim.Want), available)
		l.granted.Level -= n
		return Granted{Permits: int(n)}
	}
	return Over{Wait: t.promise(l, rate, now)}
}

// refill adds the permits of the time that has passed to the ledger of an owner since the
// given time. It returns the rate and the number of whole permits.
func (t *Table) refill(l *ledger, since, now time.Time) (rate, available float64) {
	part := t.part(now) / float64(t.zoneCount())
	if l.since != since {
		l.since, l.granted = since, share.Bucket{Level: part * t.bounds.start(l.cap), At: since}
	}
	rate = part * l.cap.Rate
	return rate, l.granted.Refill(rate, part*t.bounds.burst(l.cap), now)
}

// zoneCount returns the number of zones that share each cap.
func (t *Table) zoneCount() int { return max(1, t.zones, len(t.bounds.Zones)) }

// promise returns the time after which a refused caller may come back. Callers are spread
// over the permits to come.
func (t *Table) promise(l *ledger, rate float64, now time.Time) time.Duration {
	next := now.Add(seconds(min((1-l.granted.Level)/rate, maxWait.Seconds())))
	if l.promised.After(next) {
		next = l.promised
	}
	if wait := next.Sub(now); wait < maxWait {
		l.promised = next.Add(seconds(min(1/rate, maxWait.Seconds())))
		return wait
	}
	return maxWait/2 + time.Duration(t.random.Int64N(int64(maxWait/2)))
}

// part returns the part of the zone's share that this host may grant as its owner: that of
// the hosts of the zone that it sees, the least of the last raiseDelay.
func (t *Table) part(now time.Time) float64 {
	part := t.partNow(now)
	for _, seen := range t.seen {
		if now.Sub(seen.until) <= raiseDelay {
			part = min(part, seen.part)
		}
	}
	return part
}

// partNow returns the part of the known hosts of the zone that this host sees.
func (t *Table) partNow(now time.Time) float64 {
	self := t.members.Peers[t.members.Self]
	if self == nil {
		return 0
	}
	live, lost := t.members.Count(self.Zone)
	known := live + lost
	if now.Sub(t.toldAt) < retainTold {
		known = max(known, t.told)
	}
	return float64(live) / float64(max(1, known))
}

// seenPart is the part of the hosts of the zone that this host saw until a time.
type seenPart struct {
	part  float64
	until time.Time
}

// recordPart records the part of the hosts of the zone that this host sees.
func (t *Table) recordPart(now time.Time) {
	part := t.partNow(now)
	if n := len(t.seen); n > 0 && t.seen[n-1].part == part {
		t.seen[n-1].until = now
	} else {
		t.seen = append(t.seen, seenPart{part: part, until: now})
	}
	for len(t.seen) > 1 && now.Sub(t.seen[0].until) > raiseDelay {
		t.seen = t.seen[1:]
	}
}

// recordHosts records how many hosts of the zone an asking host knows: one that has started
// after a cut does not know the hosts beyond it.
func (t *Table) recordHosts(hosts int, now time.Time) {
	if now.Sub(t.toldAt) >= retainTold || hosts >= t.told {
		t.told, t.toldAt = hosts, now
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
