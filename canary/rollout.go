// Package canary decides which version of a service gets a request while operators move
// its traffic to another version: how many requests the new version gets, whether it is
// worse than the old one, and which verdict is to be stored. Its table is soft state; the
// verdict itself is in the platform's store. Sending datagrams and writing to the store
// are left to packages peer and platform.
package canary

import (
	"math"
	"time"
)

// Order is the operators' order to move the traffic of a service to a version.
type Order struct {
	Service string
	Target  string
	// Duration is the time from the order within which the verdict is due.
	Duration time.Duration
	// Revision is the store revision of the order.
	Revision uint64
}

// Status is the state of a roll-out in the store.
type Status struct {
	Service string
	Target  string
	// Stage is Observing, Complete or RolledBack.
	Stage    Stage
	Revision uint64
}

// Stage is the stage of a roll-out. The interface is sealed.
type Stage interface{ stage() }

type (
	// Observing sends a small share of the requests to the target version.
	Observing struct{}
	// Moving sends all requests to the target version while the old servers still run.
	Moving struct{}
	// RolledBack sends none to the target version.
	RolledBack struct{}
	// Complete sends all requests to the target version. The old servers stop. It
	// follows only from the status in the store.
	Complete struct{}
)

func (Observing) stage()  {}
func (Moving) stage()     {}
func (RolledBack) stage() {}
func (Complete) stage()   {}

// rankOf orders the stages: of two hosts that differ, the one with the lower stage adopts
// the higher one.
func rankOf(s Stage) int {
	switch s.(type) {
	case Moving:
		return 1
	case RolledBack:
		return 2
	case Complete:
		return 3
	default:
		return 0
	}
}

// NameOf returns the name of a stage for logs, metrics and messages.
func NameOf(s Stage) string {
	switch s.(type) {
	case Moving:
		return "moving"
	case RolledBack:
		return "rolled-back"
	case Complete:
		return "complete"
	default:
		return "observing"
	}
}

// Key identifies what a Tally counts.
type Key struct {
	Server string
	// Zone is that of the server.
	Zone string
	// IsTarget is set if the server runs the target version.
	IsTarget bool
	Route    string
	// IsNear is set if the server is in the zone of the host.
	IsNear bool
	// IsMove is set for sends during the move, which have no others beside them to compare
	// them with.
	IsMove bool
}

// Tally counts the exchanges of one host. The counts only grow.
type Tally struct {
	Sent uint32
	// Answers counts the answers, of which Failed are failures.
	Answers uint32
	Failed  uint32
	// Lost counts the exchanges whose answer was lost after the request was sent.
	Lost uint32
	// Times counts the good answers by their times, Waits the exchanges that were given
	// up by the times until then. Those with cold servers are left out.
	Times Histogram
	Waits Histogram
}

// Histogram counts times by buckets. The time of each bucket is bucketFactor times that of
// the one before it.
type Histogram [Buckets]uint32

const (
	// Buckets is the number of buckets: from firstBucket to 5 s.
	Buckets      = 26
	firstBucket  = time.Millisecond
	bucketFactor = math.Sqrt2
)

// bucketOf returns the bucket of a time.
func bucketOf(took time.Duration) int {
	if took <= firstBucket {
		return 0
	}
	return min(Buckets-1, int(math.Log(float64(took)/float64(firstBucket))/math.Log(bucketFactor)))
}

func (h Histogram) max(other Histogram) Histogram {
	for i := range h {
		h[i] = max(h[i], other[i])
	}
	return h
}

func (t Tally) max(other Tally) Tally {
	return Tally{
		Sent:    max(t.Sent, other.Sent),
		Answers: max(t.Answers, other.Answers),
		Failed:  max(t.Failed, other.Failed),
		Lost:    max(t.Lost, other.Lost),
		Times:   t.Times.max(other.Times),
		Waits:   t.Waits.max(other.Waits),
	}
}

// plus returns the sum of two tallies; minus, which is part of one, is taken off.
func (t Tally) plus(other, minus Tally) Tally {
	t.Sent += other.Sent - minus.Sent
	t.Answers += other.Answers - minus.Answers
	t.Failed += other.Failed - minus.Failed
	t.Lost += other.Lost - minus.Lost
	for i := range t.Times {
		t.Times[i] += other.Times[i] - minus.Times[i]
		t.Waits[i] += other.Waits[i] - minus.Waits[i]
	}
	return t
}

// Row is a Tally with what it counts.
type Row struct {
	Key
	Tally
}

// Report is what a host tells another one of a roll-out.
type Report struct {
	Host string
	// Incarnation tells two runs of the host apart, whose counts add up.
	Incarnation uint64
	Service     string
	Target      string
	// Revision is that of the order, Age the time since it.
	Revision uint64
	Age      time.Duration
	Stage    Stage
	// Reason says why the stage is RolledBack.
	Reason string
	// Open is the number of exchanges with old servers in progress.
	Open int
	// Senders is the number of hosts that send to the service, as far as the host knows.
	Senders int
	// Rows are cumulative counts; rows that did not change may be left out.
	Rows []Row
}

// Result is what an exchange says about a version. The interface is sealed.
type Result interface{ result() }

type (
	// Served is a good answer.
	Served struct{ Took time.Duration }
	// Failed is an answer that is a failure.
	Failed struct{}
	// Lost is an exchange whose connection ended without an answer after the request
	// was sent.
	Lost struct{}
	// GivenUp is an exchange that the host ended before an answer.
	GivenUp struct{ After time.Duration }
	// Neutral says nothing about the version: the server refused the request, or it was
	// not sent.
	Neutral struct{}
)

func (Served) result()  {}
func (Failed) result()  {}
func (Lost) result()    {}
func (GivenUp) result() {}
func (Neutral) result() {}

// Member is an entry host as this host knows it.
type Member struct {
	Name string
	// Address is the UDP address for reports.
	Address string
	Live    bool
	Joined  bool
}
