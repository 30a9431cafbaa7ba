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
	lost := r.lost()
	if r.collecting {
		return r.concludeCollection(lost, now)
	}
	if r.gather != nil && r.hasEnough() && (!now.Before(r.answerAt) || lost == len(r.parts)-r.answered) {
		if !r.late {
			t.recordLag(now.Sub(r.answerAt))
		}
		return r.answer()
	}
	r.late = !now.Before(r.answerAt)
	if !now.Before(r.end) {
		return t.fail(r, fault.ReasonDeadline)
	}
	if r.cannotSucceed(lost) {
		return t.fail(r, fault.ReasonNoReplica)
	}
	return nil
}

// concludeCollection decides when a collection returns to the host that asked
// for it: when the answer is due, then at each further answered part, and when
// no further part can be answered.
func (r *requestState) concludeCollection(lost int, now time.Time) Result {
	late := !now.Before(r.answerAt)
	if lost == len(r.parts)-r.answered || !now.Before(r.end) || (late && (r.hasNew || !r.reported)) {
		return Merged{}
	}
	return nil
}

// lost counts the parts that can no longer be answered.
func (r *requestState) lost() int {
	lost := 0
	for i := range r.parts {
		if r.parts[i].isLost(r.attempts(), r.isRepeatable()) {
			lost++
		}
	}
	return lost
}

// cannotSucceed reports whether too many parts are lost for a success.
func (r *requestState) cannotSucceed(lost int) bool {
	if lost == 0 {
		return false
	}
	if r.gather == nil {
		return true
	}
	return float64(len(r.parts)-lost)/float64(len(r.parts)) < r.gather.MinShare
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
