package route

import (
	"time"

	"hyssophub/config"
	"hyssophub/shard"
)

// Ratios and bursts of the budgets, in sub-requests. Hedges may add 3% to the
// load on backend servers; hedgeRatio leaves a third of that for bursts and
// retries. retryRatio is low enough that a fault cannot cause a retry storm.
const (
	hedgeRatio = 0.02
	hedgeBurst = 20
	retryRatio = 0.1
	retryBurst = 50
)

// hedgeMargin is added to the replicas' tail latency, and minHedgeDelay is the
// shortest delay before a hedge; both allow for the network hop between daemons.
const (
	hedgeMargin   = 5 * time.Millisecond
	minHedgeDelay = 10 * time.Millisecond
)

// hedgeDelayStretch is the relative increase of the hedge delay when the budget
// is empty; a partly spent budget increases the delay in proportion. What is
// left of the budget then goes to the sub-requests that are the most overdue.
const hedgeDelayStretch = 1.0

// Budget is a token bucket that limits extra requests to a ratio of the ordinary
// ones, plus a burst. One token pays for one extra request.
type Budget struct {
	Ratio  float64
	Burst  float64
	Tokens float64
}

// NewBudget returns a full budget.
func NewBudget(ratio, burst float64) Budget {
	return Budget{Ratio: ratio, Burst: burst, Tokens: burst}
}

// Credit adds the tokens for n ordinary requests, up to the burst.
func (b *Budget) Credit(n int) { b.Tokens = min(b.Burst, b.Tokens+b.Ratio*float64(n)) }

// Spend takes the tokens for n extra requests. It returns false and takes none
// if fewer than n tokens are left.
func (b *Budget) Spend(n int) bool {
	if b.Tokens < float64(n) {
		return false
	}
	b.Tokens -= float64(n)
	return true
}

// budgets holds the budgets of one class. Each class has its own, so that
// routine overload cannot use up the hedges and retries of urgent queries.
type budgets struct {
	hedges  Budget
	retries Budget
}

func newBudgets() [shard.ClassCount]budgets {
	var list [shard.ClassCount]budgets
	for c := range list {
		list[c] = budgets{hedges: NewBudget(hedgeRatio, hedgeBurst), retries: NewBudget(retryRatio, retryBurst)}
	}
	return list
}

// CreditBudgets adds the tokens for n ordinary sub-requests to the hedge and
// retry budgets of a class.
func (t *Table) CreditBudgets(class shard.Class, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.budgets[class].hedges.Credit(n)
	t.budgets[class].retries.Credit(n)
}

// SpendHedge takes n tokens from the hedge budget of a class and reports whether
// that many were left.
func (t *Table) SpendHedge(class shard.Class, n int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.budgets[class].hedges.Spend(n)
}

// SpendRetry takes a token from the retry budget of a class and reports whether
// one was left.
func (t *Table) SpendRetry(class shard.Class) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.budgets[class].retries.Spend(1)
}

// HedgeDelay returns how long a sub-request to the service may be unanswered
// before it is hedged. The delay follows the lowest recent tail latency among
// the replicas, since a straggler's own tail latency would be too long.
func (t *Table) HedgeDelay(view *config.View, service *config.Service, class shard.Class) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	tail := time.Duration(0)
	for _, r := range t.replicaSet(view, service).replicas {
		if f := r.Stats.TailLatency; f > 0 && (tail == 0 || f < tail) {
			tail = f
		}
	}
	delay := max(tail+hedgeMargin+2*view.Value.Manifest.Network.Zone, minHedgeDelay)
	return delay + time.Duration(hedgeDelayStretch*t.budgets[class].hedges.usedFraction()*float64(delay))
}

// usedFraction returns the spent part of the burst, from 0 to 1.
func (b *Budget) usedFraction() float64 { return 1 - b.Tokens/b.Burst }
