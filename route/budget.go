package route

import (
	"time"

	"hyssophub/config"
	"hyssophub/shard"
)

// Shares and bursts of the budgets. Hedges may add 3% to the load on backend
// servers, of which the share leaves a third to bursts and retries; retries
// stay below a share that could turn a fault into a storm.
const (
	hedgeRatio = 0.02
	hedgeBurst = 20
	retryRatio = 0.1
	retryBurst = 50
)

// hedgeMargin is added to the replicas' tail, and minHedgeDelay is the shortest
// wait before a hedge; both cover the hop between daemons.
const (
	hedgeMargin   = 5 * time.Millisecond
	minHedgeDelay = 10 * time.Millisecond
)

// hedgeDelayStretch is by how much an empty budget lengthens the wait before a
// hedge. It keeps the rest of the budget for the sub-requests that are the
// most overdue.
const hedgeDelayStretch = 1.0

// Budget lets extra requests through as a share of the ordinary ones.
type Budget struct {
	Ratio  float64
	Burst  float64
	Tokens float64
}

// NewBudget returns a full budget.
func NewBudget(ratio, burst float64) Budget {
	return Budget{Ratio: ratio, Burst: burst, Tokens: burst}
}

// Earn adds the share of n ordinary requests.
func (b *Budget) Credit(n int) { b.Tokens = min(b.Burst, b.Tokens+b.Ratio*float64(n)) }

// Spend takes n extra requests and reports whether the budget allows them.
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

func newBudgets() [shard.Classes]budgets {
	var list [shard.Classes]budgets
	for c := range list {
		list[c] = budgets{hedges: NewBudget(hedgeRatio, hedgeBurst), retries: NewBudget(retryRatio, retryBurst)}
	}
	return list
}

// CreditBudgets credits the budgets of a class with n ordinary sub-requests.
func (t *Table) CreditBudgets(class shard.Class, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.budgets[class].hedges.Credit(n)
	t.budgets[class].retries.Credit(n)
}

// SpendHedge reports whether n more hedges are within the budget of a class.
func (t *Table) SpendHedge(class shard.Class, n int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.budgets[class].hedges.Spend(n)
}

// SpendRetry reports whether one more retry is within the budget of a class.
func (t *Table) SpendRetry(class shard.Class) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.budgets[class].retries.Spend(1)
}

// HedgeDelay returns how long to wait for a server of the service before a
// hedge: the lowest recent tail among the replicas, since a straggler's own
// tail would delay the hedge for too long.
func (t *Table) HedgeDelay(view *config.View, service *config.Service, class shard.Class) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	tail := time.Duration(0)
	for _, r := range t.replicaSet(view, service).replicas {
		if f := r.Figures.Tail; f > 0 && (tail == 0 || f < tail) {
			tail = f
		}
	}
	delay := max(tail+hedgeMargin+2*view.Value.Manifest.Network.Zone, minHedgeDelay)
	return delay + time.Duration(hedgeDelayStretch*t.budgets[class].hedges.usedFraction()*float64(delay))
}

// used returns the spent part of the burst, from 0 to 1.
func (b *Budget) usedFraction() float64 { return 1 - b.Tokens/b.Burst }
