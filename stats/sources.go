package stats

import (
	"context"
	"errors"

	"github.com/samber/oops"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// StoreCalls is the number of platform calls of one kind. Pending calls wait
// for their answer.
type StoreCalls struct {
	Kind    string
	Total   int64
	Pending int64
}

// Service holds the figures of the backend servers of one service that this
// host owns.
type Service struct {
	Tenant  string
	Name    string
	Servers int64
	Queued  int64
	Used    int64
	Free    int64
}

// Host holds the figures of the host itself.
type Host struct {
	Revision uint64
	// Runs counts the non-idempotent requests in progress or not yet
	// recorded.
	Runs int64
	// Zones tells for each availability zone whether it is out.
	Zones map[string]bool
}

// Sources are read at each collection of the metrics.
type Sources interface {
	StoreCalls() []StoreCalls
	Services() []Service
	Host() Host
}

// Observe makes the figures of sources part of the metrics.
func (s *Metrics) Observe(sources Sources) error {
	if err := errors.Join(s.observeStore(sources), s.observeOwner(sources), s.observeHost(sources)); err != nil {
		return oops.Wrapf(err, "metrics")
	}
	return nil
}

func (s *Metrics) observeStore(sources Sources) error {
	total, err := s.meter.Int64ObservableCounter("hyssophub.store.calls", metric.WithUnit("{call}"),
		metric.WithDescription("Calls to the platform by kind; a watch is one call."))
	if err != nil {
		return err
	}
	pending, err := s.meter.Int64ObservableUpDownCounter("hyssophub.store.active_calls", metric.WithUnit("{call}"),
		metric.WithDescription("Calls to the platform that wait for an answer."))
	if err != nil {
		return err
	}
	_, err = s.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for _, c := range sources.StoreCalls() {
			set := metric.WithAttributes(attribute.String("kind", c.Kind))
			o.ObserveInt64(total, c.Total, set)
			o.ObserveInt64(pending, c.Pending, set)
		}
		return nil
	}, total, pending)
	return err
}

func (s *Metrics) observeOwner(sources Sources) error {
	var (
		gauges [4]metric.Int64ObservableUpDownCounter
		errs   [4]error
	)
	for i, g := range []struct{ name, unit, text string }{
		{"hyssophub.owner.servers", "{server}", "Backend servers that this host owns."},
		{"hyssophub.owner.queue", "{request}", "Sub-requests that wait for a slot."},
		{"hyssophub.owner.slots.used", "{slot}", "Slots of owned backend servers in use."},
		{"hyssophub.owner.slots.free", "{slot}", "Slots of owned backend servers that may be used now."},
	} {
		gauges[i], errs[i] = s.meter.Int64ObservableUpDownCounter(g.name, metric.WithUnit(g.unit), metric.WithDescription(g.text))
	}
	if err := errors.Join(errs[:]...); err != nil {
		return err
	}
	_, err := s.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for _, v := range sources.Services() {
			set := metric.WithAttributes(attribute.String("tenant", v.Tenant), attribute.String("service", v.Name))
			for i, n := range []int64{v.Servers, v.Queued, v.Used, v.Free} {
				o.ObserveInt64(gauges[i], n, set)
			}
		}
		return nil
	}, gauges[0], gauges[1], gauges[2], gauges[3])
	return err
}

func (s *Metrics) observeHost(sources Sources) error {
	revision, err := s.meter.Int64ObservableGauge("hyssophub.config.revision", metric.WithUnit("{revision}"),
		metric.WithDescription("Revision of the configuration in force."))
	if err != nil {
		return err
	}
	runs, err := s.meter.Int64ObservableUpDownCounter("hyssophub.run.active_requests", metric.WithUnit("{request}"),
		metric.WithDescription("Non-idempotent requests in progress or not yet recorded."))
	if err != nil {
		return err
	}
	out, err := s.meter.Int64ObservableGauge("hyssophub.zone.out", metric.WithUnit("{zone}"),
		metric.WithDescription("1 while operators have the availability zone out of service, else 0."))
	if err != nil {
		return err
	}
	_, err = s.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		h := sources.Host()
		o.ObserveInt64(revision, int64(h.Revision))
		o.ObserveInt64(runs, h.Runs)
		for zone, isOut := range h.Zones {
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
