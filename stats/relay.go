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

// Outcome is how a request on an operators' route ended.
type Outcome string

// Outcomes of requests.
const (
	OutcomeComplete      Outcome = "whole"
	OutcomePartial       Outcome = "partial"
	OutcomeServerFailure Outcome = "server_failure"
	OutcomeRefused       Outcome = "refused"
	OutcomeFailed        Outcome = "failed"
)

// RouteMeasurements holds the figures of a request on an operators' route. Gathered says
// that it went to many services, Priority is its rank, and Reason is empty for
// one that was answered.
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

// TierState are figures of an entry host that serves operators' routes.
type TierState struct {
	// Version is that of the rules in force, Revision the store's revision of
	// the newest change applied.
	Version  uint64
	Revision uint64
	// Watching says that the host follows the store itself.
	Watching bool
	Ready    bool
	Hosts    int
	Servers  int
	// CutOffZones is the number of availability zones that are taken to be cut off.
	CutOffZones int
	// Dropped is the number of log lines that were dropped.
	Dropped uint64
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

// NewRouteMetrics makes the instruments; tier is asked at each reading of the metrics.
func (s *Metrics) NewRouteMetrics(tier func() TierState) (*RouteMetrics, error) {
	r := &RouteMetrics{}
	var errs [6]error
	r.duration, errs[0] = s.meter.Float64Histogram("hyssophub.route.duration", metric.WithUnit("s"),
		metric.WithDescription("Time from a request's arrival to its answer."),
		metric.WithExplicitBucketBoundaries(durationBounds...))
	r.requests, errs[1] = s.meter.Int64Counter("hyssophub.route.requests", metric.WithUnit("{request}"),
		metric.WithDescription("Requests by outcome and reason."))
	r.sends, errs[2] = s.meter.Int64Counter("hyssophub.route.sends", metric.WithUnit("{request}"),
		metric.WithDescription("Requests sent to backend servers by this host."))
	r.hedges, errs[3] = s.meter.Int64Counter("hyssophub.route.hedges", metric.WithUnit("{request}"),
		metric.WithDescription("Hedged requests among those sent."))
	r.helpers, errs[4] = s.meter.Int64Counter("hyssophub.route.helpers", metric.WithUnit("{call}"),
		metric.WithDescription("Calls to other hosts that collect parts."))
	r.missing, errs[5] = s.meter.Int64Counter("hyssophub.route.missing", metric.WithUnit("{part}"),
		metric.WithDescription("Parts that were left out of answers."))
	if err := errors.Join(errs[:]...); err != nil {
		return nil, oops.Wrapf(err, "metrics")
	}
	return r, s.observeTier(tier)
}

func (s *Metrics) observeTier(tier func() TierState) error {
	gauges := []struct {
		name, help string
		value      func(TierState) int64
	}{
		{"hyssophub.rules.version", "Version of the rules in force.", func(t TierState) int64 { return int64(t.Version) }},
		{"hyssophub.feed.revision", "Store revision of the newest change applied.", func(t TierState) int64 { return int64(t.Revision) }},
		{"hyssophub.feed.watching", "1 if the host follows the store itself.", func(t TierState) int64 { return one(t.Watching) }},
		{"hyssophub.host.ready", "1 if the host tells the balancer that it is ready.", func(t TierState) int64 { return one(t.Ready) }},
		{"hyssophub.tier.hosts", "Live hosts, this one included.", func(t TierState) int64 { return int64(t.Hosts) }},
		{"hyssophub.tier.servers", "Registered backend servers.", func(t TierState) int64 { return int64(t.Servers) }},
		{"hyssophub.tier.cut_zones", "Availability zones taken to be cut off.", func(t TierState) int64 { return int64(t.CutOffZones) }},
		{"hyssophub.logs.dropped", "Log lines dropped because the reader was too slow.", func(t TierState) int64 { return int64(t.Dropped) }},
	}
	instruments := make([]metric.Observable, len(gauges))
	observers := make([]metric.Int64ObservableGauge, len(gauges))
	for i, g := range gauges {
		o, err := s.meter.Int64ObservableGauge(g.name, metric.WithDescription(g.help))
		if err != nil {
			return oops.Wrapf(err, "metrics")
		}
		observers[i], instruments[i] = o, o
	}
	_, err := s.meter.RegisterCallback(func(_ context.Context, observer metric.Observer) error {
		now := tier()
		for i, g := range gauges {
			observer.ObserveInt64(observers[i], g.value(now))
		}
		return nil
	}, instruments...)
	return err
}

func one(yes bool) int64 {
	if yes {
		return 1
	}
	return 0
}

// Record records an answered request. Its labels are bounded: routes are not
// among them.
func (r *RouteMetrics) Record(q RouteMeasurements) {
	ctx := context.Background()
	class := attribute.String("class", strconv.Itoa(q.Priority))
	gathered := attribute.Bool("gathered", q.Gathered)
	set := metric.WithAttributeSet(attribute.NewSet(class, gathered))
	r.duration.Record(ctx, q.Duration.Seconds(), set)
	r.requests.Add(ctx, 1, metric.WithAttributeSet(attribute.NewSet(class, gathered,
		attribute.String("outcome", string(q.Outcome)), attribute.String("reason", q.Reason))))
	for _, c := range []struct {
		counter metric.Int64Counter
		n       int
	}{{r.sends, q.Sends}, {r.hedges, q.Hedges}, {r.helpers, q.Helpers}, {r.missing, q.MissingParts}} {
		if c.n > 0 {
			c.counter.Add(ctx, int64(c.n), set)
		}
	}
}
