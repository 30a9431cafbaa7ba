package relay

import (
	"net/http"
	"time"

	"hyssophub/canary"
	"hyssophub/fault"
	"hyssophub/fleet"
)

// UseRollouts makes the table send by the roll-outs of services' versions. It is to be
// called before the first request.
func (t *Table) UseRollouts(rollouts *canary.Table) { t.rollouts = rollouts }

// choose chooses the instance for a send of a part: one of the version that a roll-out
// plans for it, or else one that takes all requests.
func (t *Table) choose(scope fleet.Constraints, p *part, now time.Time) (fleet.Choice, fleet.Refusal, bool) {
	exclude := p.tried[p.excludedFrom:]
	if t.rollouts == nil {
		return t.fleet.Choose(scope, p.service, exclude, now)
	}
	plan := t.rollouts.Plan(p.service, now)
	if plan.Target != "" {
		trial := scope
		trial.Trial, trial.HealthyOnly = plan.Target, true
		if choice, _, ok := t.fleet.Choose(trial, p.service, exclude, now); ok {
			return choice, fleet.Refusal{}, true
		}
	}
	choice, refusal, ok := t.fleet.Choose(scope, p.service, exclude, now)
	if ok {
		return choice, refusal, true
	}
	switch {
	case plan.Fallback != "":
		scope.Trial = plan.Fallback
	case plan.Spare:
		scope.Versions = nil
	default:
		return choice, refusal, false
	}
	return t.fleet.Choose(scope, p.service, exclude, now)
}

// beginTrial counts a send for the roll-out of its service.
func (t *Table) beginTrial(x *exchange) {
	if t.rollouts == nil {
		return
	}
	choice := x.request.Choice
	x.ticket = t.rollouts.Begin(choice.Service, x.state.request.Route.Name, choice.ID, choice.Zone, choice.Version, choice.IsCold, x.began)
	if x.ticket.Key.IsTarget {
		x.state.trials++
	}
}

// endTrial records the outcome of a send for the roll-out of its service.
func (t *Table) endTrial(x *exchange, outcome Outcome, now time.Time) {
	if t.rollouts != nil && x.ticket.Revision != 0 {
		t.rollouts.End(x.ticket, resultOf(outcome, now.Sub(x.began)))
	}
}

// resultOf returns what an outcome says about the version of the server.
func resultOf(outcome Outcome, took time.Duration) canary.Result {
	switch o := outcome.(type) {
	case Answered:
		if o.IsSuccess() {
			return canary.Served{Took: took}
		}
		if o.Status < http.StatusInternalServerError && o.Seal != "" {
			// The request is at fault, as it would be with another version.
			return canary.Neutral{}
		}
		return canary.Failed{}
	case Failed:
		switch _, unsent := o.Verdict.(fault.NotRun); {
		case unsent, o.Reason == fault.ReasonSilentConnection:
			// A silent connection is the connection's fault.
			return canary.Neutral{}
		case o.Reason == fault.ReasonStopping, o.Reason == fault.ReasonDeadline:
			return canary.GivenUp{After: took}
		default:
			return canary.Lost{}
		}
	}
	return canary.Neutral{}
}
