package daemon

import (
	"context"
	"time"

	"hyssophub/fault"
	"hyssophub/quota"
	"hyssophub/relay"
	"hyssophub/stats"
	"hyssophub/work"
)

const (
	// patienceShare is the part of the response-time objective for which a request waits
	// for a permit, between the bounds minPatience and maxPatience.
	patienceShare = 0.25
	minPatience   = 30 * time.Millisecond
	maxPatience   = 400 * time.Millisecond
	// expireInterval is the time between two rounds of giving unused permits back.
	expireInterval = 50 * time.Millisecond
)

// serveWithinCap serves a request if its account is within its cap.
func (s server) serveWithinCap(ctx context.Context, request relay.Request) (relay.Result, relay.Report) {
	if request.Account == nil || request.Account.Rate <= 0 || !s.caps.IsEnforced() {
		return s.engine.Serve(ctx, request)
	}
	c := quota.Cap{Account: request.Account.Name, Rate: request.Account.Rate, Burst: request.Account.Burst, Version: request.View.Set.Version}
	patience := time.Duration(patienceShare * float64(request.Route.TargetLatency))
	patience = min(max(patience, minPatience), maxPatience, time.Until(request.Deadline))
	began := time.Now()
	switch d := s.awaitPermit(ctx, c, patience).(type) {
	case quota.Refused:
		outcome, reason := stats.CapUnknown, fault.ReasonCapUnknown
		if d.Over {
			outcome, reason = stats.CapOver, fault.ReasonAccountRate
		}
		s.accountMetrics.Record(c.Account, outcome, time.Since(began))
		return relay.Declined{Err: &fault.Error{Verdict: fault.NotRun{}, Reason: reason, RetryAfter: d.RetryAfter}}, relay.Report{Asked: d.Asked}
	case quota.Admitted:
		s.accountMetrics.Record(c.Account, stats.CapWithin, time.Since(began))
		result, report := s.engine.Serve(ctx, request)
		if declined, ok := result.(relay.Declined); ok {
			if _, notRun := declined.Err.Verdict.(fault.NotRun); notRun {
				s.sendClaims(s.caps.GiveBack(c, d.From))
			}
		}
		return result, report
	}
	return relay.Declined{Err: &fault.Error{Verdict: fault.NotRun{}, Reason: fault.ReasonInternal}}, relay.Report{}
}

// awaitPermit waits for the decision on a request of an account with a cap.
func (r *Relay) awaitPermit(ctx context.Context, c quota.Cap, patience time.Duration) quota.Decision {
	waiting, messages, next := r.caps.Begin(c, patience, time.Now())
	r.sendClaims(messages)
	select {
	case d := <-waiting.Decided:
		return d
	default:
	}
	timer := time.NewTimer(work.TimerDelay(time.Until(next)))
	defer timer.Stop()
	for {
		select {
		case d := <-waiting.Decided:
			return d
		case <-ctx.Done():
			r.caps.Cancel(waiting)
			return r.afterCancel(c, <-waiting.Decided)
		case <-timer.C:
			messages, next := r.caps.Step(waiting, time.Now())
			r.sendClaims(messages)
			timer.Reset(work.TimerDelay(time.Until(next)))
		}
	}
}

// afterCancel gives back a permit that arrived as the client left.
func (r *Relay) afterCancel(c quota.Cap, d quota.Decision) quota.Decision {
	if admitted, ok := d.(quota.Admitted); ok {
		r.sendClaims(r.caps.GiveBack(c, admitted.From))
	}
	return quota.Refused{}
}

func (r *Relay) sendClaims(messages []quota.Message) {
	if len(messages) == 0 {
		return
	}
	if err := r.permits.SendClaims(messages); err != nil {
		r.log.Debug().Err(err).Msg("claims for permits not sent")
	}
}

// expirePermits gives back permits that were not used in time, until the host closes.
func (r *Relay) expirePermits() {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			work.Guard(r.reportPanic, func() { r.sendClaims(r.caps.Expire(time.Now())) })
		case <-r.ctx.Done():
			return
		}
	}
}

// updateCaps tells the table of caps which accounts the rules in force have.
func (r *Relay) updateCaps() {
	view := r.rules.View()
	if view == nil || view.Set.Version == r.capsVersion {
		return
	}
	caps := make([]quota.Cap, 0, len(view.Set.Accounts))
	for _, a := range view.Set.Accounts {
		caps = append(caps, quota.Cap{Account: a.Name, Rate: a.Rate, Burst: a.Burst, Version: view.Set.Version})
	}
	r.caps.SetCaps(caps, view.Set.Version, time.Now())
	r.capsVersion = view.Set.Version
}

// AnswerClaims implements peer.PermitHandler.
func (h permitHandler) AnswerClaims(claims []quota.Claim) []quota.Reply {
	return h.caps.Answer(claims, time.Now())
}

// AcceptReplies implements peer.PermitHandler.
func (h permitHandler) AcceptReplies(host string, replies []quota.Reply) []quota.Message {
	return h.caps.Accept(host, replies, time.Now())
}
