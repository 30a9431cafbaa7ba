package once

import (
	"time"

	"hyssophub/config"
	"hyssophub/fault"
	"hyssophub/shard"
)

// phase is how far a request in progress has come at this host. The interface
// is sealed.
type phase interface{ phase() }

type (
	// claiming means that nothing was dispatched and the claim is not known
	// to be in force.
	claiming struct{}
	// waiting means that the claim is in force and no sub-request is open.
	readyToDispatch struct{}
	// dispatched means that the sub-request may be running.
	dispatched struct{}
	// ended means that the result is known and no sub-request will be sent.
	ended struct{}
)

func (claiming) phase()        {}
func (readyToDispatch) phase() {}
func (dispatched) phase()      {}
func (ended) phase()           {}

// result is the end of a request as its caller learns it. err is nil if the
// request ran.
type runOutcome struct {
	result Result
	err    error
}

// pendingRequest is a request in progress. The table's lock guards it.
type pendingRequest struct {
	request Request
	key     string
	digest  string
	claim   string
	started time.Time
	phase   phase

	// revision is the one at which the next swap is expected to succeed.
	revision uint64
	// doubt is true while a claim could still take effect in the store.
	claimInFlight bool
	// read means that the store is read before the next swap.
	read bool
	// swaps counts the attempts to claim.
	claimSwaps int

	// reason is why the last sub-request was refused.
	reason fault.Reason
	// after is the server's wish when to be asked again.
	retryAfter time.Duration
	tried      []string
	// ids are those of the sub-requests, the last one sent to server.
	subIDs []uint64
	server string
	// calls counts the store calls.
	storeCalls int

	// final is the state to record at the end, nil if nothing is to be
	// recorded.
	finalState State
	// recording is true while a worker records the final state.
	writingFinalState bool
	finalWriteTries   int
	outcome           *runOutcome
	published         bool
	done              chan struct{}
}

func newPendingRequest(request Request, claim string, now time.Time) *pendingRequest {
	return &pendingRequest{
		request: request,
		key:     storeKey(request),
		digest:  digest(request),
		claim:   claim,
		started: now,
		phase:   claiming{},
		done:    make(chan struct{}),
	}
}

// end fixes the result of a request and the state to record for its repeats.
func (r *pendingRequest) end(res runOutcome, finalState State) {
	r.phase = ended{}
	r.finalState = finalState
	res.result.Request = r.request.ID
	r.outcome = &res
}

// refuse ends a request that did not run. A claim that is or may come into
// force is released.
func (r *pendingRequest) refuse(reason fault.Reason, retryAfter time.Duration, format string, args ...any) {
	err := fault.New(fault.NotRun{}, reason, format, args...)
	err.RetryAfter = retryAfter
	var finalState State
	if _, ok := r.phase.(claiming); !ok || r.claimInFlight {
		finalState = Released{Claim: r.claim}
	}
	r.end(runOutcome{err: err}, finalState)
}

// doubtful ends a request that may have run. Its claim stays in the store.
func (r *pendingRequest) endUncertain(reason fault.Reason) {
	r.end(runOutcome{err: fault.New(fault.MayHaveRun{}, reason, "request %s with key %q may have run", r.request.ID, r.request.Key)}, nil)
}

// answer lets the caller have the result.
func (r *pendingRequest) publishResult(now time.Time) {
	if r.published || r.outcome == nil {
		return
	}
	r.published = true
	r.outcome.result.Took = now.Sub(r.started)
	r.outcome.result.StoreCalls, r.outcome.result.Subrequests = r.storeCalls, len(r.subIDs)
	close(r.done)
}

// transient reports whether the same server may take the request a little
// later.
func isTransient(reason fault.Reason) bool {
	switch reason {
	case fault.ReasonOverload, fault.ReasonTerm, fault.ReasonNotOwner, fault.ReasonCold, fault.ReasonShed:
		return true
	default:
		return false
	}
}

// sub returns the sub-request of the next attempt.
func (r *pendingRequest) newSub(id uint64, server config.Server, version shard.Version) shard.Sub {
	return shard.Sub{
		ID:       id,
		Request:  r.request.ID,
		Tenant:   r.request.Tenant,
		Service:  r.request.Service,
		Server:   server.Name,
		Version:  version,
		Text:     r.request.Text,
		Class:    r.request.Class,
		Deadline: r.request.Deadline,
		Write:    true,
		Key:      r.request.Key,
	}
}
