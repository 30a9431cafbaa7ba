package owner

import (
	"container/heap"
	"slices"
	"time"

	"hyssophub/config"
	"hyssophub/fault"
	"hyssophub/shard"
)

const (
	// queuePerSlot bounds a server's queue per class. A deeper queue only adds
	// waiting that the deadline would end anyway.
	queuePerSlot = 16
	// slotGrace is added to a sub-request's deadline to give the bound after
	// which its slot is free even if the server never answered.
	slotGrace = 250 * time.Millisecond
	// urgentSlotDivisor is the divisor of the slots that are kept for urgent work.
	urgentSlotDivisor = 3
	// urgentReservation is how long slots stay reserved after urgent work was seen.
	// A server without urgent work gives all its slots to routine work.
	urgentReservation = time.Minute
	// rampWaitDivisor is the divisor of the time to the deadline that a
	// sub-request may wait for a server on the ramp.
	rampWaitDivisor = 2
	// minRetryAfter is the time to retry after where no better one is known.
	minRetryAfter = 100 * time.Millisecond
)

// Slot is a slot in use.
type Slot struct {
	// SubID is the sub-request's id, or zero for a predecessor's request.
	SubID uint64
	// Expiry is the time by which the server must have dropped the request.
	Expiry time.Time
	// Sent is the time of the dispatch, and zero before it.
	Sent  time.Time
	Class shard.Class
	// RampEpoch is the server's RampEpoch at admission.
	RampEpoch int
	// OutcomeUnknown is set when the exchange ended without proof that the server
	// is done with the request.
	OutcomeUnknown bool
}

// Server is the owner's record of one backend server.
type Server struct {
	Placed    config.Placed
	Health    Health
	UsedSlots []Slot
	// Queue holds waiting sub-requests by class in deadline order.
	Queue [shard.ClassCount]subQueue
	// Versions is the server's catalog and Stamp its change counter.
	Versions        []shard.VersionShards
	CatalogRevision uint64
	// Latency holds the recent service times.
	Latency LatencyWindow
	// NextDispatch is the time of the next dispatch that the ramp allows.
	NextDispatch time.Time
	// RampEpoch counts the returns to the ramp. A sub-request that was admitted
	// in an earlier epoch is refused at dispatch.
	RampEpoch int
	// Unconfirmed keeps the server at the floor while the store has not
	// confirmed the takeover.
	Unconfirmed bool
	// Released is set when the server was passed to its next owner.
	Released bool
	// LastUrgent is the time of the last urgent sub-request.
	LastUrgent time.Time
	// LastGoodReply is the time of the last good reply; Slow counts the slow replies
	// since, and FirstSlowReply is the time of the first of them.
	LastGoodReply  time.Time
	SlowReplies    int
	FirstSlowReply time.Time
	// NextWake is the time of the wake-up that is already arranged.
	NextWake time.Time
}

// newServer returns the record of a server of which nothing is known: it is
// cold, and its last owner may occupy all its slots until the given time.
func newServer(placed config.Placed, reserved time.Time) *Server {
	s := &Server{Placed: placed, Health: Cold{}}
	for range placed.Service.Slots {
		s.UsedSlots = append(s.UsedSlots, Slot{Expiry: reserved})
	}
	return s
}

// admit decides on a sub-request and takes a slot or a queue place for it.
func (s *Server) admit(sub *shard.SubRequest, now time.Time) Decision {
	if reason, ok := s.admissible(sub, now); !ok {
		return Refuse{Reason: reason, RetryAfter: s.retryAfter()}
	}
	if sub.Class == shard.Urgent {
		s.LastUrgent = now
	}
	s.freeExpired(now)
	if s.queuedAhead(sub.Class) == 0 && s.canStart(sub, now) {
		s.takeSlot(sub, now)
		return Dispatch{}
	}
	if sub.Hedge {
		return Refuse{Reason: s.capacityReason(), RetryAfter: s.retryAfter()}
	}
	queue := &s.Queue[sub.Class]
	wait, left := s.estimateWait(sub.Class, now), sub.Deadline.Sub(now)
	if s.limit().Interval > 0 {
		// The sender keeps enough time to try another replica.
		left /= rampWaitDivisor
	}
	if queue.Len() >= queuePerSlot*s.Placed.Service.Slots || wait+s.Latency.Median() > left {
		return Refuse{Reason: s.capacityReason(), RetryAfter: max(wait, minRetryAfter)}
	}
	heap.Push(queue, new(*sub))
	return Queued{WakeAt: s.scheduleWake(now)}
}

// admissible reports whether the server's state lets a sub-request in at all.
func (s *Server) admissible(sub *shard.SubRequest, now time.Time) (fault.Reason, bool) {
	if s.Released {
		return fault.ReasonNotOwner, false
	}
	switch s.Health.(type) {
	case Draining:
		return fault.ReasonDraining, false
	case Unreachable:
		return fault.ReasonDown, false
	}
	if !sub.Deadline.After(now) {
		return fault.ReasonDeadline, false
	}
	return "", true
}

// canStart reports whether a sub-request may take a slot now. Hedges take
// only slots of a warm server that no other work waits for.
func (s *Server) canStart(sub *shard.SubRequest, now time.Time) bool {
	if sub.Hedge {
		if _, warm := s.Health.(Warm); !warm || s.Unconfirmed || s.queuedAhead(shard.Routine) > 0 {
			return false
		}
	}
	return s.freeSlots(sub.Class, now) > 0 && !now.Before(s.NextDispatch)
}

// freeSlots returns the number of slots that the class may take now, without regard
// to the rate. Routine work leaves the reserved slots, so that urgent work
// never waits for a routine request in progress.
func (s *Server) freeSlots(class shard.Class, now time.Time) int {
	limit := s.limit().Slots
	if class == shard.Routine && limit > 1 && !s.LastUrgent.IsZero() && now.Sub(s.LastUrgent) < urgentReservation {
		limit -= max(1, limit/urgentSlotDivisor)
	}
	return max(0, limit-len(s.UsedSlots))
}

func (s *Server) limit() LoadLimit {
	if _, ok := rampProgress(s.Health); s.Unconfirmed && (ok || s.Health == Health(Warm{})) {
		return LoadLimitOf(Cold{}, s.Placed.Service, 0)
	}
	return LoadLimitOf(s.Health, s.Placed.Service, s.Latency.Median())
}

func (s *Server) takeSlot(sub *shard.SubRequest, now time.Time) {
	s.UsedSlots = append(s.UsedSlots, Slot{SubID: sub.ID, Expiry: sub.Deadline.Add(slotGrace), Class: sub.Class, RampEpoch: s.RampEpoch})
	s.NextDispatch = now.Add(s.limit().Interval)
}

// findSlot returns the findSlot of a sub-request, or nil.
func (s *Server) findSlot(sub uint64) *Slot {
	for i := range s.UsedSlots {
		if s.UsedSlots[i].SubID == sub {
			return &s.UsedSlots[i]
		}
	}
	return nil
}

func (s *Server) freeSlot(sub uint64) {
	s.UsedSlots = slices.DeleteFunc(s.UsedSlots, func(b Slot) bool { return b.SubID == sub })
}

// freeExpired frees the slots whose bound is reached.
func (s *Server) freeExpired(now time.Time) {
	s.UsedSlots = slices.DeleteFunc(s.UsedSlots, func(b Slot) bool { return !now.Before(b.Expiry) })
}

// dequeue takes the dequeue queued sub-requests into slots. Those that may no longer
// run are returned separately.
func (s *Server) dequeue(now time.Time) (ready []shard.SubRequest, refused []droppedSub) {
	s.freeExpired(now)
	for c := range s.Queue {
		queue := &s.Queue[c]
		for queue.Len() > 0 {
			sub := queue.head()
			reason, ok := s.admissible(sub, now)
			if ok && sub.Deadline.Sub(now) < s.Latency.Tail() {
				// Too little time is left for a reply. A new sub-request is
				// not judged by this, so that the figures can recover.
				reason, ok = fault.ReasonDeadline, false
			}
			if !ok {
				refused = append(refused, droppedSub{sub: queue.pop(), reason: reason})
				continue
			}
			if s.queuedAhead(shard.Class(c))-queue.Len() > 0 || !s.canStart(sub, now) {
				break
			}
			s.takeSlot(sub, now)
			ready = append(ready, queue.pop())
		}
	}
	return ready, refused
}

// queuedAhead counts the queued sub-requests that go before a new one of class.
func (s *Server) queuedAhead(class shard.Class) int {
	n := 0
	for c := shard.Urgent; c <= class; c++ {
		n += s.Queue[c].Len()
	}
	return n
}

// scheduleWake returns the time at which the queue must be looked at again, or zero
// if nothing waits or an earlier wake-up is arranged.
func (s *Server) scheduleWake(now time.Time) time.Time {
	if s.queuedAhead(shard.Routine) == 0 {
		return time.Time{}
	}
	var at time.Time
	sooner := func(t time.Time) {
		if t.After(now) && (at.IsZero() || t.Before(at)) {
			at = t
		}
	}
	sooner(s.NextDispatch)
	for _, b := range s.UsedSlots {
		sooner(b.Expiry)
	}
	for c := range s.Queue {
		if s.Queue[c].Len() > 0 {
			sooner(s.Queue[c].head().Deadline)
		}
	}
	if s.NextWake.After(now) && !at.Before(s.NextWake) {
		return time.Time{}
	}
	s.NextWake = at
	return at
}

// estimateWait estimates how long a new sub-request of class waits in the queue.
func (s *Server) estimateWait(class shard.Class, now time.Time) time.Duration {
	limit := s.limit()
	ahead := time.Duration(s.queuedAhead(class))
	return max(ahead*s.Latency.Median()/time.Duration(max(1, limit.Slots)),
		ahead*limit.Interval+max(0, s.NextDispatch.Sub(now)))
}

// capacityReason is the reason for a refusal for want of capacity.
func (s *Server) capacityReason() fault.Reason {
	if s.limit().Interval > 0 {
		return fault.ReasonCold
	}
	return fault.ReasonOverload
}

func (s *Server) retryAfter() time.Duration { return max(s.Latency.Median(), minRetryAfter) }

func (s *Server) stats(now time.Time) shard.ServerStats {
	f := shard.ServerStats{
		Server:          s.Placed.Server.Name,
		MedianLatency:   s.Latency.Median(),
		TailLatency:     s.Latency.Tail(),
		Queued:          s.queuedAhead(shard.Routine),
		Busy:            len(s.UsedSlots),
		CatalogRevision: s.CatalogRevision,
	}
	// A released server stays usable: its next owner serves it in a moment.
	if limit := s.limit(); limit.Slots > 0 {
		f.Usable = true
		if !s.Released && !now.Before(s.NextDispatch) {
			f.Free = s.freeSlots(shard.Routine, now)
		}
	}
	return f
}
