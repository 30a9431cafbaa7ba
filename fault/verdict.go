// Package fault defines the verdict on whether a request may have run, and the
// error type that carries the verdict and a reason between packages and hosts.
// How errors are encoded is left to the packages that send them.
package fault

// Verdict states whether a request may have run on a backend server. The
// interface is sealed: NotRun, MayHaveRun and Ran are its only implementations.
type Verdict interface {
	verdict()
	String() string
}

type (
	// NotRun is proof that the request did not run and never will.
	NotRun struct{}
	// MayHaveRun means that the request could have reached a backend server.
	MayHaveRun struct{}
	// Ran means that a backend server confirmed that it ran the request.
	Ran struct{}
)

func (NotRun) verdict()     {}
func (MayHaveRun) verdict() {}
func (Ran) verdict()        {}

// Names of the verdicts in answers, messages and logs.
const (
	nameNotRun     = "not_run"
	nameMayHaveRun = "may_have_run"
	nameRan        = "ran"
)

func (NotRun) String() string     { return nameNotRun }
func (MayHaveRun) String() string { return nameMayHaveRun }
func (Ran) String() string        { return nameRan }

// ParseVerdict returns the verdict with the given name. Unknown names yield
// MayHaveRun, the only verdict that is safe to assume without proof.
func ParseVerdict(name string) Verdict {
	switch name {
	case nameNotRun:
		return NotRun{}
	case nameRan:
		return Ran{}
	default:
		return MayHaveRun{}
	}
}
