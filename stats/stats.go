// Package stats holds the OpenTelemetry metrics of a host.
package stats

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/samber/oops"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
)

// maxSeries bounds the label sets of each instrument. Label values come from
// the manifest and from constants; the bound guards against a manifest with
// very many tenants.
const maxSeries = 2000

// zoneWindow is how long after a change of the zones in service a request
// counts as one during the change. The target allows 2 s until no new work
// arrives; ramps of returning servers last longer.
const zoneWindow = 30 * time.Second

// Metrics holds the instruments of one host.
type Metrics struct {
	provider *sdkmetric.MeterProvider
	registry *prometheus.Registry
	meter    metric.Meter

	duration   metric.Float64Histogram
	coverage   metric.Float64Histogram
	subs       metric.Int64Counter
	extra      metric.Int64Counter
	runs       metric.Float64Histogram
	calls      metric.Int64Histogram
	verdicts   metric.Int64Counter
	change     metric.Float64Histogram
	changeLost metric.Int64Counter

	mu       sync.Mutex
	revision uint64
	out      []string
	changed  time.Time
}

// Bucket boundaries. Those of durations are dense around the target of 200 ms
// for 99 in 100 answers.
var (
	durationBounds = []float64{0.005, 0.01, 0.02, 0.035, 0.05, 0.075, 0.1, 0.15, 0.2, 0.3, 0.5, 1, 2, 5}
	coverageBounds = []float64{0.5, 0.75, 0.9, 0.95, 0.98, 0.99, 0.999}
	callBounds     = []float64{0, 1, 2, 3, 4, 6, 8, 12, 16}
)

// New returns instruments that Handler exposes.
func New() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry))
	if err != nil {
		return nil, oops.Wrapf(err, "metrics")
	}
	s := &Metrics{
		registry: registry,
		provider: sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter), sdkmetric.WithCardinalityLimit(maxSeries)),
	}
	s.meter = s.provider.Meter("hyssophub")
	if err := errors.Join(s.makeHistograms(), s.makeCounters()); err != nil {
		return nil, oops.Wrapf(err, "metrics")
	}
	return s, nil
}

func (s *Metrics) makeHistograms() error {
	var errs [5]error
	s.duration, errs[0] = s.meter.Float64Histogram("hyssophub.query.duration", metric.WithUnit("s"),
		metric.WithDescription("Time from a query's arrival to its answer."),
		metric.WithExplicitBucketBoundaries(durationBounds...))
	s.coverage, errs[1] = s.meter.Float64Histogram("hyssophub.query.coverage", metric.WithUnit("1"),
		metric.WithDescription("Covered share of the shards of a query."),
		metric.WithExplicitBucketBoundaries(coverageBounds...))
	s.runs, errs[2] = s.meter.Float64Histogram("hyssophub.run.duration", metric.WithUnit("s"),
		metric.WithDescription("Time from a non-idempotent request's arrival to its receipt."),
		metric.WithExplicitBucketBoundaries(durationBounds...))
	s.calls, errs[3] = s.meter.Int64Histogram("hyssophub.run.store.calls", metric.WithUnit("{call}"),
		metric.WithDescription("Store calls of a non-idempotent request up to its answer."),
		metric.WithExplicitBucketBoundaries(callBounds...))
	s.change, errs[4] = s.meter.Float64Histogram("hyssophub.zone.change.duration", metric.WithUnit("s"),
		metric.WithDescription("Time to the answer of requests within 30 s after an availability zone left or returned."),
		metric.WithExplicitBucketBoundaries(durationBounds...))
	return errors.Join(errs[:]...)
}

func (s *Metrics) makeCounters() error {
	var errs [4]error
	s.subs, errs[0] = s.meter.Int64Counter("hyssophub.subrequest.sent", metric.WithUnit("{request}"),
		metric.WithDescription("Sub-requests sent to owners."))
	s.extra, errs[1] = s.meter.Int64Counter("hyssophub.subrequest.extra", metric.WithUnit("{request}"),
		metric.WithDescription("Hedges and retries among the sub-requests."))
	s.verdicts, errs[2] = s.meter.Int64Counter("hyssophub.request.verdicts", metric.WithUnit("{request}"),
		metric.WithDescription("Requests of callers by verdict and reason."))
	s.changeLost, errs[3] = s.meter.Int64Counter("hyssophub.zone.change.refused", metric.WithUnit("{request}"),
		metric.WithDescription("Requests refused within 30 s after an availability zone left or returned."))
	return errors.Join(errs[:]...)
}

// Handler exposes the metrics in the Prometheus text format.
func (s *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{})
}

// Close stops the instruments.
func (s *Metrics) Close() error { return s.provider.Shutdown(context.Background()) }
