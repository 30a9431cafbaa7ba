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
	maxClaimSwaps = 6
	// maxAttempts bounds the sub-requests.
	maxSubrequests = 4
	// maxSettles bounds the attempts to record the end of a claim. With the
	// pauses of settlePause they last about two minutes. Afterwards the claim
	// stays in the store and repeats learn that the request may have run.
	maxFinalWrites = 64
)

// Pauses between attempts.
const (
	// claimPause is the first pause before a claim is tried again.
	firstClaimPause = 5 * time.Millisecond
	// retryPause is the shortest wait before a server that refused is asked
	// again.
	minRetryPause = 20 * time.Millisecond
	// settlePause is the longest pause before a final state is written again.
	maxFinalWritePause = 2 * time.Second
)

// lateFor is how long after the deadline a late result of a sub-request is
// still recorded for repeats.
const lateResultPeriod = 2 * time.Second

// Table holds the requests in progress, and those whose end is not yet
// recorded in the store. Its lock comes after those of config and member, and
// before those of query, route and owner.
type Table struct {
	mu     sync.Mutex
	nextID uint64
	byKey  map[string]*pendingRequest
	bySub  map[uint64]*pendingRequest
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		// A random base makes ids unique across hosts and restarts.
		nextID: rand.Uint64(),
		byKey:  make(map[string]*pendingRequest),
		bySub:  make(map[uint64]*pendingRequest),
	}
}

// InProgress returns the number of requests in progress or not yet recorded.
func (t *Table) InProgress() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byKey)
}

// enter adds a request. If the key is in progress here already, it returns
// that record and false.
func (t *Table) addIfAbsent(r *pendingRequest) (*pendingRequest, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if present, ok := t.byKey[r.key]; ok {
		return present, false
	}
	t.byKey[r.key] = r
	return r, true
}

// reject ends a request before its first store call.
func (t *Table) reject(r *pendingRequest, refusal *fault.Error, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.end(runOutcome{err: refusal}, nil)
	t.remove(r)
	r.publishResult(now)
}

func (t *Table) remove(r *pendingRequest) {
	if t.byKey[r.key] == r {
		delete(t.byKey, r.key)
	}
	for _, id := range r.subIDs {
		delete(t.bySub, id)
	}
}

// next is what the engine does after a step of the table. The interface is
// sealed.
type nextStep interface{ nextStep() }

type (
	// claimNext swaps the claim in, or reads the key first.
	claimStep struct {
		pause time.Duration
		read  bool
		// revision is the one that the swap expects.
		revision uint64
		// extra is true for calls beyond those of an undisturbed request.
		extra bool
	}
	// dispatchNext sends the request after a pause.
	dispatchStep struct{ pause time.Duration }
	// settleNext records the final state after a pause.
	finalWriteStep struct{ pause time.Duration }
	// nothing waits for a result or a deadline.
	noStep struct{}
)

func (claimStep) nextStep()      {}
func (dispatchStep) nextStep()   {}
func (finalWriteStep) nextStep() {}
func (noStep) nextStep()         {}

// startClaim returns the store call that the claim needs now, or what follows
// if the request has ended.
func (t *Table) startClaim(r *pendingRequest, now time.Time) nextStep {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := r.phase.(claiming); !ok {
		return t.stepAfterEnd(r)
	}
	if !now.Before(r.request.Deadline) {
		r.refuse(fault.ReasonDeadline, 0, "deadline passed before the key was claimed")
		return t.stepAfterEnd(r)
	}
	r.storeCalls++
	if !r.read {
		// From here the swap may take effect even if its answer never comes.
		r.claimInFlight = true
		r.claimSwaps++
	}
	return claimStep{read: r.read, revision: r.revision, extra: r.storeCalls > 1}
}

// claimed takes the answer of a store call for the claim.
func (t *Table) handleClaimAnswer(r *pendingRequest, answer storeAnswer, now time.Time) nextStep {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch a := answer.(type) {
	case swapSucceeded:
		r.claimInFlight, r.revision = false, a.revision
	case swapConflicted:
		r.claimInFlight = false
	case swapRejected:
		// Earlier swaps of the request may still be under way.
		r.claimInFlight = r.claimSwaps > 1
	case outcomeUnknown, keyRead:
	}
	if _, ok := r.phase.(ended); ok {
		return t.abandonClaim(r, answer)
	}
	switch a := answer.(type) {
	case swapSucceeded:
		r.phase = readyToDispatch{}
		return dispatchStep{}
	case swapConflicted:
		return t.applyClaimDecision(r, a.entry)
	case keyRead:
		return t.applyClaimDecision(r, a.entry)
	case outcomeUnknown:
		r.read = true
		return t.retryClaim(r, now)
	case swapRejected:
		r.read = false
		if a.retry {
			return t.retryClaim(r, now)
		}
		r.refuse(fault.ReasonStore, time.Second, "store does not take the claim")
		return t.stepAfterEnd(r)
	}
	return noStep{}
}

// abandon follows up a claim whose request ended meanwhile. A claim that is in
// force is released, and one that could still take effect is forestalled by a
// write at the revision that it expects.
func (t *Table) abandonClaim(r *pendingRequest, answer storeAnswer) nextStep {
	r.finalState = nil
	switch a := answer.(type) {
	case swapSucceeded:
		r.finalState = Released{Claim: r.claim}
	case swapConflicted:
		t.releaseAbandoned(r, a.entry)
	case keyRead:
		t.releaseAbandoned(r, a.entry)
	case outcomeUnknown, swapRejected:
		if r.claimInFlight {
			r.finalState = Released{Claim: r.claim}
		}
	}
	return t.stepAfterEnd(r)
}

func (t *Table) releaseAbandoned(r *pendingRequest, entry Entry) {
	own, mine := DecideClaim(entry, r.claim, r.digest).(ClaimInForce)
	if mine {
		r.revision = own.Revision
	}
	if mine || (r.claimInFlight && entry.Revision == r.revision) {
		r.finalState = Released{Claim: r.claim}
	}
}

// again tries the claim once more after a pause, within the deadline.
func (t *Table) retryClaim(r *pendingRequest, now time.Time) nextStep {
	pause := firstClaimPause << min(r.storeCalls, maxClaimSwaps)
	pause = pause/2 + rand.N(pause)
	if r.claimSwaps >= maxClaimSwaps || !now.Add(pause).Before(r.request.Deadline) {
		r.refuse(fault.ReasonStore, time.Second, "store does not confirm the claim")
		return t.stepAfterEnd(r)
	}
	return claimStep{pause: pause}
}

// judge applies the decision on a found record.
func (t *Table) applyClaimDecision(r *pendingRequest, entry Entry) nextStep {
	switch d := DecideClaim(entry, r.claim, r.digest).(type) {
	case Claimable:
		r.read, r.revision = false, d.Revision
		if r.claimSwaps >= maxClaimSwaps {
			r.refuse(fault.ReasonStore, time.Second, "key changes too often")
			return t.stepAfterEnd(r)
		}
		return claimStep{}
	case ClaimInForce:
		r.claimInFlight, r.revision, r.phase = false, d.Revision, readyToDispatch{}
		return dispatchStep{}
	case Resolved:
		// The key's revision moved past all swaps of this request, so none of
		// them can take effect any more.
		r.claimInFlight = false
		r.endResolved(d)
	}
	return t.stepAfterEnd(r)
}

// conclude ends a request with the verdict of the record in the store.
func (r *pendingRequest) endResolved(d Resolved) {
	switch d.Verdict.(type) {
	case fault.Ran:
		r.end(runOutcome{result: Result{Receipt: d.Receipt, Repeat: true}}, nil)
	case fault.NotRun:
		r.end(runOutcome{err: fault.New(fault.NotRun{}, d.Reason, "key %q was used with another service or text", r.request.Key)}, nil)
	default:
		r.end(runOutcome{err: fault.New(fault.MayHaveRun{}, d.Reason, "an earlier request with key %q may have run", r.request.Key)}, nil)
	}
}

// closing returns the step after the end of a request.
func (t *Table) stepAfterEnd(r *pendingRequest) nextStep {
	if r.finalState == nil {
		t.remove(r)
		return noStep{}
	}
	if r.writingFinalState {
		return noStep{}
	}
	r.writingFinalState = true
	return finalWriteStep{}
}

// dispatch marks the next sub-request as sent, unless the request has ended or
// its deadline has passed. It is the last check before the sub-request leaves.
func (t *Table) dispatch(r *pendingRequest, chooseReplica func(id uint64, tried []string) (shard.Sub, bool), now time.Time) (shard.Sub, nextStep, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := r.phase.(readyToDispatch); !ok {
		return shard.Sub{}, noStep{}, false
	}
	if !now.Before(r.request.Deadline) {
		r.refuse(fault.ReasonDeadline, 0, "deadline passed before the request was sent")
		return shard.Sub{}, t.stepAfterEnd(r), false
	}
	t.nextID++
	sub, ok := chooseReplica(t.nextID, r.tried)
	if !ok {
		return shard.Sub{}, t.handleNoReplica(r, now), false
	}
	r.tried = append(r.tried, sub.Server)
	r.subIDs = append(r.subIDs, sub.ID)
	r.server = sub.Server
	r.phase = dispatched{}
	t.bySub[sub.ID] = r
	return sub, noStep{}, true
}

// exhausted follows up when no untried replica is left.
func (t *Table) handleNoReplica(r *pendingRequest, now time.Time) nextStep {
	pause := max(minRetryPause, r.retryAfter)
	if len(r.tried) > 0 && isTransient(r.reason) && now.Add(pause).Before(r.request.Deadline) {
		r.tried = nil
		return dispatchStep{pause: pause}
	}
	reason := r.reason
	if reason == "" {
		reason = fault.ReasonNoReplica
	}
	r.refuse(reason, max(r.retryAfter, time.Second), "no replica of service %s takes the request", r.request.Service)
	return t.stepAfterEnd(r)
}

// take records the result of a sub-request. It reports false for results that
// belong to no request of the table.
func (t *Table) handleResult(res shard.Result, retry func(shard.Class) bool) (*pendingRequest, nextStep, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.bySub[res.Sub]
	if !ok {
		return nil, noStep{}, false
	}
	// A result that names another server is crossed; it proves nothing.
	if r.server != res.Server || r.subIDs[len(r.subIDs)-1] != res.Sub {
		return r, noStep{}, true
	}
	switch r.phase.(type) {
	case dispatched:
		return r, t.handleOutcome(r, res.Outcome, retry), true
	case ended:
		return r, t.handleLateOutcome(r, res.Outcome), true
	case claiming, readyToDispatch:
	}
	return r, noStep{}, true
}

// outcome decides on the result of the open sub-request. Only the receipt of a
// backend server proves a run: a failure that claims one may stem from an
// answer to another request.
func (t *Table) handleOutcome(r *pendingRequest, outcome shard.Outcome, retry func(shard.Class) bool) nextStep {
	switch o := outcome.(type) {
	case shard.Answered:
		r.end(runOutcome{result: Result{Receipt: o.Receipt}}, Done{Claim: r.claim, Receipt: o.Receipt})
		return t.stepAfterEnd(r)
	case shard.Refused:
		r.phase, r.reason, r.retryAfter = readyToDispatch{}, o.Reason, o.RetryAfter
		if len(r.subIDs) < maxSubrequests && retry(r.request.Class) {
			return dispatchStep{}
		}
		r.refuse(o.Reason, o.RetryAfter, "service %s refused the request", r.request.Service)
		return t.stepAfterEnd(r)
	case shard.Failed:
		if _, ok := o.Verdict.(fault.NotRun); ok {
			return t.handleOutcome(r, shard.Refused{Reason: o.Reason}, retry)
		}
		r.endUncertain(o.Reason)
	default:
		r.endUncertain(fault.ReasonInternal)
	}
	// The record stays for a late result until the engine forgets it.
	return noStep{}
}

// late records a result that came after its request ended in doubt, for the
// repeats.
func (t *Table) handleLateOutcome(r *pendingRequest, outcome shard.Outcome) nextStep {
	if r.finalState != nil {
		return noStep{}
	}
	switch o := outcome.(type) {
	case shard.Answered:
		r.finalState = Done{Claim: r.claim, Receipt: o.Receipt}
	case shard.Refused:
		r.finalState = Released{Claim: r.claim}
	case shard.Failed:
		return noStep{}
	}
	return t.stepAfterEnd(r)
}

// expire ends a request at its deadline and answers it.
func (t *Table) expire(r *pendingRequest, now time.Time) nextStep {
	t.mu.Lock()
	defer t.mu.Unlock()
	var step nextStep = noStep{}
	switch r.phase.(type) {
	case claiming:
		// The worker that holds the claim call follows up.
		r.refuse(fault.ReasonDeadline, 0, "deadline passed before the key was claimed")
	case readyToDispatch:
		r.refuse(fault.ReasonDeadline, 0, "deadline passed while the service refused the request: %s", r.reason)
		step = t.stepAfterEnd(r)
	case dispatched:
		r.endUncertain(fault.ReasonDeadline)
	case ended:
	}
	r.publishResult(now)
	return step
}

// answer lets the caller have the result, if there is one.
func (t *Table) publishResult(r *pendingRequest, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.publishResult(now)
}

// forget drops a record that waited for a late result.
func (t *Table) discard(r *pendingRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !r.writingFinalState {
		t.remove(r)
	}
}

// startSettle returns what to write now.
func (t *Table) startFinalWrite(r *pendingRequest) (State, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.finalWriteTries++
	if !r.published {
		r.storeCalls++
	}
	return r.finalState, r.revision
}

// settled takes the answer of a store call for the final state.
func (t *Table) finishFinalWrite(r *pendingRequest, answer storeAnswer, stopping bool) nextStep {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch a := answer.(type) {
	case swapSucceeded:
		t.remove(r)
		return noStep{}
	case swapConflicted:
		w, ok := DecideFinalWrite(a.entry, r.claim).(WriteAt)
		if !ok {
			t.remove(r)
			return noStep{}
		}
		r.revision = w.Revision
	case outcomeUnknown, swapRejected, keyRead:
	}
	if r.finalWriteTries >= maxFinalWrites || (stopping && r.finalWriteTries > 1) {
		t.remove(r)
		return noStep{}
	}
	pause := min(maxFinalWritePause, firstClaimPause<<min(r.finalWriteTries, 10))
	return finalWriteStep{pause: pause/2 + rand.N(pause)}
}
