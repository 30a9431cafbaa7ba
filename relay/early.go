package relay

import "time"

// A collection reports its first partial result before the answer is due if parts are
// still missing then. Otherwise one slow backend server holds back all parts of a
// collection, the results of all collections of a query arrive in the same moment, and a
// host that is busy then gets too few of them read in time. The remaining parts follow in
// a second result when the answer is due.
const (
	// earlyShare is when a collection reports early, as a share of its time to the
	// answer. An ordinary answer and the one to a hedge arrive before.
	earlyShare = 0.55
	// earlySpreadShare is the same for a host that passed parts on to other hosts of
	// its zone, whose early results it gets before.
	earlySpreadShare = 0.7
	// minEarlyTime is the time to the answer below which a collection does not report
	// early. A second call takes several milliseconds on hosts with a fifth of a core, and
	// between the two results a hedge must be answered.
	minEarlyTime = 80 * time.Millisecond
)

// setResultTimes sets when a collection that begins now reports partial results.
func (r *requestState) setResultTimes(now time.Time) {
	left := r.answerAt.Sub(now)
	switch {
	case left <= 0:
		r.answerAt = now.Add(lateAnswerTime)
	case left < minEarlyTime:
	case r.spread:
		r.earlyAt = now.Add(time.Duration(earlySpreadShare * float64(left)))
	default:
		r.earlyAt = now.Add(time.Duration(earlyShare * float64(left)))
	}
}

// awaitsEarlyResult reports whether a collection has yet to report an early result.
func (r *requestState) awaitsEarlyResult() bool { return !r.earlyAt.IsZero() && !r.reported }

// isEarlyResultDue reports whether a collection has something to report early.
func (r *requestState) isEarlyResultDue(now time.Time) bool {
	return r.awaitsEarlyResult() && r.answered > 0 && !now.Before(r.earlyAt)
}
