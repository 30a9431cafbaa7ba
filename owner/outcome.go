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
	// slowMargin is added to the median where that gives the higher limit, so
	// that scheduling jitter of short requests is not mistaken for a cold
	// server.
	slowMargin = 5 * time.Millisecond
	// coldSlowReplies is the number of consecutive slow replies after which a
	// server counts as cold.
	coldSlowReplies = 3
	// coldSlowTime is the time since the first slow or overdue reply after
	// which a server counts as cold even with fewer slow replies. Together with
	// the sweep interval it stays below the target of 1 s.
	coldSlowTime = 600 * time.Millisecond
	// minSamples is the number of replies from which on a median is used.
	minSamples = 8
)

// recordOutcome records the outcome of a dispatched sub-request. The slot is
// freed only if the outcome proves that the server has finished the request.
// The returned event must be sent to other hosts; it may be nil.
func (s *Server) recordOutcome(sub *shard.SubRequest, outcome shard.Outcome, took, reference time.Duration, now time.Time) event.Event {
	slot := s.findSlot(sub.ID)
	if slot == nil {
		// The slot has expired; the outcome arrives too late to count.
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
			// The server answered, although with an error.
			s.freeSlot(sub.ID)
			return nil
		case o.Reason == fault.ReasonDown:
			return s.recordRefusal(o.Reason, now)
		}
		// One silent connection does not show that the server is cold if other
		// replies arrived since the dispatch.
		if !current || !s.LastGoodReply.Before(sent) {
			return nil
		}
		// A deadline shorter than a usual reply does not show it either. A
		// broken connection counts, because the server may have been restarted.
		if isSlow(took, reference) || o.Reason == fault.ReasonConnection {
			s.Health = BackOffRamp(s.Health)
			return s.recordSlow(now)
		}
	}
	return nil
}

// recordRefusal updates the health from the reason of a refusal.
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

// recordReply updates the latency and the health from the service time of a
// reply.
func (s *Server) recordReply(took, reference time.Duration, now time.Time) event.Event {
	if isSlow(took, reference) {
		if _, ramp := rampProgress(s.Health); ramp {
			// On the ramp, slow replies count for the median too, so that it
			// follows a server that has become permanently slower.
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
	// A request whose reply took longer than usual may have arrived at the
	// server late, and the next request must not follow it too closely.
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

// detectCold resets a server to cold when enough replies are slow or overdue
// without a good reply between them.
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

// resetRamp sets the health from which the ramp starts again, and invalidates
// earlier admissions.
func (s *Server) resetRamp(health Health) {
	s.Health = health
	s.RampEpoch++
	s.SlowReplies = 0
	s.LastGoodReply = time.Time{}
}

// markDraining records a signal that the server is shutting down. It returns an
// event only for the first signal.
func (s *Server) markDraining(now time.Time) event.Event {
	_, already := s.Health.(Draining)
	s.Health = Draining{LastSignal: now}
	if already {
		return nil
	}
	return event.ServerDraining{Server: s.Placed.Server.Name}
}

// isSlow compares a service time with the reference latency. Without a
// reference no reply is slow.
func isSlow(took, reference time.Duration) bool {
	return reference > 0 && took > max(slowFactor*reference, reference+slowMargin)
}

// applyReport updates the health from the server's state report. The report can
// lag, so that it ends the draining state only drainingHold after the last
// signal.
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
