package daemon

import (
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"hyssophub/fault"
	"hyssophub/relay"
	"hyssophub/rules"
	"hyssophub/stats"
)

// server passes clients' requests to the engine, and logs and counts the outcomes.
// It implements platform.RequestHandler.
type server struct{ *Relay }

// View implements platform.RequestHandler.
func (s server) View() *rules.View { return s.rules.View() }

// IsStopping implements platform.RequestHandler. It is also true while the host is not
// ready for another reason: the balancer does not move open connections, so the
// host must end them for its clients to reach another host.
func (s server) IsStopping() bool { return !s.Ready() }

// Serve implements platform.RequestHandler.
func (s server) Serve(r *http.Request, request relay.Request) relay.Result {
	request.NetworkTime = networkTime(r)
	result, report := s.serveWithinCap(r.Context(), request)
	s.record(request, result, report, time.Since(request.Arrived))
	return result
}

// Authorize implements platform.RequestHandler.
func (s server) Authorize(view *rules.View, route *rules.Route, credential rules.Credential) rules.Authorization {
	if view.Set.Accounts == nil {
		return rules.Anonymous{}
	}
	return view.Authorize(route, credential, s.knowledge(), rules.Revocation(s.settings.Accounts))
}

// knowledge returns how far this host follows the operators' changes.
func (s server) knowledge() rules.Knowledge {
	status, now := s.syncer.Status(), time.Now()
	_, behind := s.peers.NewestPeer(now)
	return rules.Knowledge{Known: !status.CheckedAt.IsZero(), Age: now.Sub(status.CheckedAt), Behind: behind}
}

// RecordRejected implements platform.RequestHandler.
func (s server) RecordRejected(r *http.Request, id string, reason fault.Reason) {
	s.requestLog.Warn().Str("request", id).Str("authority", r.Host).Str("uri", r.RequestURI).Str("reason", string(reason)).
		Uint64("version", s.rulesVersion()).Msg("request rejected")
}

// record counts a request and logs one line for it. Complete answers are logged
// at debug level only, so that the volume stays bounded under load.
func (s server) record(request relay.Request, result relay.Result, report relay.Report, took time.Duration) {
	_, gathered := request.Route.Target.(rules.Gather)
	routed := stats.RouteMeasurements{
		Gathered: gathered,
		Priority: request.Priority(),
		Duration: took,
		Sends:    report.Sends,
		Hedges:   report.Hedges,
		Helpers:  report.Helpers,
	}
	line := s.requestLog.Debug()
	switch r := result.(type) {
	case relay.Forwarded:
		routed.Outcome = stats.OutcomeComplete
		if !r.Answer.IsSuccess() {
			line, routed.Outcome = s.requestLog.Warn(), stats.OutcomeServerFailure
		}
		line.Int("status", r.Answer.Status)
	case relay.Merged:
		routed.Outcome, routed.MissingParts = stats.OutcomeComplete, r.Missing
		if r.Missing > 0 {
			line, routed.Outcome = s.requestLog.Info(), stats.OutcomePartial
		}
		line.Int("missing", r.Missing)
	case relay.Declined:
		routed.Outcome, routed.Reason = stats.OutcomeFailed, string(r.Err.Reason)
		if _, notRun := r.Err.Verdict.(fault.NotRun); notRun {
			routed.Outcome = stats.OutcomeRefused
		}
		line = s.requestLog.Warn()
		if r.Err.Reason == fault.ReasonClientLeft {
			line = s.requestLog.Info()
		}
		line.Str("verdict", r.Err.Verdict.String()).Str("reason", routed.Reason).Dur("retry_after", r.Err.RetryAfter)
	}
	s.requestMetrics.Record(routed)
	if line.Enabled() {
		s.addDetails(line, request, report).Dur("took", took).Msg("request answered")
	}
}

// addDetails adds the request and the outcome of its parts to a log line.
func (s server) addDetails(line *zerolog.Event, request relay.Request, report relay.Report) *zerolog.Event {
	if len(report.Unanswered) > 0 {
		missingParts := zerolog.Arr()
		for _, part := range report.Unanswered[:min(len(report.Unanswered), maxPartsLogged)] {
			missingParts.Dict(zerolog.Dict().Str("service", part.Service).Str("reason", string(part.Reason)).Str("helper", part.Helper).Strs("tried", part.Tried))
		}
		line.Array("lost", missingParts)
	}
	if report.Trials > 0 {
		line.Int("trials", report.Trials)
	}
	if request.Account != nil {
		line.Str("account", request.Account.Name)
		if request.Account.Rate > 0 {
			line.Float64("cap", request.Account.Rate).Float64("burst", request.Account.Burst)
		}
	}
	if len(report.Asked) > 0 {
		line.Strs("asked", report.Asked)
	}
	return line.Str("request", request.Message.ID).Str("route", request.Route.Name).Uint64("version", request.View.Set.Version).
		Int64("revision", int64(s.hosts.Self().Position.Revision)).Int("sends", report.Sends).Int("hedges", report.Hedges).Int("detours", report.Detours).Int("helpers", report.Helpers).
		Dur("deadline", request.Deadline.Sub(request.Arrived))
}

// maxPartsLogged bounds the number of missing parts that a log line lists.
const maxPartsLogged = 8

// readTierStats returns the state that the metrics report. It is called at each
// reading of the metrics.
func (r *Relay) readTierStats() stats.TierState {
	now := time.Now()
	self := r.hosts.Self()
	live, _ := r.hosts.Counts(now)
	bounded := r.bounds.Counts(now)
	rollouts := r.rollouts.Counts()
	admission := r.admission.Counts()
	caps := r.caps.Counts()
	followed := r.syncer.Status()
	age := -time.Millisecond
	if !followed.CheckedAt.IsZero() {
		age = now.Sub(followed.CheckedAt)
	}
	return stats.TierState{
		Version:      r.rulesVersion(),
		Era:          self.Position.Era,
		Revision:     self.Position.Revision,
		Watching:     self.Watching,
		Age:          age,
		InDoubt:      followed.InDoubt,
		Failing:      followed.Failing,
		Outages:      followed.Outages,
		Lost:         followed.Lost,
		Malformed:    followed.Malformed,
		Ready:        r.Ready(),
		Hosts:        live,
		Searching:    !r.hosts.HasFoundTier(now),
		Servers:      r.fleet.Size(),
		CutOffZones:  len(r.hosts.UnreachableZones(now)),
		Limited:      bounded.Limited,
		Paused:       bounded.Paused,
		Leaving:      bounded.Leaving,
		Rollouts:     rollouts.Open,
		HeldRollouts: rollouts.Held,
		Trials:       rollouts.Trials,
		AdmitLimit:   admission.Limit,
		InProgress:   admission.InProgress,
		Queued:       admission.Queued,
		TurnedAway:   admission.Refused + admission.Expired,
		Dropped:      r.droppedLines(),
		Panics:       r.panics.Load(),

		OwnedCaps:       caps.Owned,
		GrantedPermits:  caps.Granted,
		ReturnedPermits: caps.GivenBack,
	}
}

// rulesVersion returns the version of the rules in force, or zero if there are none
// yet.
func (r *Relay) rulesVersion() uint64 {
	if view := r.rules.View(); view != nil {
		return view.Set.Version
	}
	return 0
}
