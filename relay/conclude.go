package relay

import (
	"time"

	"hyssophub/fault"
)

// conclude returns the result of a request if it is decided, and nil otherwise.
func (t *Table) conclude(r *requestState, now time.Time) Result {
	if r.answered == len(r.parts) {
		return r.answer()
	}
	unanswerable := r.countUnanswerable()
	if r.collecting {
		return r.concludeCollection(unanswerable, now)
	}
	if r.gather != nil && r.hasEnough() && (!now.Before(r.answerAt) || unanswerable == len(r.parts)-r.answered) {
		if !r.late {
			t.recordLag(now.Sub(r.answerAt), now)
		}
		return r.answer()
	}
	r.late = !now.Before(r.answerAt)
	if !now.Before(r.end) {
		return t.fail(r, fault.ReasonDeadline)
	}
	if r.cannotSucceed(unanswerable) {
		return t.fail(r, fault.ReasonNoReplica)
	}
	return nil
}

// concludeCollection decides when a collection returns to the host that asked
// for it: when the answer is due, then at each further answered part, and when
// no further part can be answered. Late parts are not held back to report several
// at once, because those just after that time may still make the caller's objective.
func (r *requestState) concludeCollection(unanswerable int, now time.Time) Result {
	late := !now.Before(r.answerAt)
	if unanswerable == len(r.parts)-r.answered || !now.Before(r.end) || (late && (r.hasNew || !r.reported)) || r.isEarlyResultDue(now) {
		return Merged{}
	}
	return nil
}

// countUnanswerable counts the parts that can no longer be answered.
func (r *requestState) countUnanswerable() int {
	unanswerable := 0
	for i := range r.parts {
		if r.parts[i].isUnanswerable(r.attempts(), r.isRepeatable()) {
			unanswerable++
		}
	}
	return unanswerable
}

// cannotSucceed reports whether too few parts can still be answered for a success.
func (r *requestState) cannotSucceed(unanswerable int) bool {
	if unanswerable == 0 {
		return false
	}
	if r.gather == nil {
		return true
	}
	return float64(len(r.parts)-unanswerable)/float64(len(r.parts)) < r.gather.MinShare
}

// fail returns the result of a request that cannot succeed. For a request to
// one service, a failure that the backend server reported is forwarded.
// Otherwise the verdict is NotRun only if no server can have run the request.
func (t *Table) fail(r *requestState, reason fault.Reason) Result {
	if r.gather == nil && r.parts[0].failure != nil && r.parts[0].failure.isForwardable() {
		return Forwarded{Answer: *r.parts[0].failure}
	}
	if r.mayHaveRun || r.hasOpenParts() {
		return declined(fault.MayHaveRun{}, reason, 0)
	}
	return declined(fault.NotRun{}, reason, r.retryAfter())
}

func (r *requestState) hasOpenParts() bool {
	for i := range r.parts {
		if r.parts[i].isInProgress() {
			return true
		}
	}
	return false
}

func declined(verdict fault.Verdict, reason fault.Reason, retryAfter time.Duration) Declined {
	err := fault.New(verdict, reason, "no backend server answered")
	err.RetryAfter = retryAfter
	return Declined{Err: err}
}

func (r *requestState) answer() Result {
	if r.gather == nil {
		return Forwarded{Answer: *r.parts[0].answer}
	}
	return r.merge()
}
