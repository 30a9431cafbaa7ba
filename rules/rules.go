// Package rules holds the routing rules that operators publish: routes, the
// services that they lead to, size limits of requests, client accounts with their
// keys, and the availability zones that are taken out of service. It owns the matching of requests to
// routes and the order of rule versions, which only ever increase. Reading and
// decoding the rules is left to other packages.
package rules

import "time"

// Target is the destination of the requests of a route. The interface is
// sealed.
type Target interface{ target() }

type (
	// Single sends each request to one service.
	Single struct{ Service string }
	// Split distributes requests over services by weight.
	Split struct{ Parts []WeightedService }
	// Gather sends each request to every service and merges the answers.
	Gather struct {
		Services []string
		// TopK is the number of records of a merged answer.
		TopK int
		// MinShare is the smallest fraction of the services, 0 to 1, whose
		// answers make a merged answer a success.
		MinShare float64
	}
)

func (Single) target() {}
func (Split) target()  {}
func (Gather) target() {}

// WeightedService is a service of a Split with its relative weight.
type WeightedService struct {
	Service string
	Weight  float64
}

// RetryPolicy is the number of times that a request may run. The interface is
// sealed.
type RetryPolicy interface{ retryPolicy() }

type (
	// Idempotent requests may run more than once.
	Idempotent struct{}
	// AtMostOnce requests run at most once per attempt of the client.
	AtMostOnce struct{}
)

func (Idempotent) retryPolicy() {}
func (AtMostOnce) retryPolicy() {}

// Route is the rule for requests with one host name and path prefix.
type Route struct {
	Name        string
	Host        string
	Prefix      string
	Target      Target
	RetryPolicy RetryPolicy
	// Timeout is the longest time that a request waits for its answer; zero
	// sets no limit.
	Timeout time.Duration
	// TargetLatency is the response-time objective of an answer.
	TargetLatency time.Duration
	// MaxAttempts is the greatest number of backend servers that one request,
	// or one part of a gathered request, is sent to.
	MaxAttempts int
	// Priority is the rank of the requests; 0 is the most urgent.
	Priority int
	// Public requests need no account.
	Public bool
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name string
	// MaxConnections is the number of connections that one backend server of the
	// service accepts from all hosts together; zero sets no limit.
	MaxConnections int
	// ColdTime is the time after the start of a backend server during which
	// ColdRate applies.
	ColdTime time.Duration
	// ColdRate is the greatest rate, in requests per second, that a cold
	// backend server accepts from all hosts together; zero sets no limit.
	ColdRate float64
}

// Limits are the greatest sizes of a client's request, in bytes; zero sets no
// limit.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
}

// Set is one version of the operators' rules. Versions increase.
type Set struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Accounts are the client accounts; nil if requests need none.
	Accounts []Account
}
