// Package intake decides how much a host takes in from its clients and from other hosts:
// one account of the memory of all messages in progress, a bound on the connections of each
// listener, and the least progress that a message must make. The caller reads the sockets
// and carries the decisions out.
package intake

import (
	"sync/atomic"
	"time"
)

// Kind is what an entry of the account holds memory for. The interface is sealed.
type Kind interface{ kind() }

type (
	// Head is the head of a request that is being read.
	Head struct{}
	// Body is the body of a request that is being read.
	Body struct{}
	// Held is a whole request, or a part of one, that is being served. It is never
	// evicted, because it may have run.
	Held struct{}
	// Answer is an answer that is being written.
	Answer struct{}
)

func (Head) kind()   {}
func (Body) kind()   {}
func (Held) kind()   {}
func (Answer) kind() {}

// Holder is the adapter of an entry or a connection.
type Holder interface {
	// Evict ends the reading or writing of a message, or closes a connection. It does
	// not wait and calls no method of Table.
	Evict()
}

// Entry is a message in progress. Its fields are read and changed by Table only.
type Entry struct {
	// Order is the number of the entry in the order of their starts.
	Order  uint64
	Kind   Kind
	Holder Holder
	// Address is the IP address of the sender.
	Address string
	// Bytes is the memory that the entry has reserved.
	Bytes int64
	// Moved is the number of bytes that were read or written.
	Moved int64
	// Began is the time of the start, Progressed that of the last byte.
	Began      time.Time
	Progressed time.Time
	// WindowBegan and WindowMoved are the start of the present window of progress, and
	// the bytes in it.
	WindowBegan time.Time
	WindowMoved int64
	// Ended is set once the table has evicted the entry.
	Ended bool
}

// Conn is an open connection. Its fields are read and changed by Table only.
type Conn struct {
	// Order is the number of the connection in the order of their openings.
	Order   uint64
	Holder  Holder
	Address string
	// Received is the number of bytes that have arrived, and Served that of requests
	// that have been read whole.
	Received int64
	Served   int
	// Busy is set from a request's last byte of its head to the end of its answer.
	Busy bool
	// Message is the body that is being read or the answer that is being written; nil if
	// there is neither.
	Message *Entry
	// writingSince is when the write began that is in progress, in nanoseconds of Unix
	// time; zero if there is none.
	writingSince atomic.Int64
	// Since is the time of the opening, or of the end of the last request.
	Since time.Time
}

// BeginWrite records that bytes of an answer are being written, and EndWrite that they have
// been. They take no lock.
func (c *Conn) BeginWrite(now time.Time) { c.writingSince.Store(now.UnixNano()) }

// EndWrite ends BeginWrite.
func (c *Conn) EndWrite() { c.writingSince.Store(0) }

// Decision is the answer to a wish for memory, a connection or a turn. The interface is
// sealed.
type Decision interface{ decision() }

type (
	// Granted grants it. The caller calls Evict of the holders, with no lock held.
	Granted struct{ Evicted []Holder }
	// Refused refuses it. The sender may come back after RetryAfter.
	Refused struct{ RetryAfter time.Duration }
	// Waiting delays it until Ready is closed.
	Waiting struct{ Ready <-chan struct{} }
)

func (Granted) decision() {}
func (Refused) decision() {}
func (Waiting) decision() {}

// Limits are the bounds of a host. Zero values of Memory set no bound on memory.
type Limits struct {
	// Memory bounds the memory of all entries, in bytes.
	Memory int64
	// Stall is the time without a byte after which a message may be evicted, if the
	// account is full, and the age from which a connection may be.
	Stall time.Duration
	// Window and Least are the least progress: Least bytes in each Window, or the end of
	// the message.
	Window time.Duration
	Least  int64
}

// Counts are figures for the metrics.
type Counts struct {
	// Memory is the memory that all entries have reserved, Bound its bound, in bytes.
	Memory int64
	Bound  int64
	// Connections is the number of open connections.
	Connections int
	// Refused counts wishes for memory that were refused, Evicted messages that were ended
	// for others, and Slow those that were ended for lack of progress.
	Refused uint64
	Evicted uint64
	Slow    uint64
	// Rejected counts connections that were closed at once, and Closed those that were
	// closed for others.
	Rejected uint64
	Closed   uint64
}

// Parts of a host's memory and descriptors. The rest of the memory is for the program and
// garbage that is not yet collected; the rest of the descriptors is for connections to
// servers, the store and other hosts.
const (
	// memoryShare leaves room for as much again: the answer to a request is counted in the
	// account only from the start of its writing.
	memoryShare = 0.25
	// clientShare, peerShare and statusShare are shares of the descriptors for the
	// connections of clients, of other hosts, and of each of the listeners for readiness
	// and metrics.
	clientShare = 0.5
	peerShare   = 0.2
	statusShare = 0.03
	// programBytes is the memory of an idle process, which is the same on all hosts.
	programBytes = 24 << 20
	// connectionBytes is the memory of the process for a connection without a request.
	// connectionShare is the part of the memory beyond programBytes for the connections
	// of all listeners, with the kernel's buffers.
	connectionBytes = 16 << 10
	connectionShare = 0.3
	// leastBuffer and mostBuffer are bounds of ConnLimits.Buffer, in bytes. A window of
	// leastBuffer carries 2 MB/s over a round trip of 8 ms.
	leastBuffer = 16 << 10
	mostBuffer  = 64 << 10
	// buffersCharge is what the kernel may charge for the two buffers of a connection,
	// as a multiple of the size of one: it doubles each for its own records.
	buffersCharge = 4
	// leastConnections is the least bound of a listener.
	leastConnections = 8
)

// Defaults of the progress. The platform gives clients no time limit for bodies; a request
// that needs longer for so few bytes has no time left for an answer.
const (
	DefaultStall  = 500 * time.Millisecond
	DefaultWindow = 10 * time.Second
	DefaultLeast  = 4 << 10
)

// LimitsFor returns the limits of a host with the given memory in bytes; zero sets no
// bound on memory.
func LimitsFor(memory int64) Limits {
	return Limits{Memory: int64(memoryShare * float64(memory)), Stall: DefaultStall, Window: DefaultWindow, Least: DefaultLeast}
}

// ConnLimits are the bounds on the connections of the listeners; zero sets none.
type ConnLimits struct {
	Clients, Peers, Status int
	// Buffer is the size of the kernel's receive buffer of a connection, and that of its
	// send buffer, in bytes. Zero leaves both to the system.
	Buffer int
}

// ConnLimitsFor returns the bounds of a host with the given memory in bytes and number of
// descriptors; zero means that it is not known. The memory for connections is divided
// among as many as the descriptors admit, but none gets less than leastBuffer for its
// buffers.
func ConnLimitsFor(memory int64, descriptors int) ConnLimits {
	if descriptors <= 0 && memory <= 0 {
		return ConnLimits{}
	}
	const shares = clientShare + peerShare + 2*statusShare
	all, buffer := float64(descriptors), 0
	if memory > 0 {
		bytes := connectionShare * float64(max(0, memory-programBytes)) / shares
		most := bytes / (connectionBytes + buffersCharge*leastBuffer)
		if descriptors <= 0 || most < all {
			all = most
		}
		buffer = min(mostBuffer, max(leastBuffer, int(bytes/all-connectionBytes)/buffersCharge))
	}
	bound := func(share float64) int { return max(leastConnections, int(all*share)) }
	return ConnLimits{Clients: bound(clientShare), Peers: bound(peerShare), Status: bound(statusShare), Buffer: buffer}
}
