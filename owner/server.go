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
	// queuePerSlot limits a server's queue per class, for each slot. A longer
	// queue would only add sub-requests whose deadline passes while they wait.
	queuePerSlot = 16
	// slotGrace is added to a sub-request's deadline to give the time at which
	// its slot is freed even if the server never answered.
	slotGrace = 250 * time.Millisecond
	// urgentSlotDivisor gives the number of slots reserved for urgent work as a
	// fraction of all slots.
	urgentSlotDivisor = 3
	// urgentReservation is how long slots stay reserved after the last urgent
	// sub-request. A server without urgent work uses all its slots for routine
	// work.
	urgentReservation = time.Minute
	// rampWaitDivisor gives the longest wait for a server on the ramp as a
	// fraction of the time to the sub-request's deadline.
	rampWaitDivisor = 2
	// minRetryAfter is the minimum time to retry after, and the default where
	// no estimate exists.
	minRetryAfter = 100 * time.Millisecond
)

// Slot is a slot in use.
type Slot struct {
	// SubID is the id of the sub-request, or zero for a request of the previous
	// owner.
	SubID uint64
	// Expiry is the time by which the server has dropped the request and the
	// slot is freed.
	Expiry time.Time
	// Sent is the time of the dispatch; it is zero before the dispatch and
	// after the outcome.
	Sent  time.Time
	Class shard.Class
	// RampEpoch is the server's RampEpoch at admission.
	RampEpoch int
	// OutcomeUnknown is set when the exchange ended without proof that the
	// server has finished the request.
	OutcomeUnknown bool
}

// Server is the owner's record of one backend server.
type Server struct {
	Placed    config.PlacedServer
	Health    Health
	UsedSlots []Slot
	// Queue holds the queued sub-requests by class, in deadline order.
	Queue [shard.ClassCount]subQueue
	// Versions is the server's catalog of index versions, and CatalogRevision
	// counts its changes.
	Versions        []shard.VersionShards
	CatalogRevision uint64
	// Latency holds the recent service times.
	Latency LatencyWindow
	// NextDispatch is the earliest time at which the ramp allows another
	// dispatch.
	NextDispatch time.Time
	// RampEpoch counts the resets of the ramp. A sub-request that was admitted
	// in an earlier epoch is refused at dispatch.
	RampEpoch int
	// Unconfirmed limits the server to the cold floor while the store has not
	// confirmed the takeover.
	Unconfirmed bool
	// Released is set when the server has been released to its next owner.
	Released bool
	// LastUrgent is the time of the last urgent sub-request.
	LastUrgent time.Time
	// LastGoodReply is the time of the last good reply. SlowReplies counts the
	// slow replies since then, and FirstSlowReply is the time of the first of
	// them.
	LastGoodReply  time.Time
	SlowReplies    int
	FirstSlowReply time.Time
	// NextWake is the time of the wake-up that is already scheduled.
	NextWake time.Time
}

// newServer returns the record of a server without known state: it is cold, and
// all its slots are reserved until the given time for requests of the previous
// owner.
func newServer(placed config.PlacedServer, reserved time.Time) *Server {
	s := &Server{Placed: placed, Health: Cold{}}
	for range placed.Service.Slots {
		s.UsedSlots = append(s.UsedSlots, Slot{Expiry: reserved})
	}
	return s
}

// admit decides whether a sub-request takes a slot, is queued or is refused.
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
		// The sender needs enough time to try another replica.
		left /= rampWaitDivisor
	}
	if queue.Len() >= queuePerSlot*s.Placed.Service.Slots || wait+s.Latency.Median() > left {
		return Refuse{Reason: s.capacityReason(), RetryAfter: max(wait, minRetryAfter)}
	}
	heap.Push(queue, new(*sub))
	return Queued{WakeAt: s.scheduleWake(now)}
}

// admissible reports whether the server's state and the deadline allow a
// sub-request to run, and the reason if not.
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

// canStart reports whether a sub-request may take a slot now. Hedges take only
// slots of a warm server for which no other work is queued.
func (s *Server) canStart(sub *shard.SubRequest, now time.Time) bool {
	if sub.Hedge {
		if _, warm := s.Health.(Warm); !warm || s.Unconfirmed || s.queuedAhead(shard.Routine) > 0 {
			return false
		}
	}
	return s.freeSlots(sub.Class, now) > 0 && !now.Before(s.NextDispatch)
}

// freeSlots returns the number of slots that the class may use now, regardless
// of the rate limit. Routine work leaves the reserved slots free, so that
// urgent work never waits for a routine request in progress.
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

// findSlot returns the slot of a sub-request, or nil.
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

// freeExpired frees the slots whose expiry is reached.
func (s *Server) freeExpired(now time.Time) {
	s.UsedSlots = slices.DeleteFunc(s.UsedSlots, func(b Slot) bool { return !now.Before(b.Expiry) })
}

// dequeue moves queued sub-requests into free slots. Sub-requests that may no
// longer run are returned separately.
func (s *Server) dequeue(now time.Time) (ready []shard.SubRequest, refused []droppedSub) {
	s.freeExpired(now)
	for c := range s.Queue {
		queue := &s.Queue[c]
		for queue.Len() > 0 {
			sub := queue.head()
			reason, ok := s.admissible(sub, now)
			if ok && sub.Deadline.Sub(now) < s.Latency.Tail() {
				// Too little time is left for a reply. New sub-requests are not
				// refused for this reason; otherwise a high tail latency would
				// prevent the replies that bring it down again.
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

// queuedAhead counts the queued sub-requests that are served before a new one
// of the class.
func (s *Server) queuedAhead(class shard.Class) int {
	n := 0
	for c := shard.Urgent; c <= class; c++ {
		n += s.Queue[c].Len()
	}
	return n
}

// scheduleWake records and returns the time at which the server must be
// reevaluated. It returns zero if the queue is empty or an earlier wake-up is
// already scheduled.
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

// estimateWait estimates how long a new sub-request of the class would be
// queued.
func (s *Server) estimateWait(class shard.Class, now time.Time) time.Duration {
	limit := s.limit()
	ahead := time.Duration(s.queuedAhead(class))
	return max(ahead*s.Latency.Median()/time.Duration(max(1, limit.Slots)),
		ahead*limit.Interval+max(0, s.NextDispatch.Sub(now)))
}

// capacityReason returns the reason for a refusal because of missing capacity.
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
	// A released server counts as usable, because its next owner takes over
	// within a moment.
	if limit := s.limit(); limit.Slots > 0 {
		f.Usable = true
		if !s.Released && !now.Before(s.NextDispatch) {
			f.Free = s.freeSlots(shard.Routine, now)
		}
	}
	return f
}
