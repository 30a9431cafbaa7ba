package owner

import (
	"container/heap"
	"time"

	"hyssophub/config"
	"hyssophub/fault"
	"hyssophub/shard"
)

// queuePerSlot bounds a server's queue per class. A deeper queue only adds
// waiting that the deadline would end anyway.
const queuePerSlot = 16

// slotGrace is added to a sub-request's deadline to give the bound after which
// its slot is free even if the server never answered.
const slotGrace = 250 * time.Millisecond

// Server is the owner's record of one backend server.
type Server struct {
	Placed config.Placed
	// Busy holds the sub-requests that occupy a slot and the time by which
	// the server must have dropped them.
	Busy map[uint64]time.Time
	// Queue holds waiting sub-requests by class in deadline order.
	Queue [shard.Classes]subQueue
	// Held is the server's catalog and Stamp its change counter.
	Held  []shard.Held
	Stamp uint64
	// Draining is true from the first signal that the server leaves.
	Draining bool
	// Latency holds the recent service times.
	Latency Window
}

func newServer(placed config.Placed) *Server {
	return &Server{Placed: placed, Busy: make(map[uint64]time.Time)}
}

// admit decides on a sub-request and takes a slot or a queue place for it.
func (s *Server) admit(sub shard.Sub, now time.Time) Decision {
	if reason, ok := s.admissible(sub, now); !ok {
		return Refuse{Reason: reason, RetryAfter: s.Latency.Median()}
	}
	if s.free(now) > 0 && s.waiting(sub.Class) == 0 {
		s.Busy[sub.ID] = sub.Deadline.Add(slotGrace)
		return Dispatch{}
	}
	if sub.Hedge {
		return Refuse{Reason: fault.ReasonOverload}
	}
	queue := &s.Queue[sub.Class]
	if queue.Len() >= queuePerSlot*s.Placed.Service.Slots {
		return Refuse{Reason: fault.ReasonOverload, RetryAfter: s.backlog()}
	}
	heap.Push(queue, sub)
	return Queued{}
}

// admissible reports whether the server's state lets a sub-request in at all.
func (s *Server) admissible(sub shard.Sub, now time.Time) (fault.Reason, bool) {
	if s.Draining {
		return fault.ReasonDraining, false
	}
	if !sub.Deadline.After(now) {
		return fault.ReasonDeadline, false
	}
	return "", true
}

// next takes the next queued sub-request into a slot. Expired ones are
// returned separately as refused.
func (s *Server) next(now time.Time) (ready []shard.Sub, refused []refusal) {
	for c := range s.Queue {
		queue := &s.Queue[c]
		for queue.Len() > 0 {
			sub := (*queue)[0]
			if reason, ok := s.admissible(sub, now); !ok {
				heap.Pop(queue)
				refused = append(refused, refusal{sub: sub, reason: reason})
				continue
			}
			if s.free(now) == 0 {
				break
			}
			heap.Pop(queue)
			s.Busy[sub.ID] = sub.Deadline.Add(slotGrace)
			ready = append(ready, sub)
		}
	}
	return ready, refused
}

// free returns the number of slots that may be used now.
func (s *Server) free(now time.Time) int {
	for id, bound := range s.Busy {
		if now.After(bound) {
			delete(s.Busy, id)
		}
	}
	return max(0, s.Placed.Service.Slots-len(s.Busy))
}

// waiting counts the queued sub-requests that go before class.
func (s *Server) waiting(class shard.Class) int {
	n := 0
	for c := shard.Urgent; c <= class; c++ {
		n += s.Queue[c].Len()
	}
	return n
}

// backlog estimates the time until a full queue has room again.
func (s *Server) backlog() time.Duration {
	return s.Latency.Median() * time.Duration(queuePerSlot/2)
}

func (s *Server) figures(now time.Time) shard.Figures {
	return shard.Figures{
		Server:  s.Placed.Server.Name,
		Latency: s.Latency.Median(),
		Tail:    s.Latency.Tail(),
		Queued:  s.waiting(shard.Routine),
		Busy:    len(s.Busy),
		Free:    s.free(now),
		Usable:  !s.Draining,
		Stamp:   s.Stamp,
	}
}

type refusal struct {
	sub    shard.Sub
	reason fault.Reason
}

// subQueue orders sub-requests by deadline; it implements heap.Interface.
type subQueue []shard.Sub

func (q subQueue) Len() int           { return len(q) }
func (q subQueue) Less(i, j int) bool { return q[i].Deadline.Before(q[j].Deadline) }
func (q subQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push appends a shard.Sub.
func (q *subQueue) Push(x any) { *q = append(*q, x.(shard.Sub)) }

// Pop removes the last element.
func (q *subQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = shard.Sub{}
	*q = old[:len(old)-1]
	return last
}
