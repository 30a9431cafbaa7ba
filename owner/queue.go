package owner

import (
	"container/heap"

	"hyssophub/fault"
	"hyssophub/shard"
)

type droppedSub struct {
	sub    shard.SubRequest
	reason fault.Reason
}

// subQueue orders sub-requests by deadline, earliest first. It implements
// heap.Interface.
type subQueue []*shard.SubRequest

func (q subQueue) Len() int           { return len(q) }
func (q subQueue) Less(i, j int) bool { return q[i].Deadline.Before(q[j].Deadline) }
func (q subQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push appends a *shard.SubRequest.
func (q *subQueue) Push(x any) { *q = append(*q, x.(*shard.SubRequest)) }

// Pop removes the last element.
func (q *subQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return last
}

// head returns the sub-request with the earliest deadline.
func (q subQueue) head() *shard.SubRequest { return q[0] }

// pop removes and returns the head.
func (q *subQueue) pop() shard.SubRequest { return *heap.Pop(q).(*shard.SubRequest) }
