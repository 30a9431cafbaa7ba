package stats

import (
	"context"
	"slices"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Operation is what a caller asked for.
type Operation string

// Operations of the callers' interface.
const (
	OperationQuery Operation = "query"
	OperationRun   Operation = "run"
)

// Labels are the bounded labels of a request. Callers of this package replace
// tenants that the configuration does not know by one name.
type Labels struct {
	Operation Operation
	Tenant    string
	Class     string
}

// QueryMeasurements holds the figures of an answered query.
type QueryMeasurements struct {
	Duration      time.Duration
	Coverage      float64
	Subrequests   int
	ExtraRequests int
}

// RunMeasurements holds the figures of a non-idempotent request that ran. Calls counts its
// store calls.
type RunMeasurements struct {
	Duration time.Duration
	Calls    int
	Repeat   bool
}

// verdictRan is the verdict of answered requests.
const verdictRan = "ran"

func (l Labels) tenantClass() attribute.Set {
	return attribute.NewSet(attribute.String("tenant", l.Tenant), attribute.String("class", l.Class))
}

// RecordQuery records an answered query.
func (s *Metrics) RecordQuery(labels Labels, q QueryMeasurements) {
	ctx := context.Background()
	set := metric.WithAttributeSet(labels.tenantClass())
	s.duration.Record(ctx, q.Duration.Seconds(), set)
	s.coverage.Record(ctx, q.Coverage, set)
	s.subs.Add(ctx, int64(q.Subrequests), set)
	s.extra.Add(ctx, int64(q.ExtraRequests), set)
	s.answered(labels, q.Duration)
}

// RecordRun records a non-idempotent request that ran.
func (s *Metrics) RecordRun(labels Labels, r RunMeasurements) {
	ctx := context.Background()
	set := metric.WithAttributes(attribute.String("tenant", labels.Tenant), attribute.String("class", labels.Class),
		attribute.Bool("repeat", r.Repeat))
	s.runs.Record(ctx, r.Duration.Seconds(), set)
	s.calls.Record(ctx, int64(r.Calls), set)
	s.answered(labels, r.Duration)
}

func (s *Metrics) answered(labels Labels, took time.Duration) {
	s.verdict(labels, verdictRan, "")
	if s.changing(time.Now()) {
		s.change.Record(context.Background(), took.Seconds(), metric.WithAttributeSet(labels.tenantClass()))
	}
}

// RecordRefusal records a request that was answered with an error.
func (s *Metrics) RecordRefusal(labels Labels, verdict, reason string) {
	s.verdict(labels, verdict, reason)
	if s.changing(time.Now()) {
		s.changeLost.Add(context.Background(), 1, metric.WithAttributes(attribute.String("tenant", labels.Tenant),
			attribute.String("class", labels.Class), attribute.String("verdict", verdict)))
	}
}

func (s *Metrics) verdict(labels Labels, verdict, reason string) {
	s.verdicts.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("operation", string(labels.Operation)),
		attribute.String("tenant", labels.Tenant),
		attribute.String("class", labels.Class),
		attribute.String("verdict", verdict),
		attribute.String("reason", reason),
	))
}

// SetZonesOut takes over which availability zones are out at a configuration
// revision. The first revision that a host learns is no change.
func (s *Metrics) SetZonesOut(revision uint64, out []string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision <= s.revision {
		return
	}
	if s.revision > 0 && !slices.Equal(s.out, out) {
		s.changed = now
	}
	s.revision, s.out = revision, out
}

// changing reports whether the zones in service changed a short time ago.
func (s *Metrics) changing(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.changed.IsZero() && now.Sub(s.changed) < zoneWindow
}
