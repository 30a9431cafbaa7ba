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

// server connects clients' requests to the engine, and logs and counts their
// outcomes. It implements platform.Server.
type server struct{ *Relay }

// View implements platform.Server.
func (s server) View() *rules.View { return s.rules.View() }

// IsStopping implements platform.Server. A host that is cut off sends its
// clients away as well, because an open connection stays with its host.
func (s server) IsStopping() bool { return !s.Ready() }

// Serve implements platform.Server.
func (s server) Serve(r *http.Request, request relay.Request) relay.Result {
	request.NetworkTime = awayOf(r)
	result, report := s.engine.Serve(r.Context(), request)
	s.record(request, result, report, time.Since(request.Arrived))
	return result
}

// Reject implements platform.Server.
func (s server) Reject(r *http.Request, id string, reason fault.Reason) {
	s.requests.Warn().Str("request", id).Str("authority", r.Host).Str("uri", r.RequestURI).Str("reason", string(reason)).
		Uint64("version", s.version()).Msg("request rejected")
}

// record counts a request and writes one line for it. Whole answers are logged
// at debug level only, so that the volume stays bounded under load.
func (s server) record(request relay.Request, result relay.Result, report relay.Report, took time.Duration) {
	_, gathered := request.Route.Target.(rules.Gather)
	figures := stats.RouteMeasurements{
		Gathered: gathered,
		Priority: request.Route.Priority,
		Duration: took,
		Sends:    report.Sends,
		Hedges:   report.Hedges,
		Helpers:  report.Helpers,
	}
	line := s.requests.Debug()
	switch r := result.(type) {
	case relay.Forwarded:
		figures.Outcome = stats.OutcomeComplete
		if !r.Answer.IsSuccess() {
			line, figures.Outcome = s.requests.Warn(), stats.OutcomeServerFailure
		}
		line.Int("status", r.Answer.Status)
	case relay.Merged:
		figures.Outcome, figures.MissingParts = stats.OutcomeComplete, r.Missing
		if r.Missing > 0 {
			line, figures.Outcome = s.requests.Info(), stats.OutcomePartial
		}
		line.Int("missing", r.Missing)
	case relay.Declined:
		figures.Outcome, figures.Reason = stats.OutcomeFailed, string(r.Err.Reason)
		if _, notRun := r.Err.Verdict.(fault.NotRun); notRun {
			figures.Outcome = stats.OutcomeRefused
		}
		line = s.requests.Warn()
		if r.Err.Reason == fault.ReasonClientLeft {
			line = s.requests.Info()
		}
		line.Str("verdict", r.Err.Verdict.String()).Str("reason", figures.Reason).Dur("retry_after", r.Err.RetryAfter)
	}
	s.figures.Record(figures)
	if line.Enabled() {
		s.describe(line, request, report).Dur("took", took).Msg("request answered")
	}
}

// describe adds what a request was and what became of its parts.
func (s server) describe(line *zerolog.Event, request relay.Request, report relay.Report) *zerolog.Event {
	if len(report.Unanswered) > 0 {
		lost := zerolog.Arr()
		for _, l := range report.Unanswered[:min(len(report.Unanswered), maxLostLogged)] {
			lost.Dict(zerolog.Dict().Str("service", l.Service).Str("reason", string(l.Reason)).Str("helper", l.Helper).Strs("tried", l.Tried))
		}
		line.Array("lost", lost)
	}
	return line.Str("request", request.Message.ID).Str("route", request.Route.Name).Uint64("version", request.View.Set.Version).
		Int64("revision", int64(s.hosts.Self().Revision)).Int("sends", report.Sends).Int("hedges", report.Hedges).Int("helpers", report.Helpers).
		Dur("deadline", request.Deadline.Sub(request.Arrived))
}

// maxLostLogged bounds the services that one line names.
const maxLostLogged = 8

// tierFigures returns the figures that the metrics show at each reading.
func (r *Relay) tierFigures() stats.TierState {
	now := time.Now()
	self := r.hosts.Self()
	live, _ := r.hosts.Counts(now)
	return stats.TierState{
		Version:     r.version(),
		Revision:    self.Revision,
		Watching:    self.Watching,
		Ready:       r.Ready(),
		Hosts:       live,
		Servers:     r.fleet.Size(),
		CutOffZones: len(r.hosts.UnreachableZones(now)),
		Dropped:     r.dropped(),
	}
}

// version returns that of the rules in force, or zero before there are any.
func (r *Relay) version() uint64 {
	if view := r.rules.View(); view != nil {
		return view.Set.Version
	}
	return 0
}
