// Package flow bounds the requests that all hosts together send to a backend
// server. It owns what the servers say in their answers about the requests that
// they take, and this host's permits to send to a server with a rate limit.
// Reading answers is left to package platform, the choice of a server to package
// fleet, and the messages between hosts to package peer.
package flow

import "time"

// Server identifies one run of a backend server. A server that restarts under the
// same ID has another start time, and nothing that the former run said holds for it.
type Server struct {
	ID string
	// StartMs is the start time in milliseconds of Unix time.
	StartMs int64
	// Zone is the availability zone of the server.
	Zone string
}

// Notice is what a backend server says in an answer about the requests that it
// takes. The zero value is an answer that says nothing.
type Notice struct {
	// Limited is set if the server names a rate limit. Rate is the limit, in
	// requests a second from all hosts together.
	Limited bool
	Rate    float64
	// Pause is set if the server refused the request and wants no other one from this
	// host for so long; zero if it names no time.
	Pause time.Duration
	// Leaving is set if the server is shutting down.
	Leaving bool
}

// isEmpty reports whether the answer says nothing.
func (n Notice) isEmpty() bool { return n == Notice{} }

// MaxRate is the highest rate limit, in requests a second, that is taken to be one.
const MaxRate = 1e6

// IsRate reports whether a number is a possible rate limit, in requests a second.
func IsRate(rate float64) bool { return rate >= 0 && rate <= MaxRate }

// Change is a difference between what a server said before and says now. The
// interface is sealed.
type Change interface{ change() }

type (
	// LimitNamed means that a server names a rate limit for the first time, or
	// another one than before. Rate is in requests a second.
	LimitNamed struct {
		Server Server
		Rate   float64
	}
	// LimitEnded means that a server names no rate limit any more.
	LimitEnded struct{ Server Server }
	// PauseNamed means that a server wants no request from this host until a time.
	// Named is the time that it named, which is longer if it was cut to maxPause.
	PauseNamed struct {
		Server Server
		Named  time.Duration
		Until  time.Time
	}
	// LeavingNamed means that a server is shutting down. From is the host that said so;
	// empty if the server did.
	LeavingNamed struct {
		Server Server
		From   string
	}
)

func (LimitNamed) change()   {}
func (LimitEnded) change()   {}
func (PauseNamed) change()   {}
func (LeavingNamed) change() {}
