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
	// urgentShare is the divisor of the slots that are kept for urgent work.
	urgentShare = 3
	// urgentMemory is how long slots stay reserved after urgent work was seen.
	// A server without urgent work gives all its slots to routine work.
	urgentMemory = time.Minute
	// rampPatience is the divisor of the time to the deadline that a
	// sub-request may wait for a server on the ramp.
	rampPatience = 2
	// refusalPause is the time to retry after where no better one is known.
	refusalPause = 100 * time.Millisecond
)

// Slot is a slot in use.
type Slot struct {
	// Sub is the sub-request's id, or zero for a predecessor's request.
	Sub uint64
	// Bound is the time by which the server must have dropped the request.
	Bound time.Time
	// Sent is the time of the dispatch, and zero before it.
	Sent  time.Time
	Class shard.Class
	// Epoch is the server's Epoch at admission.
	Epoch int
	// Answerless is set when the exchange ended without proof that the server
	// is done with the request.
	Answerless bool
}

// Server is the owner's record of one backend server.
type Server struct {
	Placed config.PlacedServer
	Health Health
	Busy   []Slot
	// Queue holds waiting sub-requests by class in deadline order.
	Queue [shard.Classes]subQueue
	// Held is the server's catalog and Stamp its change counter.
	Held  []shard.Held
	Stamp uint64
	// Latency holds the recent service times.
	Latency Window
	// Earliest is the time of the next dispatch that the ramp allows.
	Earliest time.Time
	// Epoch counts the returns to the ramp. A sub-request that was admitted
	// in an earlier epoch is refused at dispatch.
	Epoch int
	// Unconfirmed keeps the server at the floor while the store has not
	// confirmed the takeover.
	Unconfirmed bool
	// Released is set when the server was passed to its next owner.
	Released bool
	// UrgentSeen is the time of the last urgent sub-request.
	UrgentSeen time.Time
	// Good is the time of the last good reply; Slow counts the slow replies
	// since, and SlowSince is the time of the first of them.
	Good      time.Time
	Slow      int
	SlowSince time.Time
	// Alarm is the time of the wake-up that is already arranged.
	Alarm time.Time
}

// newServer returns the record of a server of which nothing is known: it is
// cold, and its last owner may occupy all its slots until the given time.
func newServer(placed config.PlacedServer, reserved time.Time) *Server {
	s := &Server{Placed: placed, Health: Cold{}}
	for range placed.Service.Slots {
		s.Busy = append(s.Busy, Slot{Bound: reserved})
	}
	return s
}

// admit decides on a sub-request and takes a slot or a queue place for it.
func (s *Server) admit(sub *shard.Sub, now time.Time) Decision {
	if reason, ok := s.admissible(sub, now); !ok {
		return Refuse{Reason: reason, RetryAfter: s.pause()}
	}
	if sub.Class == shard.Urgent {
		s.UrgentSeen = now
	}
	s.expire(now)
	if s.waiting(sub.Class) == 0 && s.startable(sub, now) {
		s.occupy(sub, now)
		return Dispatch{}
	}
	if sub.Hedge {
		return Refuse{Reason: s.scarcity(), RetryAfter: s.pause()}
	}
	queue := &s.Queue[sub.Class]
	wait, left := s.wait(sub.Class, now), sub.Deadline.Sub(now)
	if s.limit().Interval > 0 {
		// The sender keeps enough time to try another replica.
		left /= rampPatience
	}
	if queue.Len() >= queuePerSlot*s.Placed.Service.Slots || wait+s.Latency.Median() > left {
		return Refuse{Reason: s.scarcity(), RetryAfter: max(wait, refusalPause)}
	}
	heap.Push(queue, new(*sub))
	return Queued{Wake: s.alarm(now)}
}

// admissible reports whether the server's state lets a sub-request in at all.
func (s *Server) admissible(sub *shard.Sub, now time.Time) (fault.Reason, bool) {
	if s.Released {
		return fault.ReasonNotOwner, false
	}
	switch s.Health.(type) {
	case Draining:
		return fault.ReasonDraining, false
	case Gone:
		return fault.ReasonDown, false
	}
	if !sub.Deadline.After(now) {
		return fault.ReasonDeadline, false
	}
	return "", true
}

// startable reports whether a sub-request may take a slot now. Hedges take
// only slots of a warm server that no other work waits for.
func (s *Server) startable(sub *shard.Sub, now time.Time) bool {
	if sub.Hedge {
		if _, warm := s.Health.(Warm); !warm || s.Unconfirmed || s.waiting(shard.Routine) > 0 {
			return false
		}
	}
	return s.free(sub.Class, now) > 0 && !now.Before(s.Earliest)
}

// free returns the number of slots that the class may take now, without regard
// to the rate. Routine work leaves the reserved slots, so that urgent work
// never waits for a routine request in progress.
func (s *Server) free(class shard.Class, now time.Time) int {
	limit := s.limit().Slots
	if class == shard.Routine && limit > 1 && !s.UrgentSeen.IsZero() && now.Sub(s.UrgentSeen) < urgentMemory {
		limit -= max(1, limit/urgentShare)
	}
	return max(0, limit-len(s.Busy))
}

func (s *Server) limit() Limit {
	if _, ok := progressOf(s.Health); s.Unconfirmed && (ok || s.Health == Health(Warm{})) {
		return LimitOf(Cold{}, s.Placed.Service, 0)
	}
	return LimitOf(s.Health, s.Placed.Service, s.Latency.Median())
}

func (s *Server) occupy(sub *shard.Sub, now time.Time) {
	s.Busy = append(s.Busy, Slot{Sub: sub.ID, Bound: sub.Deadline.Add(slotGrace), Class: sub.Class, Epoch: s.Epoch})
	s.Earliest = now.Add(s.limit().Interval)
}

// slot returns the slot of a sub-request, or nil.
func (s *Server) slot(sub uint64) *Slot {
	for i := range s.Busy {
		if s.Busy[i].Sub == sub {
			return &s.Busy[i]
		}
	}
	return nil
}

func (s *Server) vacate(sub uint64) {
	s.Busy = slices.DeleteFunc(s.Busy, func(b Slot) bool { return b.Sub == sub })
}

// expire frees the slots whose bound is reached.
func (s *Server) expire(now time.Time) {
	s.Busy = slices.DeleteFunc(s.Busy, func(b Slot) bool { return !now.Before(b.Bound) })
}

// next takes the next queued sub-requests into slots. Those that may no longer
// run are returned separately.
func (s *Server) next(now time.Time) (ready []shard.Sub, refused []refusal) {
	s.expire(now)
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
				refused = append(refused, refusal{sub: queue.pop(), reason: reason})
				continue
			}
			if s.waiting(shard.Class(c))-queue.Len() > 0 || !s.startable(sub, now) {
				break
			}
			s.occupy(sub, now)
			ready = append(ready, queue.pop())
		}
	}
	return ready, refused
}

// waiting counts the queued sub-requests that go before a new one of class.
func (s *Server) waiting(class shard.Class) int {
	n := 0
	for c := shard.Urgent; c <= class; c++ {
		n += s.Queue[c].Len()
	}
	return n
}

// alarm returns the time at which the queue must be looked at again, or zero
// if nothing waits or an earlier wake-up is arranged.
func (s *Server) alarm(now time.Time) time.Time {
	if s.waiting(shard.Routine) == 0 {
		return time.Time{}
	}
	var at time.Time
	sooner := func(t time.Time) {
		if t.After(now) && (at.IsZero() || t.Before(at)) {
			at = t
		}
	}
	sooner(s.Earliest)
	for _, b := range s.Busy {
		sooner(b.Bound)
	}
	for c := range s.Queue {
		if s.Queue[c].Len() > 0 {
			sooner(s.Queue[c].head().Deadline)
		}
	}
	if s.Alarm.After(now) && !at.Before(s.Alarm) {
		return time.Time{}
	}
	s.Alarm = at
	return at
}

// wait estimates how long a new sub-request of class waits in the queue.
func (s *Server) wait(class shard.Class, now time.Time) time.Duration {
	limit := s.limit()
	ahead := time.Duration(s.waiting(class))
	return max(ahead*s.Latency.Median()/time.Duration(max(1, limit.Slots)),
		ahead*limit.Interval+max(0, s.Earliest.Sub(now)))
}

// scarcity is the reason for a refusal for want of capacity.
func (s *Server) scarcity() fault.Reason {
	if s.limit().Interval > 0 {
		return fault.ReasonCold
	}
	return fault.ReasonOverload
}

func (s *Server) pause() time.Duration { return max(s.Latency.Median(), refusalPause) }

func (s *Server) figures(now time.Time) shard.Figures {
	f := shard.Figures{
		Server:  s.Placed.Server.Name,
		Latency: s.Latency.Median(),
		Tail:    s.Latency.Tail(),
		Queued:  s.waiting(shard.Routine),
		Busy:    len(s.Busy),
		Stamp:   s.Stamp,
	}
	// A released server stays usable: its next owner serves it in a moment.
	if limit := s.limit(); limit.Slots > 0 {
		f.Usable = true
		if !s.Released && !now.Before(s.Earliest) {
			f.Free = s.free(shard.Routine, now)
		}
	}
	return f
}
