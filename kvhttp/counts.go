package kvhttp

import "sync/atomic"

// CallKind is a kind of call that the platform counts.
type CallKind uint8

// Kinds of calls.
const (
	KindGet CallKind = iota
	KindSwap
	KindWatch
	KindGrant
	KindRenew
	KindHosts
	kinds
)

// kindNames are the names of the kinds in metrics.
var kindNames = [kinds]string{"get", "swap", "watch", "grant", "renew", "hosts"}

// String returns the name of the kind in metrics.
func (k CallKind) String() string { return kindNames[k] }

// CallCount is the number of calls of one kind.
type CallCount struct {
	Kind string
	// Total counts the calls since the start, and Pending those without an
	// answer yet. A watch is pending until it returns.
	Total   int64
	Pending int64
}

type counts struct {
	total   [kinds]atomic.Int64
	pending [kinds]atomic.Int64
}

// begin counts a call and returns a function that ends it.
func (c *counts) begin(kind CallKind) func() {
	c.total[kind].Add(1)
	c.pending[kind].Add(1)
	return func() { c.pending[kind].Add(-1) }
}

// CallCounts returns the number of calls of each kind, in a fixed order.
func (c *Client) CallCounts() []CallCount {
	list := make([]CallCount, 0, kinds)
	for k := range kinds {
		list = append(list, CallCount{Kind: k.String(), Total: c.counts.total[k].Load(), Pending: c.counts.pending[k].Load()})
	}
	return list
}
