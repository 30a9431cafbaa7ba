package once

import (
	"math/rand/v2"
	"sync"
	"time"

	"hyssophub/fault"
	"hyssophub/shard"
)

// Limits of one request.
const (
	// maxSwaps bounds the attempts to claim a key.
	maxSwaps = 6
	// maxAttempts bounds the sub-requests.
	maxAttempts = 4
	// maxSettles bounds the attempts to record the end of a claim. With the
	// pauses of settlePause they last about two minutes. Afterwards the claim
	// stays in the store and repeats learn that the request may have run.
	maxSettles = 64
)

// Pauses between attempts.
const (
	// claimPause is the first pause before a claim is tried again.
	claimPause = 5 * time.Millisecond
	// retryPause is the shortest wait before a server that refused is asked
	// again.
	retryPause = 20 * time.Millisecond
	// settlePause is the longest pause before a final state is written again.
	settlePause = 2 * time.Second
)

// lateFor is how long after the deadline a late result of a sub-request is
// still recorded for repeats.
const lateFor = 2 * time.Second

// Table holds the requests in progress, and those whose end is not yet
// recorded in the store. Its lock comes after those of config and member, and
// before those of query, route and owner.
type Table struct {
	mu     sync.Mutex
	nextID uint64
	keys   map[string]*pendingRequest
	subs   map[uint64]*pendingRequest
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		// A random base makes ids unique across hosts and restarts.
		nextID: rand.Uint64(),
		keys:   make(map[string]*pendingRequest),
		subs:   make(map[uint64]*pendingRequest),
	}
}

// InProgress returns the number of requests in progress or not yet recorded.
func (t *Table) InProgress() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.keys)
}

// enter adds a request. If the key is in progress here already, it returns
// that record and false.
func (t *Table) enter(r *pendingRequest) (*pendingRequest, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if present, ok := t.keys[r.key]; ok {
		return present, false
	}
	t.keys[r.key] = r
	return r, true
}

// reject ends a request before its first store call.
func (t *Table) reject(r *pendingRequest, refusal *fault.Error, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.end(result{err: refusal}, nil)
	t.remove(r)
	r.answer(now)
}

func (t *Table) remove(r *pendingRequest) {
	if t.keys[r.key] == r {
		delete(t.keys, r.key)
	}
	for _, id := range r.ids {
		delete(t.subs, id)
	}
}

// next is what the engine does after a step of the table. The interface is
// sealed.
type next interface{ next() }

type (
	// claimNext swaps the claim in, or reads the key first.
	claimNext struct {
		pause time.Duration
		read  bool
		// revision is the one that the swap expects.
		revision uint64
		// extra is true for calls beyond those of an undisturbed request.
		extra bool
	}
	// dispatchNext sends the request after a pause.
	dispatchNext struct{ pause time.Duration }
	// settleNext records the final state after a pause.
	settleNext struct{ pause time.Duration }
	// nothing waits for a result or a deadline.
	nothing struct{}
)

func (claimNext) next()    {}
func (dispatchNext) next() {}
func (settleNext) next()   {}
func (nothing) next()      {}

// startClaim returns the store call that the claim needs now, or what follows
// if the request has ended.
func (t *Table) startClaim(r *pendingRequest, now time.Time) next {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := r.phase.(claiming); !ok {
		return t.closing(r)
	}
	if !now.Before(r.request.Deadline) {
		r.refuse(fault.ReasonDeadline, 0, "deadline passed before the key was claimed")
		return t.closing(r)
	}
	r.calls++
	if !r.read {
		// From here the swap may take effect even if its answer never comes.
		r.doubt = true
		r.swaps++
	}
	return claimNext{read: r.read, revision: r.revision, extra: r.calls > 1}
}

// claimed takes the answer of a store call for the claim.
func (t *Table) claimed(r *pendingRequest, answer claimAnswer, now time.Time) next {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch a := answer.(type) {
	case swapDone:
		r.doubt, r.revision = false, a.revision
	case swapMissed:
		r.doubt = false
	case swapUntaken:
		// Earlier swaps of the request may still be under way.
		r.doubt = r.swaps > 1
	case swapLost, keyRead:
	}
	if _, ok := r.phase.(ended); ok {
		return t.abandon(r, answer)
	}
	switch a := answer.(type) {
	case swapDone:
		r.phase = waiting{}
		return dispatchNext{}
	case swapMissed:
		return t.judge(r, a.found)
	case keyRead:
		return t.judge(r, a.found)
	case swapLost:
		r.read = true
		return t.again(r, now)
	case swapUntaken:
		r.read = false
		if a.retry {
			return t.again(r, now)
		}
		r.refuse(fault.ReasonStore, time.Second, "store does not take the claim")
		return t.closing(r)
	}
	return nothing{}
}

// abandon follows up a claim whose request ended meanwhile. A claim that is in
// force is released, and one that could still take effect is forestalled by a
// write at the revision that it expects.
func (t *Table) abandon(r *pendingRequest, answer claimAnswer) next {
	r.final = nil
	switch a := answer.(type) {
	case swapDone:
		r.final = Released{Claim: r.claim}
	case swapMissed:
		t.abandonFound(r, a.found)
	case keyRead:
		t.abandonFound(r, a.found)
	case swapLost, swapUntaken:
		if r.doubt {
			r.final = Released{Claim: r.claim}
		}
	}
	return t.closing(r)
}

func (t *Table) abandonFound(r *pendingRequest, found Entry) {
	own, mine := DecideClaim(found, r.claim, r.digest).(ClaimInForce)
	if mine {
		r.revision = own.Revision
	}
	if mine || (r.doubt && found.Revision == r.revision) {
		r.final = Released{Claim: r.claim}
	}
}

// again tries the claim once more after a pause, within the deadline.
func (t *Table) again(r *pendingRequest, now time.Time) next {
	pause := claimPause << min(r.calls, maxSwaps)
	pause = pause/2 + rand.N(pause)
	if r.swaps >= maxSwaps || !now.Add(pause).Before(r.request.Deadline) {
		r.refuse(fault.ReasonStore, time.Second, "store does not confirm the claim")
		return t.closing(r)
	}
	return claimNext{pause: pause}
}

// judge applies the decision on a found record.
func (t *Table) judge(r *pendingRequest, found Entry) next {
	switch d := DecideClaim(found, r.claim, r.digest).(type) {
	case Claimable:
		r.read, r.revision = false, d.Revision
		if r.swaps >= maxSwaps {
			r.refuse(fault.ReasonStore, time.Second, "key changes too often")
			return t.closing(r)
		}
		return claimNext{}
	case ClaimInForce:
		r.doubt, r.revision, r.phase = false, d.Revision, waiting{}
		return dispatchNext{}
	case Resolved:
		// The key's revision moved past all swaps of this request, so none of
		// them can take effect any more.
		r.doubt = false
		r.conclude(d)
	}
	return t.closing(r)
}

// conclude ends a request with the verdict of the record in the store.
func (r *pendingRequest) conclude(d Resolved) {
	switch d.Verdict.(type) {
	case fault.Ran:
		r.end(result{receipt: Result{Receipt: d.Receipt, Repeat: true}}, nil)
	case fault.NotRun:
		r.end(result{err: fault.New(fault.NotRun{}, d.Reason, "key %q was used with another service or text", r.request.Key)}, nil)
	default:
		r.end(result{err: fault.New(fault.MayHaveRun{}, d.Reason, "an earlier request with key %q may have run", r.request.Key)}, nil)
	}
}

// closing returns the step after the end of a request.
func (t *Table) closing(r *pendingRequest) next {
	if r.final == nil {
		t.remove(r)
		return nothing{}
	}
	if r.recording {
		return nothing{}
	}
	r.recording = true
	return settleNext{}
}

// dispatch marks the next sub-request as sent, unless the request has ended or
// its deadline has passed. It is the last check before the sub-request leaves.
func (t *Table) dispatch(r *pendingRequest, choose func(id uint64, tried []string) (shard.Sub, bool), now time.Time) (shard.Sub, next, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := r.phase.(waiting); !ok {
		return shard.Sub{}, nothing{}, false
	}
	if !now.Before(r.request.Deadline) {
		r.refuse(fault.ReasonDeadline, 0, "deadline passed before the request was sent")
		return shard.Sub{}, t.closing(r), false
	}
	t.nextID++
	sub, ok := choose(t.nextID, r.tried)
	if !ok {
		return shard.Sub{}, t.exhausted(r, now), false
	}
	r.tried = append(r.tried, sub.Server)
	r.ids = append(r.ids, sub.ID)
	r.server = sub.Server
	r.phase = dispatched{}
	t.subs[sub.ID] = r
	return sub, nothing{}, true
}

// exhausted follows up when no untried replica is left.
func (t *Table) exhausted(r *pendingRequest, now time.Time) next {
	pause := max(retryPause, r.after)
	if len(r.tried) > 0 && transient(r.reason) && now.Add(pause).Before(r.request.Deadline) {
		r.tried = nil
		return dispatchNext{pause: pause}
	}
	reason := r.reason
	if reason == "" {
		reason = fault.ReasonNoReplica
	}
	r.refuse(reason, max(r.after, time.Second), "no replica of service %s takes the request", r.request.Service)
	return t.closing(r)
}

// take records the result of a sub-request. It reports false for results that
// belong to no request of the table.
func (t *Table) take(res shard.Result, retry func(shard.Class) bool) (*pendingRequest, next, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.subs[res.Sub]
	if !ok {
		return nil, nothing{}, false
	}
	// A result that names another server is crossed; it proves nothing.
	if r.server != res.Server || r.ids[len(r.ids)-1] != res.Sub {
		return r, nothing{}, true
	}
	switch r.phase.(type) {
	case dispatched:
		return r, t.outcome(r, res.Outcome, retry), true
	case ended:
		return r, t.late(r, res.Outcome), true
	case claiming, waiting:
	}
	return r, nothing{}, true
}

// outcome decides on the result of the open sub-request. Only the receipt of a
// backend server proves a run: a failure that claims one may stem from an
// answer to another request.
func (t *Table) outcome(r *pendingRequest, outcome shard.Outcome, retry func(shard.Class) bool) next {
	switch o := outcome.(type) {
	case shard.Answered:
		r.end(result{receipt: Result{Receipt: o.Receipt}}, Done{Claim: r.claim, Receipt: o.Receipt})
		return t.closing(r)
	case shard.Refused:
		r.phase, r.reason, r.after = waiting{}, o.Reason, o.RetryAfter
		if len(r.ids) < maxAttempts && retry(r.request.Class) {
			return dispatchNext{}
		}
		r.refuse(o.Reason, o.RetryAfter, "service %s refused the request", r.request.Service)
		return t.closing(r)
	case shard.Failed:
		if _, ok := o.Verdict.(fault.NotRun); ok {
			return t.outcome(r, shard.Refused{Reason: o.Reason}, retry)
		}
		r.doubtful(o.Reason)
	default:
		r.doubtful(fault.ReasonInternal)
	}
	// The record stays for a late result until the engine forgets it.
	return nothing{}
}

// late records a result that came after its request ended in doubt, for the
// repeats.
func (t *Table) late(r *pendingRequest, outcome shard.Outcome) next {
	if r.final != nil {
		return nothing{}
	}
	switch o := outcome.(type) {
	case shard.Answered:
		r.final = Done{Claim: r.claim, Receipt: o.Receipt}
	case shard.Refused:
		r.final = Released{Claim: r.claim}
	case shard.Failed:
		return nothing{}
	}
	return t.closing(r)
}

// expire ends a request at its deadline and answers it.
func (t *Table) expire(r *pendingRequest, now time.Time) next {
	t.mu.Lock()
	defer t.mu.Unlock()
	var step next = nothing{}
	switch r.phase.(type) {
	case claiming:
		// The worker that holds the claim call follows up.
		r.refuse(fault.ReasonDeadline, 0, "deadline passed before the key was claimed")
	case waiting:
		r.refuse(fault.ReasonDeadline, 0, "deadline passed while the service refused the request: %s", r.reason)
		step = t.closing(r)
	case dispatched:
		r.doubtful(fault.ReasonDeadline)
	case ended:
	}
	r.answer(now)
	return step
}

// answer lets the caller have the result, if there is one.
func (t *Table) answer(r *pendingRequest, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.answer(now)
}

// forget drops a record that waited for a late result.
func (t *Table) forget(r *pendingRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !r.recording {
		t.remove(r)
	}
}

// startSettle returns what to write now.
func (t *Table) startSettle(r *pendingRequest) (State, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.tries++
	if !r.answered {
		r.calls++
	}
	return r.final, r.revision
}

// settled takes the answer of a store call for the final state.
func (t *Table) settled(r *pendingRequest, answer claimAnswer, stopping bool) next {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch a := answer.(type) {
	case swapDone:
		t.remove(r)
		return nothing{}
	case swapMissed:
		w, ok := DecideFinalWrite(a.found, r.claim).(WriteAt)
		if !ok {
			t.remove(r)
			return nothing{}
		}
		r.revision = w.Revision
	case swapLost, swapUntaken, keyRead:
	}
	if r.tries >= maxSettles || (stopping && r.tries > 1) {
		t.remove(r)
		return nothing{}
	}
	pause := min(settlePause, claimPause<<min(r.tries, 10))
	return settleNext{pause: pause/2 + rand.N(pause)}
}
