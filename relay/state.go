package relay

import (
	"cmp"
	"context"
	"time"

	"hyssophub/canary"
	"hyssophub/fault"
	"hyssophub/fleet"
	"hyssophub/rules"
)

// requestState is a request in progress. Its fields are guarded by the lock of
// the Table.
type requestState struct {
	request Request
	gather  *rules.Gather
	parts   []part
	// answered is the number of parts with an answer.
	answered int
	finished bool
	// answerAt is when a gathered request is answered if enough parts have an
	// answer, at the latest at end; end is when any request gets its final answer.
	answerAt time.Time
	end      time.Time
	// late is set if answerAt had passed when the request was last evaluated
	// without a result. The lag of this host is then not recorded.
	late bool
	// wake signals the goroutine of the request that an outcome was recorded.
	wake   chan struct{}
	ctx    context.Context
	cancel context.CancelFunc
	// fail ends the request with a cause.
	fail context.CancelCauseFunc
	// helperCtx is the context of calls to helpers. It outlives the request by
	// helperGrace, which separates a helper that is slightly late from one that
	// has failed.
	helperCtx     context.Context
	cancelHelpers context.CancelFunc

	// collecting is set if another host asked for the parts, and spread if this host
	// may pass them on to other hosts of its zone. hasNew is set if a
	// part was answered since the last partial result for that host, and
	// reported after the first partial result.
	collecting bool
	spread     bool
	// admitted is set if the collection takes a place among the requests in progress.
	admitted bool
	// collected is what the parts are collected for, until it is logged after an early
	// result.
	collected *CollectRequest
	// collectedFor is the client account that the parts are collected for.
	collectedFor string
	// earlyAt is when the first partial result is reported if parts are still missing;
	// zero if it is reported at answerAt.
	earlyAt  time.Time
	hasNew   bool
	reported bool
	// collectedRecords are the merged records from helpers. incomplete lists
	// the delegations with missing parts, for which CollectMore is to be called.
	collectedRecords [][]byte
	// reportedRecords is the number of collectedRecords in the partial results for
	// the host that asked for the parts.
	reportedRecords int
	incomplete      []*delegation
	// redelegations are delegations of parts that another helper refused, for which
	// Collect is to be called.
	redelegations []*delegation

	// groups is the number of groups of the services of the route; zero until it is
	// needed.
	groups int

	sends  int
	hedges int
	// detours counts the exchanges with an instance that was chosen because a better one
	// bounds its requests.
	detours int
	// trials counts the exchanges with servers of the target version of a roll-out.
	trials int
	// serverRetryAfter is the time after which a server that refuses requests
	// at present accepts one; zero if unknown.
	serverRetryAfter time.Duration
	// serverReason is why, empty if unknown.
	serverReason fault.Reason
	// mayHaveRun is set once a backend server may have begun to run the
	// request.
	mayHaveRun bool
}

// part is the part of a request for one service.
type part struct {
	service string
	answer  *Answered
	// failure is the last unsuccessful answer.
	failure *Answered
	reason  fault.Reason
	// open lists the exchanges in progress.
	open []*exchange
	// tried lists the instances that the part was sent to. Those from excludedFrom
	// on are not chosen again. possibleRuns counts those that may have run the part.
	// sends counts the exchanges, except those that failed with proof that the part
	// did not run.
	tried        []string
	excludedFrom int
	possibleRuns int
	sends        int
	// deliveries counts the exchanges that may have reached an instance.
	deliveries int
	// delegation is set while a helper collects the part.
	delegation *delegation
	// helper is the host that the part was last delegated to.
	helper string
	// reported is set once the part was reported to the host that asked for it.
	reported bool
	// pausedUntil is the earliest time of the next exchange after none could be
	// started.
	pausedUntil time.Time
	// unchosen is set if no instance could be chosen for the last exchange.
	// closedUntil is the time before which no instance takes the part, because all of
	// them bound their requests; zero if it is not known.
	unchosen    bool
	closedUntil time.Time
	// hedged is set once a second exchange was started while the first was
	// open.
	hedged bool
	// held is why the last attempt to start an exchange did not; nil if it did.
	held Hold
}

// exchange is a request to a backend server in progress.
type exchange struct {
	state   *requestState
	part    int
	request BackendRequest
	began   time.Time
	hedge   bool
	// ticket identifies the send in the roll-out of its service, if there is one.
	ticket canary.Ticket
	// ctx ends with the request, or once another exchange answered the part.
	ctx    context.Context
	cancel context.CancelFunc
}

func (p *part) isDone() bool { return p.answer != nil }

// isInProgress reports whether an exchange or a helper may still answer the
// part.
func (p *part) isInProgress() bool { return len(p.open) > 0 || p.delegation != nil }

// isUnanswerable reports whether the part can no longer be answered.
func (p *part) isUnanswerable(attempts int, repeatable bool) bool {
	if p.answer != nil || p.isInProgress() {
		return false
	}
	return p.possibleRuns >= attempts || p.sends >= attempts+maxUnexecutedSends || (p.possibleRuns > 0 && !repeatable)
}

// missingReason returns why the part has no answer.
func (p *part) missingReason() fault.Reason {
	if p.isInProgress() || p.reason == "" {
		return fault.ReasonPending
	}
	return p.reason
}

// possibleRuns returns the number of servers that may have run a part. A helper that
// collects the part may use all its attempts.
func (r *requestState) possibleRuns(p *part) int {
	if p.delegation != nil {
		return r.attempts()
	}
	return p.possibleRuns + len(p.open)
}

// isDelegated reports whether a helper is still collecting a part.
func (r *requestState) isDelegated() bool {
	for i := range r.parts {
		if r.parts[i].delegation != nil {
			return true
		}
	}
	return false
}

// services returns the service of each part.
func (r *requestState) services() []string {
	list := make([]string, len(r.parts))
	for i := range r.parts {
		list[i] = r.parts[i].service
	}
	return list
}

// recordRefusal records why no instance could be chosen.
func (r *requestState) recordRefusal(refusal fleet.Refusal) {
	r.serverRetryAfter, r.serverReason = refusal.RetryAfter, refusal.Reason
}

// refusalReason returns why no instance took the request.
func (r *requestState) refusalReason() fault.Reason {
	return cmp.Or(r.serverReason, fault.ReasonNoReplica)
}

// retryAfter returns the time after which a refused client may retry.
func (r *requestState) retryAfter() time.Duration { return max(refusalRetryAfter, r.serverRetryAfter) }

func (r *requestState) attempts() int { return max(1, r.request.Route.MaxAttempts) }

func (r *requestState) coverage() float64 { return float64(r.answered) / float64(len(r.parts)) }

// hasEnough reports whether the answered parts make the request a success.
func (r *requestState) hasEnough() bool {
	if r.gather == nil {
		return r.answered == len(r.parts)
	}
	return r.answered > 0 && r.coverage() >= r.gather.MinShare
}

func (r *requestState) isRepeatable() bool {
	_, ok := r.request.Route.RetryPolicy.(rules.Idempotent)
	return ok
}

func (p *part) removeOpen(x *exchange) {
	for i, other := range p.open {
		if other == x {
			p.open = append(p.open[:i], p.open[i+1:]...)
			return
		}
	}
}

// clearExcluded allows instances that were tried for the part to be chosen again.
func (p *part) clearExcluded() { p.excludedFrom = len(p.tried) }

// account returns the name of the client account; empty if the request has none.
func (r *requestState) account() string {
	if r.request.Account != nil {
		return r.request.Account.Name
	}
	return r.collectedFor
}
