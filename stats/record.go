package stats

import (
	"context"
	"slices"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Operation is the kind of a caller's request, a label of the metrics.
type Operation string

// Operations of the callers' interface.
const (
	OperationQuery Operation = "query"
	OperationRun   Operation = "run"
)

// Labels are the labels of a request. The number of values of each label must be
// bounded: callers of this package use one common name for all tenants that are not
// configured.
type Labels struct {
	Operation Operation
	Tenant    string
	Class     string
}

// QueryMeasurements holds the measurements of an answered query.
// Subrequests counts all sub-requests, ExtraRequests the hedges and retries among
// them. Coverage is the covered share of the shards, from 0 to 1.
type QueryMeasurements struct {
	Duration      time.Duration
	Coverage      float64
	Subrequests   int
	ExtraRequests int
}

// RunMeasurements holds the measurements of a non-idempotent request that ran.
// Calls counts its store calls. Repeat is set if the run belongs to an earlier
// request with the same key.
type RunMeasurements struct {
	Duration time.Duration
	Calls    int
	Repeat   bool
}

// verdictRan is the value of the label verdict for answered requests.
const verdictRan = "ran"

func (l Labels) tenantAndClass() attribute.Set {
	return attribute.NewSet(attribute.String("tenant", l.Tenant), attribute.String("class", l.Class))
}

// RecordQuery records an answered query.
func (m *Metrics) RecordQuery(labels Labels, q QueryMeasurements) {
	ctx := context.Background()
	set := metric.WithAttributeSet(labels.tenantAndClass())
	m.queryDuration.Record(ctx, q.Duration.Seconds(), set)
	m.queryCoverage.Record(ctx, q.Coverage, set)
	m.subrequests.Add(ctx, int64(q.Subrequests), set)
	m.extraRequests.Add(ctx, int64(q.ExtraRequests), set)
	m.recordAnswered(labels, q.Duration)
}

// RecordRun records a non-idempotent request that ran.
func (m *Metrics) RecordRun(labels Labels, r RunMeasurements) {
	ctx := context.Background()
	set := metric.WithAttributes(attribute.String("tenant", labels.Tenant), attribute.String("class", labels.Class),
		attribute.Bool("repeat", r.Repeat))
	m.runDuration.Record(ctx, r.Duration.Seconds(), set)
	m.runStoreCalls.Record(ctx, int64(r.Calls), set)
	m.recordAnswered(labels, r.Duration)
}

// recordAnswered counts an answered request, also among those during a change of
// the zones in service.
func (m *Metrics) recordAnswered(labels Labels, duration time.Duration) {
	m.recordVerdict(labels, verdictRan, "")
	if m.zonesRecentlyChanged(time.Now()) {
		m.zoneChangeDuration.Record(context.Background(), duration.Seconds(), metric.WithAttributeSet(labels.tenantAndClass()))
	}
}

// RecordRefusal records a request that was answered with an error.
func (m *Metrics) RecordRefusal(labels Labels, verdict, reason string) {
	m.recordVerdict(labels, verdict, reason)
	if m.zonesRecentlyChanged(time.Now()) {
		m.zoneChangeRefused.Add(context.Background(), 1, metric.WithAttributes(attribute.String("tenant", labels.Tenant),
			attribute.String("class", labels.Class), attribute.String("verdict", verdict)))
	}
}

func (m *Metrics) recordVerdict(labels Labels, verdict, reason string) {
	m.verdicts.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("operation", string(labels.Operation)),
		attribute.String("tenant", labels.Tenant),
		attribute.String("class", labels.Class),
		attribute.String("verdict", verdict),
		attribute.String("reason", reason),
	))
}

// SetZonesOut records which availability zones a configuration revision takes out
// of service. Revisions that are not newer are ignored. The first revision that a
// host receives does not count as a change.
func (m *Metrics) SetZonesOut(revision uint64, out []string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision <= m.revision {
		return
	}
	if m.revision > 0 && !slices.Equal(m.zonesOut, out) {
		m.zonesChanged = now
	}
	m.revision, m.zonesOut = revision, out
}

// zonesRecentlyChanged reports whether the zones in service changed within
// zoneChangeWindow before now.
func (m *Metrics) zonesRecentlyChanged(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.zonesChanged.IsZero() && now.Sub(m.zonesChanged) < zoneChangeWindow
}
