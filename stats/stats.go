// Package stats defines the OpenTelemetry metrics of an entry host and exposes
// them in the Prometheus text format. It owns the instruments, their labels and
// the bounds on both. Callers measure the values and serve the HTTP handler.
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

// zoneChangeWindow is the time after a change of the zones in service during
// which requests are also counted in the metrics of zone changes. The target
// allows 2 s until a zone receives no new work; the warm-up of servers in a
// returning zone takes longer.
const zoneChangeWindow = 30 * time.Second

// Metrics holds the instruments of one host.
type Metrics struct {
	provider *sdkmetric.MeterProvider
	registry *prometheus.Registry
	meter    metric.Meter

	queryDuration      metric.Float64Histogram
	queryCoverage      metric.Float64Histogram
	subrequests        metric.Int64Counter
	extraRequests      metric.Int64Counter
	runDuration        metric.Float64Histogram
	runStoreCalls      metric.Int64Histogram
	verdicts           metric.Int64Counter
	zoneChangeDuration metric.Float64Histogram
	zoneChangeRefused  metric.Int64Counter

	// mu guards the fields below: the newest configuration revision, the zones
	// that it takes out of service, and when these zones last changed.
	mu           sync.Mutex
	revision     uint64
	zonesOut     []string
	zonesChanged time.Time
}

// Bucket boundaries. Those of durations are dense around the target of 200 ms
// for 99 in 100 answers.
var (
	durationBounds = []float64{0.005, 0.01, 0.02, 0.035, 0.05, 0.075, 0.1, 0.15, 0.2, 0.3, 0.5, 1, 2, 5}
	coverageBounds = []float64{0.5, 0.75, 0.9, 0.95, 0.98, 0.99, 0.999}
	callBounds     = []float64{0, 1, 2, 3, 4, 6, 8, 12, 16}
)

// New creates the instruments that every host has. Handler exposes them.
func New() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry))
	if err != nil {
		return nil, oops.Wrapf(err, "metrics")
	}
	m := &Metrics{
		registry: registry,
		provider: sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter), sdkmetric.WithCardinalityLimit(maxSeries)),
	}
	m.meter = m.provider.Meter("hyssophub")
	if err := errors.Join(m.makeHistograms(), m.makeCounters()); err != nil {
		return nil, oops.Wrapf(err, "metrics")
	}
	return m, nil
}

func (m *Metrics) makeHistograms() error {
	var errs [5]error
	m.queryDuration, errs[0] = m.meter.Float64Histogram("hyssophub.query.duration", metric.WithUnit("s"),
		metric.WithDescription("Time from a query's arrival to its answer."),
		metric.WithExplicitBucketBoundaries(durationBounds...))
	m.queryCoverage, errs[1] = m.meter.Float64Histogram("hyssophub.query.coverage", metric.WithUnit("1"),
		metric.WithDescription("Covered share of the shards of a query."),
		metric.WithExplicitBucketBoundaries(coverageBounds...))
	m.runDuration, errs[2] = m.meter.Float64Histogram("hyssophub.run.duration", metric.WithUnit("s"),
		metric.WithDescription("Time from a non-idempotent request's arrival to its receipt."),
		metric.WithExplicitBucketBoundaries(durationBounds...))
	m.runStoreCalls, errs[3] = m.meter.Int64Histogram("hyssophub.run.store.calls", metric.WithUnit("{call}"),
		metric.WithDescription("Store calls of a non-idempotent request up to its answer."),
		metric.WithExplicitBucketBoundaries(callBounds...))
	m.zoneChangeDuration, errs[4] = m.meter.Float64Histogram("hyssophub.zone.change.duration", metric.WithUnit("s"),
		metric.WithDescription("Time to the answer of requests within 30 s after an availability zone left or returned."),
		metric.WithExplicitBucketBoundaries(durationBounds...))
	return errors.Join(errs[:]...)
}

func (m *Metrics) makeCounters() error {
	var errs [4]error
	m.subrequests, errs[0] = m.meter.Int64Counter("hyssophub.subrequest.sent", metric.WithUnit("{request}"),
		metric.WithDescription("Sub-requests sent to owners."))
	m.extraRequests, errs[1] = m.meter.Int64Counter("hyssophub.subrequest.extra", metric.WithUnit("{request}"),
		metric.WithDescription("Hedges and retries among the sub-requests."))
	m.verdicts, errs[2] = m.meter.Int64Counter("hyssophub.request.verdicts", metric.WithUnit("{request}"),
		metric.WithDescription("Requests of callers by verdict and reason."))
	m.zoneChangeRefused, errs[3] = m.meter.Int64Counter("hyssophub.zone.change.refused", metric.WithUnit("{request}"),
		metric.WithDescription("Requests refused within 30 s after an availability zone left or returned."))
	return errors.Join(errs[:]...)
}

// Handler exposes the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Close shuts the meter provider down.
func (m *Metrics) Close() error { return m.provider.Shutdown(context.Background()) }
