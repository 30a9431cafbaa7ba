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
	// maxClaimSwaps bounds the swaps that are attempted to claim a key.
	maxClaimSwaps = 6
	// maxSubrequests bounds the sub-requests.
	maxSubrequests = 4
	// maxFinalWrites bounds the attempts to write a final state. With the pauses
	// up to maxFinalWritePause they last about two minutes. Afterwards the claim
	// stays in the store, and repeats are answered that the request may have run.
	maxFinalWrites = 64
)

// Pauses between attempts.
const (
	// baseRetryPause is the base of the exponential backoff between store calls.
	baseRetryPause = 5 * time.Millisecond
	// minRetryPause is the shortest pause before a server that refused is tried
	// again.
	minRetryPause = 20 * time.Millisecond
	// maxFinalWritePause bounds the backoff between attempts to write a final
	// state, before jitter.
	maxFinalWritePause = 2 * time.Second
)

// lateResultPeriod is how long after the deadline the late result of a
// sub-request is still recorded for repeats.
const lateResultPeriod = 2 * time.Second

// Table holds the requests in progress, and those whose final state is not yet
// written to the store. Its lock is acquired after those of config and member,
// and before those of query, route and owner.
type Table struct {
	mu     sync.Mutex
	nextID uint64
	byKey  map[string]*pendingRequest
	bySub  map[uint64]*pendingRequest
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		// A random base makes sub-request ids unique across hosts and restarts.
		nextID: rand.Uint64(),
		byKey:  make(map[string]*pendingRequest),
		bySub:  make(map[uint64]*pendingRequest),
	}
}

// InProgress returns the number of requests that have not ended or whose final
// state is not yet written.
func (t *Table) InProgress() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byKey)
}

// addIfAbsent adds a request. If a request with the same key is already in
// progress on this host, it returns that request and false.
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

// remove deletes a request and its sub-requests from the table.
func (t *Table) remove(r *pendingRequest) {
	if t.byKey[r.key] == r {
		delete(t.byKey, r.key)
	}
	for _, id := range r.subIDs {
		delete(t.bySub, id)
	}
}

// nextStep is what the engine does after a call of the table. The interface is
// sealed.
type nextStep interface{ nextStep() }

type (
	// claimStep swaps the claim in, or reads the key if read is set.
	claimStep struct {
		pause time.Duration
		read  bool
		// revision is the revision of the key that the swap expects.
		revision uint64
		// extra is true for store calls beyond those of an undisturbed request.
		extra bool
	}
	// dispatchStep sends the request after a pause.
	dispatchStep struct{ pause time.Duration }
	// finalWriteStep writes the final state after a pause.
	finalWriteStep struct{ pause time.Duration }
	// noStep means that the request waits for a result or its deadline, or has
	// ended.
	noStep struct{}
)

func (claimStep) nextStep()      {}
func (dispatchStep) nextStep()   {}
func (finalWriteStep) nextStep() {}
func (noStep) nextStep()         {}

// startClaim returns the store call that the claim needs now, or the step after
// the end if the request has ended.
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
	if !r.readNext {
		// From here on the swap may take effect even if its answer is lost.
		r.claimInFlight = true
		r.claimSwaps++
	}
	return claimStep{read: r.readNext, revision: r.revision, extra: r.storeCalls > 1}
}

// handleClaimAnswer applies the answer of a store call of the claim.
func (t *Table) handleClaimAnswer(r *pendingRequest, answer storeAnswer, now time.Time) nextStep {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch a := answer.(type) {
	case swapSucceeded:
		r.claimInFlight, r.revision = false, a.revision
	case swapConflicted:
		r.claimInFlight = false
	case swapRejected:
		// Earlier swaps of the request may still take effect.
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
		r.readNext = true
		return t.retryClaim(r, now)
	case swapRejected:
		r.readNext = false
		if a.retry {
			return t.retryClaim(r, now)
		}
		r.refuse(fault.ReasonStoreUnavailable, time.Second, "store did not accept the claim of the request key")
		return t.stepAfterEnd(r)
	}
	return noStep{}
}

// abandonClaim handles the answer for a claim whose request has ended
// meanwhile. A claim that is in force is released. A claim that could still
// take effect is prevented by a write at the revision that its swap expects.
func (t *Table) abandonClaim(r *pendingRequest, answer storeAnswer) nextStep {
	r.finalState = nil
	switch a := answer.(type) {
	case swapSucceeded:
		r.finalState = Released{ClaimID: r.claimID}
	case swapConflicted:
		t.releaseAbandoned(r, a.entry)
	case keyRead:
		t.releaseAbandoned(r, a.entry)
	case outcomeUnknown, swapRejected:
		if r.claimInFlight {
			r.finalState = Released{ClaimID: r.claimID}
		}
	}
	return t.stepAfterEnd(r)
}

// releaseAbandoned sets the final state to Released if the claim is in force in
// entry, or could still take effect over it.
func (t *Table) releaseAbandoned(r *pendingRequest, entry Entry) {
	own, inForce := DecideClaim(entry, r.claimID, r.digest).(ClaimInForce)
	if inForce {
		r.revision = own.Revision
	}
	if inForce || (r.claimInFlight && entry.Revision == r.revision) {
		r.finalState = Released{ClaimID: r.claimID}
	}
}

// retryClaim schedules another store call of the claim after a pause, if the
// deadline and maxClaimSwaps allow it.
func (t *Table) retryClaim(r *pendingRequest, now time.Time) nextStep {
	pause := baseRetryPause << min(r.storeCalls, maxClaimSwaps)
	pause = pause/2 + rand.N(pause)
	if r.claimSwaps >= maxClaimSwaps || !now.Add(pause).Before(r.request.Deadline) {
		r.refuse(fault.ReasonStoreUnavailable, time.Second, "store did not confirm the claim of the request key")
		return t.stepAfterEnd(r)
	}
	return claimStep{pause: pause}
}

// applyClaimDecision applies the decision on a stored entry.
func (t *Table) applyClaimDecision(r *pendingRequest, entry Entry) nextStep {
	switch d := DecideClaim(entry, r.claimID, r.digest).(type) {
	case Claimable:
		r.readNext, r.revision = false, d.Revision
		if r.claimSwaps >= maxClaimSwaps {
			r.refuse(fault.ReasonStoreUnavailable, time.Second, "request key changed too often while it was being claimed")
			return t.stepAfterEnd(r)
		}
		return claimStep{}
	case ClaimInForce:
		r.claimInFlight, r.revision, r.phase = false, d.Revision, readyToDispatch{}
		return dispatchStep{}
	case Resolved:
		// The key has a newer revision than all swaps of this request expect,
		// so none of them can take effect any more.
		r.claimInFlight = false
		r.endResolved(d)
	}
	return t.stepAfterEnd(r)
}

// endResolved ends a request with the verdict of the record in the store.
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

// stepAfterEnd returns the step after the end of a request: the final write, if
// there is a final state and no worker writes it yet.
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
// its deadline has passed. It is the last check before the sub-request is sent.
func (t *Table) dispatch(r *pendingRequest, chooseReplica func(id uint64, tried []string) (shard.SubRequest, bool), now time.Time) (shard.SubRequest, nextStep, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := r.phase.(readyToDispatch); !ok {
		return shard.SubRequest{}, noStep{}, false
	}
	if !now.Before(r.request.Deadline) {
		r.refuse(fault.ReasonDeadline, 0, "deadline passed before the request was sent")
		return shard.SubRequest{}, t.stepAfterEnd(r), false
	}
	t.nextID++
	sub, ok := chooseReplica(t.nextID, r.triedServers)
	if !ok {
		return shard.SubRequest{}, t.handleNoReplica(r, now), false
	}
	r.triedServers = append(r.triedServers, sub.Server)
	r.subIDs = append(r.subIDs, sub.ID)
	r.server = sub.Server
	r.phase = dispatched{}
	t.bySub[sub.ID] = r
	return sub, noStep{}, true
}

// handleNoReplica returns the next step when no untried replica is left:
// another round after a pause, if the last refusal is transient, or a refusal.
func (t *Table) handleNoReplica(r *pendingRequest, now time.Time) nextStep {
	pause := max(minRetryPause, r.retryAfter)
	if len(r.triedServers) > 0 && isTransient(r.reason) && now.Add(pause).Before(r.request.Deadline) {
		r.triedServers = nil
		return dispatchStep{pause: pause}
	}
	reason := r.reason
	if reason == "" {
		reason = fault.ReasonNoReplica
	}
	r.refuse(reason, max(r.retryAfter, time.Second), "no replica of service %s accepted the request", r.request.Service)
	return t.stepAfterEnd(r)
}

// handleResult applies the result of a sub-request. It reports false for
// results that belong to no request of the table.
func (t *Table) handleResult(res shard.Result, retry func(shard.Class) bool) (*pendingRequest, nextStep, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.bySub[res.SubID]
	if !ok {
		return nil, noStep{}, false
	}
	// A result that names another server, or belongs to an earlier
	// sub-request, proves nothing about the open sub-request.
	if r.server != res.Server || r.subIDs[len(r.subIDs)-1] != res.SubID {
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

// handleOutcome applies the outcome of the open sub-request. Only the receipt
// of a backend server proves a run: a failure with verdict fault.Ran may stem
// from an answer to another request.
func (t *Table) handleOutcome(r *pendingRequest, outcome shard.Outcome, retry func(shard.Class) bool) nextStep {
	switch o := outcome.(type) {
	case shard.Answered:
		r.end(runOutcome{result: Result{Receipt: o.Receipt}}, Done{ClaimID: r.claimID, Receipt: o.Receipt})
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
	// The request stays in the table for a late result until discard.
	return noStep{}
}

// handleLateOutcome records an outcome that arrives after its request ended
// without proof whether it ran. The repeats of the request are answered from
// this record.
func (t *Table) handleLateOutcome(r *pendingRequest, outcome shard.Outcome) nextStep {
	if r.finalState != nil {
		return noStep{}
	}
	switch o := outcome.(type) {
	case shard.Answered:
		r.finalState = Done{ClaimID: r.claimID, Receipt: o.Receipt}
	case shard.Refused:
		r.finalState = Released{ClaimID: r.claimID}
	case shard.Failed:
		return noStep{}
	}
	return t.stepAfterEnd(r)
}

// expire ends a request at its deadline and publishes the result.
func (t *Table) expire(r *pendingRequest, now time.Time) nextStep {
	t.mu.Lock()
	defer t.mu.Unlock()
	var step nextStep = noStep{}
	switch r.phase.(type) {
	case claiming:
		// The worker that makes the store call of the claim returns the next
		// step when the call ends.
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

// publishResult makes the outcome available to the callers that wait, if there
// is an outcome.
func (t *Table) publishResult(r *pendingRequest, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.publishResult(now)
}

// discard removes a request that waited for a late result, unless its final
// state is being written.
func (t *Table) discard(r *pendingRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !r.writingFinalState {
		t.remove(r)
	}
}

// startFinalWrite counts an attempt to write the final state, and returns the
// state and the revision to swap at.
func (t *Table) startFinalWrite(r *pendingRequest) (State, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.finalWriteTries++
	if !r.published {
		r.storeCalls++
	}
	return r.finalState, r.revision
}

// finishFinalWrite applies the answer of a store call that wrote the final
// state. While the host stops, no attempt follows the second.
func (t *Table) finishFinalWrite(r *pendingRequest, answer storeAnswer, stopping bool) nextStep {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch a := answer.(type) {
	case swapSucceeded:
		t.remove(r)
		return noStep{}
	case swapConflicted:
		w, ok := DecideFinalWrite(a.entry, r.claimID).(WriteAt)
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
	pause := min(maxFinalWritePause, baseRetryPause<<min(r.finalWriteTries, 10))
	return finalWriteStep{pause: pause/2 + rand.N(pause)}
}
