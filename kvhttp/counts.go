package kvhttp

import "sync/atomic"

// CallKind is a kind of call that the platform counts.
type CallKind uint8

// Kinds of calls; numCallKinds is their number.
const (
	KindGet CallKind = iota
	KindSwap
	KindWatch
	KindGrant
	KindRenew
	KindHosts
	numCallKinds
)

// callKindNames are the names of the kinds in metrics.
var callKindNames = [numCallKinds]string{"get", "swap", "watch", "grant", "renew", "hosts"}

// String returns the name of the kind in metrics.
func (k CallKind) String() string { return callKindNames[k] }

// CallCount is the number of calls of one kind.
type CallCount struct {
	Kind string
	// Total counts the calls since the start, and Pending the calls that have
	// not been answered yet. A watch is pending until it returns.
	Total   int64
	Pending int64
}

// callCounters counts the calls by kind.
type callCounters struct {
	total   [numCallKinds]atomic.Int64
	pending [numCallKinds]atomic.Int64
}

// begin counts a call as pending until the returned function is called.
func (c *callCounters) begin(kind CallKind) func() {
	c.total[kind].Add(1)
	c.pending[kind].Add(1)
	return func() { c.pending[kind].Add(-1) }
}

// CallCounts returns the number of calls of each kind, in a fixed order.
func (c *Client) CallCounts() []CallCount {
	list := make([]CallCount, 0, numCallKinds)
	for k := range numCallKinds {
		list = append(list, CallCount{Kind: k.String(), Total: c.calls.total[k].Load(), Pending: c.calls.pending[k].Load()})
	}
	return list
}
