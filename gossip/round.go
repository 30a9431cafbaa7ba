package gossip

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// heartbeatInterval is the time between the heartbeats of a host in availability
	// zones of up to smallZone hosts. In larger zones it is heartbeatIntervalLarge.
	heartbeatInterval      = 250 * time.Millisecond
	heartbeatIntervalLarge = 500 * time.Millisecond
	smallZone              = 16
	// fanOut is the number of hosts of the own zone that get each heartbeat. The rest
	// of a larger zone learns of the sender through them, so that the heartbeats of a
	// host do not grow with its zone.
	fanOut = 6
	// A host that does not watch the store sends one in crossZoneEvery of its
	// heartbeats, on average, to one host of another zone, because traffic between
	// zones is expensive. All hosts of a large zone together send crossZoneRate of
	// them in each interval.
	crossZoneEvery = 4
	crossZoneRate  = 3
	// One in seedEvery heartbeats of a zone's hosts is also sent to the seeds, so that
	// parts of the tier that were partitioned from each other merge again. In a large
	// zone it is one in as many as the zone has hosts.
	seedEvery = 8
	// sameZoneSample and otherSample are the numbers of hosts of the own zone and of
	// other zones that a heartbeat carries, and crossZoneSample that of hosts of the
	// own zone in a heartbeat to another zone. At about 80 bytes per host a heartbeat
	// fits into one datagram.
	sameZoneSample  = 12
	otherSample     = 8
	crossZoneSample = 12
	// sameSideSample is the number of hosts of the receivers' zones in a heartbeat to
	// other zones, and of the own zone in one to all hosts of a small zone.
	sameSideSample = 2
	// welcomeSample is the number of hosts of a starting host's zone that the reply
	// to its first heartbeat carries.
	welcomeSample = 12
	// joiningTime is how long a host counts as starting.
	joiningTime = 3 * time.Second
)

// Datagram is a heartbeat with the UDP addresses that it is sent to.
type Datagram struct {
	Heartbeat Heartbeat
	To        []string
}

// Interval returns the time between two rounds of heartbeats.
func (t *Table) Interval(now time.Time) time.Duration {
	if _, sameZone := t.Counts(now); sameZone > smallZone {
		return heartbeatIntervalLarge
	}
	return heartbeatInterval
}

// NextRound returns the heartbeats of one round. Those to the own zone go to fanOut of
// its hosts and carry a sample of the known hosts. A host that watches the store also
// sends its own record to the rest of its zone, and exchanges heartbeats with the
// watchers of the other zones, since the others rely on hearing of it in time. seeds
// are the UDP addresses to contact while no neighbour is known, and now and then.
func (t *Table) NextRound(now time.Time, seeds []string) []Datagram {
	t.mu.Lock()
	defer t.mu.Unlock()
	sameZone, otherZones, watchers := t.partition()
	direct := sameZone[:min(fanOut, len(sameZone))]
	sameSize := sameZoneSample
	if len(sameZone) <= fanOut {
		sameSize = sameSideSample
	}
	newSameZone, newOtherZones := freshest(sameZone), freshest(otherZones)
	round := []Datagram{{
		Heartbeat: t.heartbeat(now, sample{watchers, len(watchers)}, sample{newOtherZones, otherSample / 2}, sample{otherZones, otherSample / 2}, sample{newSameZone, sameSize}),
		To:        addressesOf(direct),
	}}
	crossTargets := t.crossZoneTargets(len(sameZone)+1, otherZones, watchers)
	cross := Datagram{
		Heartbeat: t.heartbeat(now, sample{newSameZone, crossZoneSample}, sample{newOtherZones, sameSideSample}),
		To:        addressesOf(crossTargets),
	}
	if len(sameZone) == 0 || rand.IntN(max(seedEvery, len(sameZone))) == 0 {
		cross.To = append(cross.To, seeds...)
	}
	round = append(round, cross)
	if t.self.Watching {
		round = append(round, Datagram{
			Heartbeat: t.heartbeat(now, sample{watchers, len(watchers)}),
			To:        addressesOf(sameZone[len(direct):]),
		})
	}
	return round
}

// Announcement returns the heartbeats that tell the own zone and some hosts of other
// zones at once of the newest change that the local host has applied.
func (t *Table) Announcement(now time.Time) []Datagram {
	t.mu.Lock()
	defer t.mu.Unlock()
	sameZone, otherZones, watchers := t.partition()
	return []Datagram{{
		Heartbeat: t.heartbeat(now),
		To:        append(addressesOf(sameZone), addressesOf(t.crossZoneTargets(len(sameZone)+1, otherZones, watchers))...),
	}}
}

// Greeting returns a heartbeat without receivers that carries hosts of all zones, for a host
// that may know no other one.
func (t *Table) Greeting(now time.Time) Datagram {
	t.mu.Lock()
	defer t.mu.Unlock()
	sameZone, otherZones, _ := t.partition()
	return Datagram{Heartbeat: t.heartbeat(now, sample{freshest(sameZone), sameZoneSample}, sample{freshest(otherZones), otherSample})}
}

// partition returns the known hosts of the own zone, those of other zones, and the
// watchers of the store among the latter, each in random order.
func (t *Table) partition() (sameZone, otherZones, watchers []*Record) {
	for _, r := range t.hosts {
		switch {
		case t.isSameZone(r):
			sameZone = append(sameZone, r)
		case r.Watching:
			watchers = append(watchers, r)
			otherZones = append(otherZones, r)
		default:
			otherZones = append(otherZones, r)
		}
	}
	shuffle(sameZone)
	shuffle(otherZones)
	shuffle(watchers)
	return sameZone, otherZones, watchers
}

// freshest returns the records in order of their newest heartbeats. Carrying the newest
// ones first spreads each heartbeat in a few rounds, and carries no host for long
// after its last one.
func freshest(records []*Record) []*Record {
	list := slices.Clone(records)
	slices.SortFunc(list, func(a, b *Record) int { return b.LastSeen.Compare(a.LastSeen) })
	return list
}

// minCrossTargets is the number of hosts of other zones that a watcher sends to if its
// zone is small, where rounds are frequent, or if it knows no more watchers there.
const minCrossTargets = 2

// crossZoneTargets returns the hosts of other zones that get the next heartbeat.
// zoneSize is the number of hosts in the own zone.
func (t *Table) crossZoneTargets(zoneSize int, otherZones, watchers []*Record) []*Record {
	switch {
	case t.self.Watching && len(watchers) >= minCrossTargets && zoneSize > smallZone:
		return watchers[:min(fanOut, len(watchers))]
	case t.self.Watching && len(watchers) >= minCrossTargets:
		return watchers[:minCrossTargets]
	case t.self.Watching:
		return otherZones[:min(minCrossTargets, len(otherZones))]
	case rand.Float64() < min(1.0/crossZoneEvery, crossZoneRate/float64(zoneSize)):
		return otherZones[:min(1, len(otherZones))]
	default:
		return nil
	}
}

func addressesOf(records []*Record) []string {
	list := make([]string, 0, len(records))
	for _, r := range records {
		list = append(list, r.HeartbeatAddress)
	}
	return list
}

// welcome returns the reply to the first heartbeat of a host. It names hosts of the
// zone of that host, which would otherwise find its neighbours only once a heartbeat
// happens to name one of them, and some hosts of other zones.
func (t *Table) welcome(newcomer *Record, now time.Time) Datagram {
	var neighbours, others []*Record
	for _, r := range t.hosts {
		switch {
		case r == newcomer:
		case r.Zone == newcomer.Zone:
			neighbours = append(neighbours, r)
		default:
			others = append(others, r)
		}
	}
	shuffle(neighbours)
	shuffle(others)
	return Datagram{
		Heartbeat: t.heartbeat(now, sample{neighbours, welcomeSample}, sample{others, otherSample}),
		To:        []string{newcomer.HeartbeatAddress},
	}
}

// sample is a list of hosts of which a heartbeat carries the first size live ones.
type sample struct {
	hosts []*Record
	size  int
}

// heartbeat returns a heartbeat that carries the given samples of live hosts, each
// host once.
func (t *Table) heartbeat(now time.Time, samples ...sample) Heartbeat {
	hb := Heartbeat{Sender: t.self}
	hb.Sender.dropOldReturn(now)
	hb.Sender.LastSeen = now
	hb.Sender.Joining = now.Sub(t.started) < joiningTime
	carried := make(map[*Record]bool)
	for _, s := range samples {
		remaining := s.size
		for _, r := range s.hosts {
			if remaining == 0 {
				break
			}
			if !carried[r] && t.isLive(r, now) {
				r.dropOldReturn(now)
				hb.Others = append(hb.Others, *r)
				carried[r] = true
				remaining--
			}
		}
	}
	return hb
}

func shuffle(list []*Record) {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}
