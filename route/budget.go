package route

import "time"

// Shares and bursts of the budgets. Hedges may add 3% to the load on backend
// servers; retries stay below a share that could turn a fault into a storm.
const (
	hedgeShare = 0.025
	hedgeBurst = 10
	retryShare = 0.1
	retryBurst = 50
)

// hedgeMargin is added to the replicas' tail, and hedgeFloor is the shortest
// wait before a hedge; both cover the hop between daemons.
const (
	hedgeMargin = 5 * time.Millisecond
	hedgeFloor  = 10 * time.Millisecond
)

// Budget lets extra requests through as a share of the ordinary ones.
type Budget struct {
	Share  float64
	Burst  float64
	Tokens float64
}

// NewBudget returns a full budget.
func NewBudget(share, burst float64) Budget {
	return Budget{Share: share, Burst: burst, Tokens: burst}
}

// Earn adds the share of n ordinary requests.
func (b *Budget) Earn(n int) { b.Tokens = min(b.Burst, b.Tokens+b.Share*float64(n)) }

// Spend takes one extra request and reports whether the budget allows it.
func (b *Budget) Spend() bool {
	if b.Tokens < 1 {
		return false
	}
	b.Tokens--
	return true
}

// Earn credits both budgets with n ordinary sub-requests.
func (t *Table) Earn(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hedges.Earn(n)
	t.retries.Earn(n)
}

// SpendHedge reports whether one more hedge is within the budget.
func (t *Table) SpendHedge() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hedges.Spend()
}

// SpendRetry reports whether one more retry is within the budget.
func (t *Table) SpendRetry() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.retries.Spend()
}
