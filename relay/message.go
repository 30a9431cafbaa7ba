// Package relay is the aggregate of requests in progress on the operators'
// routes: it chooses backend servers, repeats and hedges within the limits of
// the whole fleet, and merges the answers of gathered requests.
package relay

import (
	"context"
	"net/http"
	"time"

	"hyssophub/fault"
	"hyssophub/fleet"
	"hyssophub/rules"
)

// Message is a client's request, which is passed on unchanged.
type Message struct {
	// ID is the client's id of this attempt.
	ID     string
	Method string
	// URI is the path and query as the client sent them.
	URI  string
	Host string
	// Header holds the headers that are passed on.
	Header http.Header
	Body   []byte
}

// Request is a message with the rule that it matched.
type Request struct {
	Message *Message
	View    *rules.View
	Route   *rules.Route
	Arrived time.Time
	// NetworkTime is the part of the client's waiting time that passes on the network.
	NetworkTime time.Duration
	// Deadline is the end of the client's patience.
	Deadline time.Time
}

// BackendRequest is one exchange with a backend server.
type BackendRequest struct {
	Choice   fleet.Choice
	Message  *Message
	Deadline time.Time
	// Fresh asks for a connection on which an idle timeout of the server
	// cannot cross the request.
	Fresh bool
}

// Outcome is the result of an order. The interface is sealed.
type Outcome interface{ outcome() }

type (
	// Answered is a backend server's complete answer.
	Answered struct {
		Status int
		Header http.Header
		Body   []byte
		// Seal authenticates the answer to the client; empty if absent.
		Seal string
	}
	// Refused is proof that the server did not run the request.
	Refused struct {
		Reason     fault.Reason
		RetryAfter time.Duration
	}
	// Failed means that no complete answer came.
	Failed struct {
		Verdict fault.Verdict
		Reason  fault.Reason
		Err     error
	}
)

func (Answered) outcome() {}
func (Refused) outcome()  {}
func (Failed) outcome()   {}

// IsSuccess reports whether the answer is a sealed 2xx.
func (a Answered) IsSuccess() bool {
	return a.Status >= http.StatusOK && a.Status < http.StatusMultipleChoices && a.Seal != ""
}

// isPassable reports whether an answer that is no success may go to the client.
// A 2xx without a seal must not look like a success, and the statuses that
// promise that nothing ran must not be passed on without the proof.
func (a Answered) isPassable() bool {
	switch a.Status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return false
	}
	return a.Status >= http.StatusMultipleChoices
}

// Backend performs exchanges with backend servers. Do returns by the order's
// deadline, or soon after ctx ends.
type Backend interface {
	Do(ctx context.Context, order BackendRequest) Outcome
}

// Result is the answer to a request. The interface is sealed.
type Result interface{ result() }

type (
	// Forwarded is one server's answer, passed on unchanged.
	Forwarded struct{ Answer Answered }
	// Merged is the answer to a gathered request.
	Merged struct {
		Records []byte
		// Seals are those of the included parts.
		Seals []string
		// Missing is the number of services that are left out.
		Missing int
	}
	// Declined is a request without an answer. Its verdict says whether it may
	// have run.
	Declined struct{ Err *fault.Error }
)

func (Forwarded) result() {}
func (Merged) result()    {}
func (Declined) result()  {}
