package relay

import (
	"time"

	"hyssophub/fault"
)

// conclude returns the answer to a request if it is due, and nil otherwise.
func (t *Table) conclude(r *record, now time.Time) Result {
	if r.covered == len(r.parts) {
		return r.answer()
	}
	lost := r.lost()
	if r.collecting {
		return r.concludeShare(lost, now)
	}
	if r.gather != nil && r.isEnough() && (!now.Before(r.answerAt) || lost == len(r.parts)-r.covered) {
		if !r.late {
			t.late(now.Sub(r.answerAt))
		}
		return r.answer()
	}
	r.late = !now.Before(r.answerAt)
	if !now.Before(r.end) {
		return t.giveUp(r, fault.ReasonDeadline)
	}
	if r.isHopeless(lost) {
		return t.giveUp(r, fault.ReasonNoReplica)
	}
	return nil
}

// concludeShare ends a collection for another host: when nothing more can
// come, and with what is in at the time of the answer. After that, each part
// that comes in is handed out at once.
func (r *record) concludeShare(lost int, now time.Time) Result {
	late := !now.Before(r.answerAt)
	if lost == len(r.parts)-r.covered || !now.Before(r.end) || (late && (r.progress || !r.handedOut)) {
		return Merged{}
	}
	return nil
}

// lost counts the parts that can get no answer any more.
func (r *record) lost() int {
	lost := 0
	for i := range r.parts {
		if r.parts[i].isLost(r.attempts(), r.isRepeatable()) {
			lost++
		}
	}
	return lost
}

// isHopeless reports whether too many parts are lost for a success.
func (r *record) isHopeless(lost int) bool {
	if lost == 0 {
		return false
	}
	if r.gather == nil {
		return true
	}
	return float64(len(r.parts)-lost)/float64(len(r.parts)) < r.gather.MinShare
}

// giveUp returns the final answer to a request that was not served. A server's
// own failure is passed on; without one, the verdict tells what is known.
func (t *Table) giveUp(r *record, reason fault.Reason) Result {
	if r.gather == nil && r.parts[0].failure != nil && r.parts[0].failure.isPassable() {
		return Forwarded{Answer: *r.parts[0].failure}
	}
	if r.ran || r.isOpen() {
		return declined(fault.MayHaveRun{}, reason, 0)
	}
	return declined(fault.NotRun{}, reason, r.retryAfter())
}

func (r *record) isOpen() bool {
	for i := range r.parts {
		if r.parts[i].isBusy() {
			return true
		}
	}
	return false
}

func declined(verdict fault.Verdict, reason fault.Reason, after time.Duration) Declined {
	err := fault.New(verdict, reason, "no backend server answered")
	err.RetryAfter = after
	return Declined{Err: err}
}

func (r *record) answer() Result {
	if r.gather == nil {
		return Forwarded{Answer: *r.parts[0].answer}
	}
	return r.merge()
}
