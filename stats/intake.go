package stats

import (
	"context"

	"github.com/samber/oops"
	"go.opentelemetry.io/otel/metric"

	"hyssophub/intake"
)

// gauge is an instrument that reports a part of a state S.
type gauge[S any] struct {
	name, description string
	value             func(S) int64
}

// observeGauges registers instruments. read is called at each collection of the metrics.
func observeGauges[S any](m *Metrics, gauges []gauge[S], read func() S) error {
	instruments := make([]metric.Observable, len(gauges))
	observers := make([]metric.Int64ObservableGauge, len(gauges))
	for i, g := range gauges {
		o, err := m.meter.Int64ObservableGauge(g.name, metric.WithDescription(g.description))
		if err != nil {
			return oops.Wrapf(err, "metrics")
		}
		observers[i], instruments[i] = o, o
	}
	_, err := m.meter.RegisterCallback(func(_ context.Context, observer metric.Observer) error {
		current := read()
		for i, g := range gauges {
			observer.ObserveInt64(observers[i], g.value(current))
		}
		return nil
	}, instruments...)
	return err
}

// IntakeState holds the figures of what a host takes in.
type IntakeState struct {
	// Counts are those of the account of messages and connections.
	Counts intake.Counts
	// Turns are the turns in which the host parses what has arrived.
	Turns intake.TurnCounts
	// Queued is what the kernel holds for the open connections, in bytes.
	Queued int64
}

// ObserveIntake registers instruments for what a host takes in. read is called at each
// collection of the metrics.
func (m *Metrics) ObserveIntake(read func() IntakeState) error {
	return observeGauges(m, []gauge[IntakeState]{
		{"hyssophub.intake.memory", "Bytes reserved for messages in progress.", func(s IntakeState) int64 { return s.Counts.Memory }},
		{"hyssophub.intake.bound", "Bound on the bytes reserved for messages in progress; 0 is none.", func(s IntakeState) int64 { return s.Counts.Bound }},
		{"hyssophub.intake.connections", "Open connections of clients, other hosts and readers of readiness and metrics.", func(s IntakeState) int64 { return int64(s.Counts.Connections) }},
		{"hyssophub.intake.refused", "Messages refused because the account of memory was full.", func(s IntakeState) int64 { return int64(s.Counts.Refused) }},
		{"hyssophub.intake.evicted", "Messages ended so that others had room.", func(s IntakeState) int64 { return int64(s.Counts.Evicted) }},
		{"hyssophub.intake.slow", "Messages ended because they made too little progress.", func(s IntakeState) int64 { return int64(s.Counts.Slow) }},
		{"hyssophub.intake.rejected", "Connections closed at once because the bound was reached.", func(s IntakeState) int64 { return int64(s.Counts.Rejected) }},
		{"hyssophub.intake.closed", "Connections closed so that others had room.", func(s IntakeState) int64 { return int64(s.Counts.Closed) }},
		{"hyssophub.intake.queued", "Bytes of open connections that the kernel holds: arrived and not read, or sent and not acknowledged.", func(s IntakeState) int64 { return s.Queued }},
		{"hyssophub.intake.waiting", "Readers of heads and bodies that wait for a turn to parse what has arrived.", func(s IntakeState) int64 { return int64(s.Turns.Waiting) }},
		{"hyssophub.intake.delayed", "Turns of readers of heads and bodies that had to wait.", func(s IntakeState) int64 { return int64(s.Turns.Delayed) }},
	}, read)
}
