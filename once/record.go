package once

import (
	"time"

	"hyssophub/config"
	"hyssophub/fault"
	"hyssophub/shard"
)

// phase is the progress of a request on this host. The interface is sealed.
type phase interface{ phase() }

type (
	// claiming means that no sub-request was dispatched and the claim is not
	// confirmed to be in force.
	claiming struct{}
	// readyToDispatch means that the claim is in force and no sub-request is
	// open.
	readyToDispatch struct{}
	// dispatched means that a sub-request is open and may be running.
	dispatched struct{}
	// ended means that the result is known and no further sub-request will be
	// sent.
	ended struct{}
)

func (claiming) phase()        {}
func (readyToDispatch) phase() {}
func (dispatched) phase()      {}
func (ended) phase()           {}

// runOutcome is what the caller of Run receives. err is nil if the request ran.
type runOutcome struct {
	result Result
	err    error
}

// pendingRequest is a request in progress, or one whose final state is not yet
// written. The table's lock guards its fields.
type pendingRequest struct {
	request Request
	key     string
	digest  string
	claimID string
	started time.Time
	phase   phase

	// revision is the revision of the key that the next swap expects.
	revision uint64
	// claimInFlight is true while a swap of the claim could still take effect in
	// the store.
	claimInFlight bool
	// readNext means that the next store call of the claim reads the key instead of
	// swapping the claim in.
	readNext bool
	// claimSwaps counts the swaps that were attempted to claim the key.
	claimSwaps int

	// reason is the reason of the last refusal of a sub-request.
	reason fault.Reason
	// retryAfter is the pause that the last refusal requested.
	retryAfter time.Duration
	// triedServers lists the servers that were tried in the current round. A new
	// round starts after a pause.
	triedServers []string
	// subIDs are the ids of all sub-requests. The last sub-request was sent to
	// server.
	subIDs []uint64
	server string
	// storeCalls counts the store calls until the result is published.
	storeCalls int

	// finalState is the state to write to the store at the end, nil if nothing is
	// to be written.
	finalState State
	// writingFinalState is true from the first attempt to write the final state.
	writingFinalState bool
	// finalWriteTries counts the attempts to write the final state.
	finalWriteTries int
	outcome         *runOutcome
	// published is true once done is closed.
	published bool
	done      chan struct{}
}

func newPendingRequest(request Request, claimID string, now time.Time) *pendingRequest {
	return &pendingRequest{
		request: request,
		key:     storeKey(request),
		digest:  digest(request),
		claimID: claimID,
		started: now,
		phase:   claiming{},
		done:    make(chan struct{}),
	}
}

// end sets the outcome of a request and the final state to write for its
// repeats.
func (r *pendingRequest) end(res runOutcome, finalState State) {
	r.phase = ended{}
	r.finalState = finalState
	res.result.Request = r.request.ID
	r.outcome = &res
}

// refuse ends a request that did not run. A claim that is in force, or could
// still take effect, is released.
func (r *pendingRequest) refuse(reason fault.Reason, retryAfter time.Duration, format string, args ...any) {
	err := fault.New(fault.NotRun{}, reason, format, args...)
	err.RetryAfter = retryAfter
	var finalState State
	if _, ok := r.phase.(claiming); !ok || r.claimInFlight {
		finalState = Released{ClaimID: r.claimID}
	}
	r.end(runOutcome{err: err}, finalState)
}

// endUncertain ends a request that may have run. Its claim stays in the store.
func (r *pendingRequest) endUncertain(reason fault.Reason) {
	r.end(runOutcome{err: fault.New(fault.MayHaveRun{}, reason, "request %s with key %q may have run", r.request.ID, r.request.Key)}, nil)
}

// publishResult makes the outcome available to the callers that wait, if there
// is an outcome.
func (r *pendingRequest) publishResult(now time.Time) {
	if r.published || r.outcome == nil {
		return
	}
	r.published = true
	r.outcome.result.Took = now.Sub(r.started)
	r.outcome.result.StoreCalls, r.outcome.result.Subrequests = r.storeCalls, len(r.subIDs)
	close(r.done)
}

// isTransient reports whether the server that refused may accept the request
// after a short pause.
func isTransient(reason fault.Reason) bool {
	switch reason {
	case fault.ReasonOverload, fault.ReasonTermLapsed, fault.ReasonNotOwner, fault.ReasonCold, fault.ReasonShed:
		return true
	default:
		return false
	}
}

// newSub returns the sub-request for the next attempt.
func (r *pendingRequest) newSub(id uint64, server config.Server, version shard.Version) shard.SubRequest {
	return shard.SubRequest{
		ID:             id,
		RequestID:      r.request.ID,
		Tenant:         r.request.Tenant,
		Service:        r.request.Service,
		Server:         server.Name,
		Version:        version,
		Text:           r.request.Text,
		Class:          r.request.Class,
		Deadline:       r.request.Deadline,
		Write:          true,
		IdempotencyKey: r.request.Key,
	}
}
