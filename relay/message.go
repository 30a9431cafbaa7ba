// Package relay serves requests on the operators' routes. It owns the requests
// in progress: it selects a backend server for each part, retries and hedges
// within a budget that all hosts share, delegates parts of gathered requests to
// helpers, which are other hosts near the backend servers, and merges the
// answers. The exchanges themselves, the encoding of messages and the health of
// backend servers are left to other packages.
package relay

import (
	"context"
	"net/http"
	"time"

	"hyssophub/fault"
	"hyssophub/fleet"
	"hyssophub/flow"
	"hyssophub/rules"
)

// Message is the HTTP request of a client, which backend servers get unchanged.
type Message struct {
	// ID identifies this attempt of the client.
	ID     string
	Method string
	// URI is the path and query as the client sent them.
	URI  string
	Host string
	// Header holds the headers that are forwarded to backend servers.
	Header http.Header
	Body   []byte
}

// Request is a message with its route and the rules in force at its arrival.
type Request struct {
	Message *Message
	View    *rules.View
	Route   *rules.Route
	// Account is the client account of the request; nil if it has none.
	Account *rules.Account
	Arrived time.Time
	// NetworkTime is the part of the client's waiting time that is spent on the
	// network between the client and this host.
	NetworkTime time.Duration
	// Deadline is when the client stops waiting.
	Deadline time.Time
	// Memory accounts for the answers of servers to the request; nil counts none.
	Memory Memory
}

// Memory is the account of what a request holds until its answer has been written.
type Memory interface {
	// Keep reserves the memory of a large answer, in bytes. It returns false if there is
	// no room for it, or if the request has ended.
	Keep(bytes int64) bool
}

// Priority returns the rank of the request, that of its account before that of its
// route; 0 is the most urgent.
func (r *Request) Priority() int {
	if r.Account != nil && r.Account.HasPriority {
		return r.Account.Priority
	}
	return r.Route.Priority
}

// BackendRequest is one exchange with a backend server.
type BackendRequest struct {
	Choice   fleet.Choice
	Message  *Message
	Deadline time.Time
	// Fresh requests a connection that has not been idle for long, so that the
	// server does not close it for its idle timeout while the request is being
	// sent.
	Fresh bool
	// Again is set if the server may have got the request before. The exchange then
	// needs a connection of its own, because a second copy of the first answer may
	// still arrive on the earlier one.
	Again bool
	// Memory is that of the request.
	Memory Memory
}

// Outcome is the result of an exchange with a backend server. The interface is
// sealed.
type Outcome interface{ outcome() }

type (
	// Answered is a backend server's complete answer.
	Answered struct {
		Status int
		Header http.Header
		Body   []byte
		// Seal authenticates the answer to the client; empty if absent.
		Seal string
		// Notice is what the server said of the requests that it takes; nil if the
		// answer is not known to be from the server.
		Notice *flow.Notice
		// Unframed is set if the body ended with its connection, so that nothing
		// but the end of the connection shows it to be complete.
		Unframed bool
	}
	// Refused is proof that the server did not run the request.
	Refused struct {
		Reason fault.Reason
		// Notice is as in Answered. It is nil if no answer arrived.
		Notice *flow.Notice
	}
	// Failed is an exchange without a complete answer.
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

// isForwardable reports whether an unsuccessful answer may be returned to the
// client. Without a seal it need not be the answer of a backend server: something else
// may listen at its address. The statuses that mean that the request did not run must
// not be forwarded, as the answer does not prove it.
func (a Answered) isForwardable() bool {
	if a.Seal == "" {
		return false
	}
	switch a.Status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return false
	}
	return a.Status >= http.StatusMultipleChoices
}

// Backend performs exchanges with backend servers. Do returns by the deadline
// of the request, or soon after ctx ends.
type Backend interface {
	Do(ctx context.Context, request BackendRequest) Outcome
}

// Result is the answer to a request. The interface is sealed.
type Result interface{ result() }

type (
	// Forwarded is the unchanged answer of one backend server.
	Forwarded struct{ Answer Answered }
	// Merged is the answer to a gathered request.
	Merged struct {
		Records []byte
		// Seals are the seals of the parts that are merged.
		Seals []string
		// Missing is the number of services without an answer.
		Missing int
	}
	// Declined is the error for a request that was not answered. Its verdict
	// says whether the request may have run.
	Declined struct{ Err *fault.Error }
)

func (Forwarded) result() {}
func (Merged) result()    {}
func (Declined) result()  {}
