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
	// slowMargin is added to the median where that gives more, so that
	// scheduling jitter of short requests is not taken for a cold server.
	slowMargin = 5 * time.Millisecond
	// coldSlowReplies is the number of slow replies without a good one that marks a
	// server as cold.
	coldSlowReplies = 3
	// coldSlowTime marks a server as cold after fewer slow replies. With the sweep
	// interval it stays under the target of 1 s.
	coldSlowTime = 600 * time.Millisecond
	// minSamples is the number of replies that make a median meaningful.
	minSamples = 8
)

// recordOutcome records the outcome of a dispatched sub-request. The slot gets free
// only where the outcome proves that the server is done with it. It returns
// the event that other hosts must hear of, or nil.
func (s *Server) recordOutcome(sub *shard.SubRequest, outcome shard.Outcome, took, reference time.Duration, now time.Time) event.Event {
	slot := s.findSlot(sub.ID)
	if slot == nil {
		// The bound has passed; the outcome comes too late to count.
		slot = &Slot{RampEpoch: s.RampEpoch, Sent: now.Add(-took)}
	}
	current := slot.RampEpoch == s.RampEpoch
	sent := slot.Sent
	slot.Sent, slot.OutcomeUnknown = time.Time{}, true
	switch o := outcome.(type) {
	case shard.Answered:
		s.freeSlot(sub.ID)
		if o.Draining {
			return s.markDraining(now)
		}
		if current {
			return s.recordReply(took, reference, now)
		}
	case shard.Refused:
		s.freeSlot(sub.ID)
		return s.recordRefusal(o.Reason, now)
	case shard.Failed:
		_, ran := o.Verdict.(fault.Ran)
		switch {
		case ran || o.Reason == fault.ReasonInternal:
			// The server answered, if only with an error.
			s.freeSlot(sub.ID)
			return nil
		case o.Reason == fault.ReasonDown:
			return s.recordRefusal(o.Reason, now)
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
			return s.recordSlow(now)
		}
	}
	return nil
}

// recordRefusal takes over what a refusal proves about the server's state.
func (s *Server) recordRefusal(reason fault.Reason, now time.Time) event.Event {
	switch reason {
	case fault.ReasonDraining:
		return s.markDraining(now)
	case fault.ReasonDown:
		s.resetRamp(Unreachable{})
	case fault.ReasonShed:
		s.Health = BackOffRamp(s.Health)
	}
	return nil
}

// recordReply takes over the service time of an answer.
func (s *Server) recordReply(took, reference time.Duration, now time.Time) event.Event {
	if isSlow(took, reference) {
		if _, ramp := rampProgress(s.Health); ramp {
			// The median follows a server that stays slower than before.
			s.Latency.Add(took)
			s.Health = BackOffRamp(s.Health)
		}
		return s.recordSlow(now)
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

// recordSlow counts a slow reply.
func (s *Server) recordSlow(now time.Time) event.Event {
	if s.SlowReplies == 0 {
		s.FirstSlowReply = now
	}
	s.SlowReplies++
	return s.detectCold(0, now)
}

// detectCold returns a server to the start of the ramp when enough replies are slow
// or overdue without a good one between them.
func (s *Server) detectCold(reference time.Duration, now time.Time) event.Event {
	switch s.Health.(type) {
	case Cold, Draining, Unreachable:
		return nil
	}
	slow, since := s.SlowReplies, s.FirstSlowReply
	if reference > 0 {
		for _, b := range s.UsedSlots {
			if b.Sent.IsZero() || b.Sent.Before(s.LastGoodReply) || !isSlow(now.Sub(b.Sent), reference) {
				continue
			}
			if slow == 0 || b.Sent.Before(since) {
				since = b.Sent
			}
			slow++
		}
	}
	if slow < coldSlowReplies && (slow == 0 || now.Sub(since) < coldSlowTime) {
		return nil
	}
	s.resetRamp(Cold{})
	s.NextDispatch = now.Add(s.limit().Interval)
	return event.ServerCold{Server: s.Placed.Server.Name}
}

// resetRamp puts the server into a state from which the ramp begins anew.
func (s *Server) resetRamp(health Health) {
	s.Health = health
	s.RampEpoch++
	s.SlowReplies = 0
	s.LastGoodReply = time.Time{}
}

// markDraining records a signal that the server leaves.
func (s *Server) markDraining(now time.Time) event.Event {
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
	return reference > 0 && took > max(slowFactor*reference, reference+slowMargin)
}

// applyReport takes over the server's own report. It can lag, so it ends a
// draining state only some time after the last signal.
func (s *Server) applyReport(draining bool, now time.Time) event.Event {
	if draining {
		return s.markDraining(now)
	}
	switch h := s.Health.(type) {
	case Unreachable:
		s.resetRamp(Cold{})
	case Draining:
		if now.Sub(h.LastSignal) > drainingHold {
			s.resetRamp(Cold{})
		}
	}
	return nil
}
