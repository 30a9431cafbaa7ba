package owner

import (
	"time"

	"hyssophub/event"
	"hyssophub/fault"
	"hyssophub/shard"
)

const (
	// slowFactor is the multiple of the recent median above which a reply is
	// slow.
	slowFactor = 3
	// slowMin is added to the median where that gives more, so that
	// scheduling jitter of short requests is not taken for a cold server.
	slowMin = 5 * time.Millisecond
	// slowCount is the number of slow replies without a good one that marks a
	// server as cold.
	slowCount = 3
	// slowTime marks a server as cold after fewer slow replies. With the sweep
	// interval it stays under the target of 1 s.
	slowTime = 600 * time.Millisecond
	// judgeCount is the number of replies that make a median meaningful.
	judgeCount = 8
)

// settle records the outcome of a dispatched sub-request. The slot gets free
// only where the outcome proves that the server is done with it. It returns
// the event that other hosts must hear of, or nil.
func (s *Server) settle(sub *shard.SubRequest, outcome shard.Outcome, took, reference time.Duration, now time.Time) event.Event {
	slot := s.slot(sub.ID)
	if slot == nil {
		// The bound has passed; the outcome comes too late to count.
		slot = &Slot{RampEpoch: s.RampEpoch, Sent: now.Add(-took)}
	}
	current := slot.RampEpoch == s.RampEpoch
	sent := slot.Sent
	slot.Sent, slot.OutcomeUnknown = time.Time{}, true
	switch o := outcome.(type) {
	case shard.Answered:
		s.vacate(sub.ID)
		if o.Draining {
			return s.drain(now)
		}
		if current {
			return s.replied(took, reference, now)
		}
	case shard.Refused:
		s.vacate(sub.ID)
		return s.refused(o.Reason, now)
	case shard.Failed:
		_, ran := o.Verdict.(fault.Ran)
		switch {
		case ran || o.Reason == fault.ReasonInternal:
			// The server answered, if only with an error.
			s.vacate(sub.ID)
			return nil
		case o.Reason == fault.ReasonDown:
			return s.refused(o.Reason, now)
		}
		// A silent connection beside others that answer says nothing about
		// the server.
		if !current || !s.LastGoodReply.Before(sent) {
			return nil
		}
		// A deadline shorter than a usual reply says nothing either. A broken
		// connection counts, because the server may have started anew.
		if isSlow(took, reference) || o.Reason == fault.ReasonConnection {
			s.Health = BackOffRamp(s.Health)
			return s.slowed(now)
		}
	}
	return nil
}

// refused takes over what a refusal proves about the server's state.
func (s *Server) refused(reason fault.Reason, now time.Time) event.Event {
	switch reason {
	case fault.ReasonDraining:
		return s.drain(now)
	case fault.ReasonDown:
		s.restart(Unreachable{})
	case fault.ReasonShed:
		s.Health = BackOffRamp(s.Health)
	}
	return nil
}

// replied takes over the service time of an answer.
func (s *Server) replied(took, reference time.Duration, now time.Time) event.Event {
	if isSlow(took, reference) {
		if _, ramp := progressOf(s.Health); ramp {
			// The median follows a server that stays slower than before.
			s.Latency.Add(took)
			s.Health = BackOffRamp(s.Health)
		}
		return s.slowed(now)
	}
	s.Latency.Add(took)
	if !s.Unconfirmed {
		gap := time.Duration(0)
		if !s.LastGoodReply.IsZero() {
			gap = now.Sub(s.LastGoodReply)
		}
		s.Health = AdvanceRamp(s.Health, gap, s.Placed.Service.Warmup)
	}
	// A reply that took longer than usual may have reached the server late,
	// and the next request must not follow it too closely.
	if interval := s.limit().Interval; interval > 0 {
		if at := now.Add(interval - s.Latency.Median()); at.After(s.NextDispatch) {
			s.NextDispatch = at
		}
	}
	s.LastGoodReply = now
	s.SlowReplies = 0
	return nil
}

// slowed counts a slow reply.
func (s *Server) slowed(now time.Time) event.Event {
	if s.SlowReplies == 0 {
		s.SlowSince = now
	}
	s.SlowReplies++
	return s.judge(0, now)
}

// judge returns a server to the start of the ramp when enough replies are slow
// or overdue without a good one between them.
func (s *Server) judge(reference time.Duration, now time.Time) event.Event {
	switch s.Health.(type) {
	case Cold, Draining, Unreachable:
		return nil
	}
	evidence, since := s.SlowReplies, s.SlowSince
	if reference > 0 {
		for _, b := range s.UsedSlots {
			if b.Sent.IsZero() || b.Sent.Before(s.LastGoodReply) || !isSlow(now.Sub(b.Sent), reference) {
				continue
			}
			if evidence == 0 || b.Sent.Before(since) {
				since = b.Sent
			}
			evidence++
		}
	}
	if evidence < slowCount && (evidence == 0 || now.Sub(since) < slowTime) {
		return nil
	}
	s.restart(Cold{})
	s.NextDispatch = now.Add(s.limit().Interval)
	return event.ServerCold{Server: s.Placed.Server.Name}
}

// restart puts the server into a state from which the ramp begins anew.
func (s *Server) restart(health Health) {
	s.Health = health
	s.RampEpoch++
	s.SlowReplies = 0
	s.LastGoodReply = time.Time{}
}

// drain records a signal that the server leaves.
func (s *Server) drain(now time.Time) event.Event {
	_, already := s.Health.(Draining)
	s.Health = Draining{LastSignal: now}
	if already {
		return nil
	}
	return event.ServerDraining{Server: s.Placed.Server.Name}
}

// isSlow compares a service time with the recent median. Without a median no
// reply is slow.
func isSlow(took, reference time.Duration) bool {
	return reference > 0 && took > max(slowFactor*reference, reference+slowMin)
}

// reported takes over the server's own report. It can lag, so it ends a
// draining state only some time after the last signal.
func (s *Server) reported(draining bool, now time.Time) event.Event {
	if draining {
		return s.drain(now)
	}
	switch h := s.Health.(type) {
	case Unreachable:
		s.restart(Cold{})
	case Draining:
		if now.Sub(h.LastSignal) > drainHold {
			s.restart(Cold{})
		}
	}
	return nil
}
