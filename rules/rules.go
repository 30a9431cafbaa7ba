// Package rules is the aggregate of the operators' routing rules: which
// requests are allowed, to which services they go, and which availability
// zones are out. Rules only ever move to newer versions.
package rules

import "time"

// Target says where the requests of a route go. The interface is sealed.
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
		// MinShare is the least share of services, 0 to 1, of an answer that
		// counts as a success.
		MinShare float64
	}
)

func (Single) target() {}
func (Split) target()  {}
func (Gather) target() {}

// WeightedService is a service with its share of a Split.
type WeightedService struct {
	Service string
	Weight  float64
}

// RetryPolicy says how often a request may run. The interface is sealed.
type RetryPolicy interface{ repeat() }

type (
	// Idempotent requests may run more than once.
	Idempotent struct{}
	// AtMostOnce requests may run once for each attempt of the client.
	AtMostOnce struct{}
)

func (Idempotent) repeat() {}
func (AtMostOnce) repeat() {}

// Route is a rule for the requests of one host name and path prefix.
type Route struct {
	Name        string
	Host        string
	Prefix      string
	Target      Target
	RetryPolicy RetryPolicy
	// Timeout is the longest time that a request may be kept waiting; zero
	// sets no limit.
	Timeout time.Duration
	// TargetLatency is the response-time objective of an answer.
	TargetLatency time.Duration
	// MaxAttempts bounds the backend servers that one request, or one part of a
	// gathered request, is sent to.
	MaxAttempts int
	// Priority is the rank of the requests; 0 is the highest.
	Priority int
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name string
	// MaxConnections is the number of connections that one backend server of the
	// service accepts from all hosts together; zero sets no limit.
	MaxConnections int
	// ColdTime is how long a backend server stays cold after its start.
	ColdTime time.Duration
	// ColdRate is the rate in requests per second that a cold backend server
	// bears from all hosts together; zero sets no limit.
	ColdRate float64
}

// Limits bound what a client may send, in bytes; zero sets no limit.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
}

// Set is one version of the operators' rules.
type Set struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
}
