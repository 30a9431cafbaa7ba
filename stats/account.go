package stats

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/samber/oops"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// maxAccountLabels bounds the number of accounts that are named in metrics. The accounts
// that send first get a name of their own, all others share otherAccounts.
const maxAccountLabels = 100

const otherAccounts = "other"

// CapOutcome is the result of the check of an account's cap, a label of the metrics.
type CapOutcome string

// Outcomes of the check of a cap: the request was within it, over it, or no host that may
// grant a permit was reached.
const (
	CapWithin  CapOutcome = "within"
	CapOver    CapOutcome = "over"
	CapUnknown CapOutcome = "unknown"
)

// AccountMetrics holds the instruments of client accounts with a cap.
type AccountMetrics struct {
	requests metric.Int64Counter
	wait     metric.Float64Histogram

	// mu guards names. No other lock is acquired while it is held.
	mu    sync.Mutex
	names map[string]bool
}

// NewAccountMetrics creates the instruments.
func (m *Metrics) NewAccountMetrics() (*AccountMetrics, error) {
	a := &AccountMetrics{names: make(map[string]bool)}
	var errs [2]error
	a.requests, errs[0] = m.meter.Int64Counter("hyssophub.account.requests", metric.WithUnit("{request}"),
		metric.WithDescription("Requests of accounts with a cap by the result of its check."))
	a.wait, errs[1] = m.meter.Float64Histogram("hyssophub.account.wait", metric.WithUnit("s"),
		metric.WithDescription("Time that a request waited for a permit of its account."),
		metric.WithExplicitBucketBoundaries(durationBounds...))
	if err := errors.Join(errs[:]...); err != nil {
		return nil, oops.Wrapf(err, "metrics")
	}
	return a, nil
}

// Record records the check of the cap of an account, which took the given time.
func (a *AccountMetrics) Record(account string, outcome CapOutcome, took time.Duration) {
	ctx := context.Background()
	result := attribute.String("outcome", string(outcome))
	a.requests.Add(ctx, 1, metric.WithAttributeSet(attribute.NewSet(attribute.String("account", a.label(account)), result)))
	a.wait.Record(ctx, took.Seconds(), metric.WithAttributeSet(attribute.NewSet(result)))
}

func (a *AccountMetrics) label(account string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.names[account] {
		if len(a.names) >= maxAccountLabels {
			return otherAccounts
		}
		a.names[account] = true
	}
	return account
}
