package stats

import (
	"context"
	"errors"

	"github.com/samber/oops"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// StoreCalls holds the numbers of platform calls of one kind: all calls since the
// start, and those that still wait for an answer.
type StoreCalls struct {
	Kind    string
	Total   int64
	Pending int64
}

// Service holds the totals over the backend servers of one service that this host
// owns. Queued counts the sub-requests that wait for a slot.
type Service struct {
	Tenant    string
	Name      string
	Servers   int64
	Queued    int64
	UsedSlots int64
	FreeSlots int64
}

// Host holds the state of the host itself.
type Host struct {
	// Revision is that of the configuration in force.
	Revision uint64
	// ActiveRuns counts the non-idempotent requests in progress or not yet
	// recorded.
	ActiveRuns int64
	// ZonesOut maps each availability zone to whether it is out of service.
	ZonesOut map[string]bool
}

// Sources provides the values that are read at each collection of the metrics.
type Sources interface {
	StoreCalls() []StoreCalls
	Services() []Service
	Host() Host
}

// Observe registers instruments whose values are read from sources at each
// collection.
func (m *Metrics) Observe(sources Sources) error {
	if err := errors.Join(m.observeStore(sources), m.observeOwner(sources), m.observeHost(sources)); err != nil {
		return oops.Wrapf(err, "metrics")
	}
	return nil
}

func (m *Metrics) observeStore(sources Sources) error {
	total, err := m.meter.Int64ObservableCounter("hyssophub.store.calls", metric.WithUnit("{call}"),
		metric.WithDescription("Calls to the platform by kind; a watch is one call."))
	if err != nil {
		return err
	}
	pending, err := m.meter.Int64ObservableUpDownCounter("hyssophub.store.active_calls", metric.WithUnit("{call}"),
		metric.WithDescription("Calls to the platform that wait for an answer."))
	if err != nil {
		return err
	}
	_, err = m.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for _, c := range sources.StoreCalls() {
			set := metric.WithAttributes(attribute.String("kind", c.Kind))
			o.ObserveInt64(total, c.Total, set)
			o.ObserveInt64(pending, c.Pending, set)
		}
		return nil
	}, total, pending)
	return err
}

func (m *Metrics) observeOwner(sources Sources) error {
	var (
		gauges [4]metric.Int64ObservableUpDownCounter
		errs   [4]error
	)
	for i, g := range []struct{ name, unit, description string }{
		{"hyssophub.owner.servers", "{server}", "Backend servers that this host owns."},
		{"hyssophub.owner.queue", "{request}", "Sub-requests that wait for a slot."},
		{"hyssophub.owner.slots.used", "{slot}", "Slots of owned backend servers in use."},
		{"hyssophub.owner.slots.free", "{slot}", "Slots of owned backend servers that may be used now."},
	} {
		gauges[i], errs[i] = m.meter.Int64ObservableUpDownCounter(g.name, metric.WithUnit(g.unit), metric.WithDescription(g.description))
	}
	if err := errors.Join(errs[:]...); err != nil {
		return err
	}
	_, err := m.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for _, v := range sources.Services() {
			set := metric.WithAttributes(attribute.String("tenant", v.Tenant), attribute.String("service", v.Name))
			for i, n := range []int64{v.Servers, v.Queued, v.UsedSlots, v.FreeSlots} {
				o.ObserveInt64(gauges[i], n, set)
			}
		}
		return nil
	}, gauges[0], gauges[1], gauges[2], gauges[3])
	return err
}

func (m *Metrics) observeHost(sources Sources) error {
	revision, err := m.meter.Int64ObservableGauge("hyssophub.config.revision", metric.WithUnit("{revision}"),
		metric.WithDescription("Revision of the configuration in force."))
	if err != nil {
		return err
	}
	runs, err := m.meter.Int64ObservableUpDownCounter("hyssophub.run.active_requests", metric.WithUnit("{request}"),
		metric.WithDescription("Non-idempotent requests in progress or not yet recorded."))
	if err != nil {
		return err
	}
	out, err := m.meter.Int64ObservableGauge("hyssophub.zone.out", metric.WithUnit("{zone}"),
		metric.WithDescription("1 while operators have the availability zone out of service, else 0."))
	if err != nil {
		return err
	}
	_, err = m.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		h := sources.Host()
		o.ObserveInt64(revision, int64(h.Revision))
		o.ObserveInt64(runs, h.ActiveRuns)
		for zone, isOut := range h.ZonesOut {
			value := int64(0)
			if isOut {
				value = 1
			}
			o.ObserveInt64(out, value, metric.WithAttributes(attribute.String("zone", zone)))
		}
		return nil
	}, revision, runs, out)
	return err
}
