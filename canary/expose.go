package canary

import (
	"hash/fnv"
	"time"
)

const (
	// share is the part of the sends of a service that goes to the target version. With
	// the move, in which it gets all, it stays under the bound of a tenth.
	share = 0.06
	// sharedExtra is the number of further sends of all hosts together: without it a
	// service with a few requests a second could not be judged. The bound is 50.
	sharedExtra = 34
	// extraTime is the part of the duration in which these are released.
	extraTime = 0.85
	// exposureShare and exposureSlack bound the sends to a bad version: a part of all
	// sends and a number, some of which is left to hosts that learn of a stage late.
	exposureShare = 0.1
	exposureSlack = 42
)

// takesTarget reports whether the next send of this host goes to the target version. The
// sends of a host are spread evenly; its phase spreads those of the hosts.
func (r *rollout) takesTarget(hosts int, now time.Time) bool {
	released := 1.0
	if period := extraTime * r.order.Duration.Seconds(); period > 0 {
		released = min(1, now.Sub(r.since).Seconds()/period)
	}
	allowed := share*float64(r.sent+1) + r.phase
	if hosts > 0 {
		allowed += sharedExtra * released / float64(hosts)
	}
	return float64(r.sentTarget+1) <= allowed
}

// sharing returns the number of hosts that share the further sends of a roll-out: the
// greatest number that was live, since hosts that are lost may go on, or fewer if few of
// them send to the service. It is zero while
// this host has not joined, and may not know the others.
func (t *Table) sharing(r *rollout) int {
	r.hosts = max(r.hosts, t.hosts)
	if !t.hasJoined {
		return 0
	}
	senders := max(r.senders, t.countSenders(r))
	if senders > 0 {
		return min(r.hosts, senderFactor*senders+senderFactor)
	}
	return r.hosts
}

// senderFactor is the factor by which hosts that share the further sends are more than
// those known to send to the service, since others may begin.
const senderFactor = 2

// phaseOf returns the phase of a host, in [0, 1), for an order.
func phaseOf(host string, o Order) float64 {
	return float64(hash(host, o.Service, o.Target)>>11) / (1 << 53)
}

func hash(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = h.Write([]byte(p))
		_, _ = h.Write([]byte{0})
	}
	// The finalizer of MurmurHash3: names that differ in their last character only have
	// similar FNV hashes.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Times at the end of a roll-out.
const (
	// writeMargin and writeShare are the time before the deadline at which the verdict is
	// to be written: the greater of a time, for the lag at which hosts learn of the order
	// and for the call, and a part of the duration.
	writeMargin = 2 * time.Second
	writeShare  = 0.04
	// moveMin and moveMax bound the time of the move. A shorter one shows no faults
	// under load.
	moveMin = time.Second
	moveMax = 3 * time.Second
	// confirmTime is how long after completeBy the verdict waits for hosts that have not
	// confirmed that nothing is on its way to the old servers.
	confirmTime = time.Second
)

// margin is the time before the deadline at which the verdict is to be written.
func (r *rollout) margin() time.Duration {
	return max(writeMargin, time.Duration(writeShare*float64(r.order.Duration)))
}

// completeBy is when the verdict is to be written.
func (r *rollout) completeBy() time.Time {
	return r.since.Add(max(0, r.order.Duration-r.margin()))
}

// moveTime is the time of the move: the sends that the bounds leave to the target version
// until the deadline, at the counted rate of sends.
func (r *rollout) moveTime(total totals, now time.Time) time.Duration {
	age := now.Sub(r.since).Seconds()
	if total.sent == 0 || age <= 0 {
		return moveMax
	}
	rate := float64(total.sent) / age
	left := exposureShare*rate*r.order.Duration.Seconds() + exposureSlack - float64(total.sentTarget)
	return min(moveMax, max(moveMin, time.Duration(left/rate*float64(time.Second))-r.margin()))
}
