package stats

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/samber/oops"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Outcome is the result of a request on an operators' route, a label of the
// metrics.
type Outcome string

// Outcomes of requests: an answer with all parts, an answer without some of them,
// an error status from a backend server, a refusal before anything ran, and any
// other failure.
const (
	OutcomeComplete      Outcome = "whole"
	OutcomePartial       Outcome = "partial"
	OutcomeServerFailure Outcome = "server_failure"
	OutcomeRefused       Outcome = "refused"
	OutcomeFailed        Outcome = "failed"
)

// RouteMeasurements holds the measurements of a request on an operators' route.
// Gathered is set if the route gathers parts from many services. Priority is that
// of the route. Reason is empty if the request was answered. Sends counts requests
// to backend servers, Hedges the hedged ones among them, and Helpers the calls to
// other hosts that collect parts.
type RouteMeasurements struct {
	Gathered     bool
	Priority     int
	Outcome      Outcome
	Reason       string
	Duration     time.Duration
	Sends        int
	Hedges       int
	Helpers      int
	MissingParts int
}

// TierState holds the state of an entry host that serves operators' routes and its
// view of the tier.
type TierState struct {
	// Version is that of the rules in force. Revision is the store revision of
	// the newest change that was applied, in the era of the store.
	Version  uint64
	Era      uint64
	Revision uint64
	// Watching is set if the host reads changes from the store itself rather
	// than from another host.
	Watching bool
	// Age is the time since the store was known to hold nothing newer than what the host
	// has applied; negative if that was never known.
	Age time.Duration
	// InDoubt is the number of backend servers in use whose registrations were deleted
	// and may be renewed, and Malformed that of store entries that were ignored.
	InDoubt   int
	Malformed uint64
	// Failing is set while the store leaves this host's calls without an answer, and Outages
	// is the number of its outages since the host's start in which registrations may have
	// expired.
	Failing bool
	Outages uint64
	// Lost is the number of entries that the store has lost and that are in force until
	// they are written again.
	Lost int
	// Ready is set if the host reports ready to the balancer.
	Ready bool
	// Hosts is the number of live hosts, including the host itself.
	Hosts int
	// Searching is set until the host has found other hosts, or has reason to take itself
	// for the only one. It grants nothing of what all hosts share until then.
	Searching bool
	// Servers is the number of registered backend servers.
	Servers int
	// CutOffZones is the number of availability zones that are taken to be cut off.
	CutOffZones int
	// Limited is the number of backend servers that name a rate limit, Paused that of
	// servers that want no request from this host at present, and Leaving that of
	// servers that said that they are shutting down.
	Limited int
	Paused  int
	Leaving int
	// Rollouts is the number of roll-outs of services' versions without a verdict, HeldRollouts
	// that of those to whose target version this host sends nothing, and Trials the number
	// of its sends to the target versions.
	Rollouts     int
	HeldRollouts int
	Trials       int
	// AdmitLimit is how many requests the host has in progress at most, InProgress how
	// many it has, Queued how many wait, and TurnedAway how many were refused for want of
	// room. They are zero unless clients have accounts.
	AdmitLimit int
	InProgress int
	Queued     int
	TurnedAway uint64
	// OwnedCaps is the number of caps of client accounts that the host owns and was asked
	// for. GrantedPermits and ReturnedPermits count the permits that it granted for such
	// caps, and those that came back unused.
	OwnedCaps       int
	GrantedPermits  uint64
	ReturnedPermits uint64
	// Dropped is the number of log lines that were dropped.
	Dropped uint64
	// Panics is the number of panics that ended a request or a job.
	Panics uint64
}

// RouteMetrics holds the instruments of an entry host that serves operators' routes.
type RouteMetrics struct {
	duration metric.Float64Histogram
	requests metric.Int64Counter
	sends    metric.Int64Counter
	hedges   metric.Int64Counter
	helpers  metric.Int64Counter
	missing  metric.Int64Counter
}

// NewRouteMetrics creates the instruments. state is called at each collection of the
// metrics.
func (m *Metrics) NewRouteMetrics(state func() TierState) (*RouteMetrics, error) {
	r := &RouteMetrics{}
	var errs [6]error
	r.duration, errs[0] = m.meter.Float64Histogram("hyssophub.route.duration", metric.WithUnit("s"),
		metric.WithDescription("Time from a request's arrival to its answer."),
		metric.WithExplicitBucketBoundaries(durationBounds...))
	r.requests, errs[1] = m.meter.Int64Counter("hyssophub.route.requests", metric.WithUnit("{request}"),
		metric.WithDescription("Requests by outcome and reason."))
	r.sends, errs[2] = m.meter.Int64Counter("hyssophub.route.sends", metric.WithUnit("{request}"),
		metric.WithDescription("Requests sent to backend servers by this host."))
	r.hedges, errs[3] = m.meter.Int64Counter("hyssophub.route.hedges", metric.WithUnit("{request}"),
		metric.WithDescription("Hedged requests among those sent."))
	r.helpers, errs[4] = m.meter.Int64Counter("hyssophub.route.helpers", metric.WithUnit("{call}"),
		metric.WithDescription("Calls to other hosts that collect parts."))
	r.missing, errs[5] = m.meter.Int64Counter("hyssophub.route.missing", metric.WithUnit("{part}"),
		metric.WithDescription("Parts that were left out of answers."))
	if err := errors.Join(errs[:]...); err != nil {
		return nil, oops.Wrapf(err, "metrics")
	}
	return r, m.observeTierState(state)
}

func (m *Metrics) observeTierState(state func() TierState) error {
	gauges := []gauge[TierState]{
		{"hyssophub.rules.version", "Version of the rules in force.", func(t TierState) int64 { return int64(t.Version) }},
		{"hyssophub.feed.revision", "Store revision of the newest change applied.", func(t TierState) int64 { return int64(t.Revision) }},
		{"hyssophub.feed.era", "Number of times that the store came back from an older copy; 0 if it does not say.", func(t TierState) int64 { return int64(t.Era) }},
		{"hyssophub.feed.lost", "Entries that the store has lost and that are in force until they are written again.", func(t TierState) int64 { return int64(t.Lost) }},
		{"hyssophub.feed.watching", "1 if the host follows the store itself.", func(t TierState) int64 { return boolValue(t.Watching) }},
		{"hyssophub.feed.age", "Milliseconds since the store was known to hold nothing newer; -1 if never.", func(t TierState) int64 { return max(-1, t.Age.Milliseconds()) }},
		{"hyssophub.feed.in_doubt", "Backend servers in use whose deleted registrations may be renewed.", func(t TierState) int64 { return int64(t.InDoubt) }},
		{"hyssophub.feed.failing", "1 while the store leaves the calls of the host without an answer.", func(t TierState) int64 { return boolValue(t.Failing) }},
		{"hyssophub.feed.outages", "Outages of the store in which registrations may have expired, since the start.", func(t TierState) int64 { return int64(t.Outages) }},
		{"hyssophub.feed.malformed", "Store entries ignored because they cannot be decoded.", func(t TierState) int64 { return int64(t.Malformed) }},
		{"hyssophub.host.ready", "1 if the host tells the balancer that it is ready.", func(t TierState) int64 { return boolValue(t.Ready) }},
		{"hyssophub.tier.hosts", "Live hosts, this one included.", func(t TierState) int64 { return int64(t.Hosts) }},
		{"hyssophub.tier.searching", "1 until the host has found other hosts or has reason to take itself for the only one.", func(t TierState) int64 { return boolValue(t.Searching) }},
		{"hyssophub.tier.servers", "Registered backend servers.", func(t TierState) int64 { return int64(t.Servers) }},
		{"hyssophub.tier.cut_zones", "Availability zones taken to be cut off.", func(t TierState) int64 { return int64(t.CutOffZones) }},
		{"hyssophub.tier.limited", "Backend servers that name a rate limit.", func(t TierState) int64 { return int64(t.Limited) }},
		{"hyssophub.tier.paused", "Backend servers that want no request from this host at present.", func(t TierState) int64 { return int64(t.Paused) }},
		{"hyssophub.tier.leaving", "Backend servers that said that they are shutting down.", func(t TierState) int64 { return int64(t.Leaving) }},
		{"hyssophub.tier.rollouts", "Roll-outs of services' versions without a verdict.", func(t TierState) int64 { return int64(t.Rollouts) }},
		{"hyssophub.tier.rollouts_held", "Roll-outs without a verdict to whose target version this host sends nothing.", func(t TierState) int64 { return int64(t.HeldRollouts) }},
		{"hyssophub.tier.trials", "Requests of this host sent to the target versions of roll-outs without a verdict.", func(t TierState) int64 { return int64(t.Trials) }},
		{"hyssophub.admit.limit", "Requests that the host has in progress at most.", func(t TierState) int64 { return int64(t.AdmitLimit) }},
		{"hyssophub.admit.progress", "Requests in progress that were admitted.", func(t TierState) int64 { return int64(t.InProgress) }},
		{"hyssophub.admit.queued", "Requests that wait to be admitted.", func(t TierState) int64 { return int64(t.Queued) }},
		{"hyssophub.admit.refused", "Requests refused because the host had no room in time.", func(t TierState) int64 { return int64(t.TurnedAway) }},
		{"hyssophub.caps.owned", "Caps of client accounts that the host owns and was asked for.", func(t TierState) int64 { return int64(t.OwnedCaps) }},
		{"hyssophub.caps.granted", "Permits granted for requests of client accounts since the start.", func(t TierState) int64 { return int64(t.GrantedPermits) }},
		{"hyssophub.caps.returned", "Permits that came back unused since the start.", func(t TierState) int64 { return int64(t.ReturnedPermits) }},
		{"hyssophub.logs.dropped", "Log lines dropped because the reader was too slow.", func(t TierState) int64 { return int64(t.Dropped) }},
		{"hyssophub.host.panics", "Panics that ended a request or a job.", func(t TierState) int64 { return int64(t.Panics) }},
	}
	return observeGauges(m, gauges, state)
}

func boolValue(yes bool) int64 {
	if yes {
		return 1
	}
	return 0
}

// Record records a request that ended. Routes are not among the labels, so that
// the number of label values is bounded.
func (r *RouteMetrics) Record(request RouteMeasurements) {
	ctx := context.Background()
	class := attribute.String("class", strconv.Itoa(request.Priority))
	gathered := attribute.Bool("gathered", request.Gathered)
	set := metric.WithAttributeSet(attribute.NewSet(class, gathered))
	r.duration.Record(ctx, request.Duration.Seconds(), set)
	r.requests.Add(ctx, 1, metric.WithAttributeSet(attribute.NewSet(class, gathered,
		attribute.String("outcome", string(request.Outcome)), attribute.String("reason", request.Reason))))
	for _, c := range []struct {
		counter metric.Int64Counter
		n       int
	}{{r.sends, request.Sends}, {r.hedges, request.Hedges}, {r.helpers, request.Helpers}, {r.missing, request.MissingParts}} {
		if c.n > 0 {
			c.counter.Add(ctx, int64(c.n), set)
		}
	}
}
