package relay

import (
	"context"
	"time"

	"hyssophub/fault"
	"hyssophub/rules"
)

// record is a request in progress. The fields are guarded by the table's lock.
type record struct {
	request  Request
	gather   *rules.Gather
	parts    []part
	covered  int
	finished bool
	// answerAt is when a gathered request is answered with the parts that are
	// in; end is when any request gets its final answer.
	answerAt time.Time
	end      time.Time
	// late is true once the time of the answer has passed.
	late bool
	// wake tells the request's goroutine that an outcome arrived.
	wake   chan struct{}
	ctx    context.Context
	cancel context.CancelFunc
	// calls is the context of calls to other hosts, which outlives the request by
	// lateTime, so that a host that is a little late is told from a dead one.
	calls    context.Context
	endCalls context.CancelFunc

	// collecting is true if another host asked for the parts, and progress if
	// some came in since the last were handed out.
	collecting bool
	progress   bool
	// handedOut is true once parts were handed out.
	handedOut bool
	// collected are the merged records of parts that other hosts collected, and
	// resting the delegations whose remaining parts are to be waited for.
	collected [][]byte
	resting   []*delegation

	sends  int
	hedges int
	// comeBack is when a server that takes no request at present takes the next;
	// zero where nothing is known.
	comeBack time.Duration
	// ran is true once a server may have begun to work on the request.
	ran bool
}

// part is what a request needs of one service.
type part struct {
	service string
	answer  *Answered
	// failure is the last answer that was no success.
	failure *Answered
	reason  fault.Reason
	// open are the exchanges in progress.
	open []*exchange
	// tried are the instances that the part was sent to, ran counts those that
	// may have run it, and sends all exchanges.
	tried []string
	ran   int
	sends int
	// arrivals counts the exchanges that reached an instance, as far as known.
	arrivals int
	// delegation is set while another host collects the part.
	delegation *delegation
	// helper is the last host that was asked to collect the part.
	helper string
	// handed is true once the part was handed to the host that asked for it.
	handed bool
	// pause is when a part without an exchange is looked at again.
	pause time.Time
	// hedged is true once a second exchange was begun while one was open.
	hedged bool
}

// exchange is an order in progress.
type exchange struct {
	record *record
	part   int
	order  BackendRequest
	began  time.Time
	hedge  bool
}

func (p *part) isDone() bool { return p.answer != nil }

// isBusy reports whether an answer to the part is under way.
func (p *part) isBusy() bool { return len(p.open) > 0 || p.delegation != nil }

// isLost reports whether the part can get no answer any more.
func (p *part) isLost(attempts int, repeatable bool) bool {
	if p.answer != nil || p.isBusy() {
		return false
	}
	return p.ran >= attempts || p.sends >= attempts+extraSends || (p.ran > 0 && !repeatable)
}

// lostBy returns why the part has no answer.
func (p *part) lostBy() fault.Reason {
	if p.isBusy() || p.reason == "" {
		return fault.ReasonPending
	}
	return p.reason
}

// isCollected reports whether another host still collects a part.
func (r *record) isCollected() bool {
	for i := range r.parts {
		if r.parts[i].delegation != nil {
			return true
		}
	}
	return false
}

// retryAfter returns when a refused client may come back.
func (r *record) retryAfter() time.Duration { return max(refuseAfter, r.comeBack) }

func (r *record) attempts() int { return max(1, r.request.Route.MaxAttempts) }

func (r *record) share() float64 { return float64(r.covered) / float64(len(r.parts)) }

// isEnough reports whether the parts that are in make a success.
func (r *record) isEnough() bool {
	if r.gather == nil {
		return r.covered == len(r.parts)
	}
	return r.covered > 0 && r.share() >= r.gather.MinShare
}

func (r *record) isRepeatable() bool {
	_, ok := r.request.Route.RetryPolicy.(rules.Idempotent)
	return ok
}

func (p *part) close(x *exchange) {
	for i, other := range p.open {
		if other == x {
			p.open = append(p.open[:i], p.open[i+1:]...)
			return
		}
	}
}

// forget allows an instance that refused the part to be chosen again.
func (p *part) forget() { p.tried = p.tried[:0] }
