package work

import "runtime/debug"

// Panic is a recovered panic with the stack of its goroutine.
type Panic struct {
	Value any
	Stack []byte
}

// Recovery says what happens after a job panicked. Without Report, the panic ends
// the process as usual.
type Recovery[J any] struct {
	// Report logs and counts a panic.
	Report func(Panic)
	// End ends the request of the job, so that nobody waits for it, and gives back
	// what the job held. It may be nil.
	End func(J)
}

// Guard calls f and reports a panic of f. Without report, the panic ends the process
// as usual.
func Guard(report func(Panic), f func()) {
	if report == nil {
		f()
		return
	}
	defer func() {
		if value := recover(); value != nil {
			report(Panic{Value: value, Stack: debug.Stack()})
		}
	}()
	f()
}

// perform runs a job. A panic ends only the job: the worker goes on.
func (p *Pool[J]) perform(job J) {
	completed := false
	Guard(p.recovery.Report, func() {
		p.handle(job)
		completed = true
	})
	if !completed && p.recovery.End != nil {
		Guard(p.recovery.Report, func() { p.recovery.End(job) })
	}
}
