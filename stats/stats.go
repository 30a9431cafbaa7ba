// Package stats holds the OpenTelemetry metrics of a daemon.
package stats

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/samber/oops"
	"go.opentelemetry.io/otel/attribute"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
)

// Stats holds the instruments of one daemon.
type Stats struct {
	provider *sdkmetric.MeterProvider
	registry *prometheus.Registry

	duration metric.Float64Histogram
	coverage metric.Float64Histogram
	subs     metric.Int64Counter
	extra    metric.Int64Counter
	refused  metric.Int64Counter
}

// New returns instruments that Handler exposes.
func New() (*Stats, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry))
	if err != nil {
		return nil, oops.Wrapf(err, "metrics")
	}
	s := &Stats{registry: registry, provider: sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter))}
	m := s.provider.Meter("hyssophub")
	var errs [5]error
	s.duration, errs[0] = m.Float64Histogram("hyssophub.query.duration", metric.WithUnit("s"),
		metric.WithDescription("Time from a query's arrival to its answer."),
		metric.WithExplicitBucketBoundaries(0.005, 0.01, 0.02, 0.035, 0.05, 0.075, 0.1, 0.15, 0.2, 0.3, 0.5, 1, 2, 5))
	s.coverage, errs[1] = m.Float64Histogram("hyssophub.query.coverage", metric.WithUnit("1"),
		metric.WithDescription("Covered share of the shards of a query."),
		metric.WithExplicitBucketBoundaries(0.5, 0.75, 0.9, 0.95, 0.98, 0.99, 0.999))
	s.subs, errs[2] = m.Int64Counter("hyssophub.subrequests", metric.WithUnit("{request}"),
		metric.WithDescription("Sub-requests sent to owners."))
	s.extra, errs[3] = m.Int64Counter("hyssophub.subrequests.extra", metric.WithUnit("{request}"),
		metric.WithDescription("Hedges and retries among the sub-requests."))
	s.refused, errs[4] = m.Int64Counter("hyssophub.query.refused", metric.WithUnit("{request}"),
		metric.WithDescription("Queries refused without being run."))
	for _, err := range errs {
		if err != nil {
			return nil, oops.Wrapf(err, "metrics")
		}
	}
	return s, nil
}

// Query records an answered query.
func (s *Stats) Query(tenant, class string, took time.Duration, coverage float64, subs, extra int) {
	ctx := context.Background()
	labels := metric.WithAttributes(attribute.String("tenant", tenant), attribute.String("class", class))
	s.duration.Record(ctx, took.Seconds(), labels)
	s.coverage.Record(ctx, coverage, labels)
	s.subs.Add(ctx, int64(subs), labels)
	s.extra.Add(ctx, int64(extra), labels)
}

// Refused records a query that was refused. Unknown tenants are counted under
// "unknown" by the caller, so that the set of labels stays bounded.
func (s *Stats) Refused(tenant, class, reason string) {
	s.refused.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("tenant", tenant), attribute.String("class", class), attribute.String("reason", reason),
	))
}

// Handler exposes the metrics in the Prometheus text format.
func (s *Stats) Handler() http.Handler {
	return promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{})
}

// Close stops the instruments.
func (s *Stats) Close() error { return s.provider.Shutdown(context.Background()) }
