// Package quota keeps the caps of client accounts over all hosts together. Each cap is
// divided equally among the availability zones, and one host of each zone owns the zone's
// share. A host asks the owner of its zone for a permit before it serves a request of the
// account, and owners of other zones while that one has none or does not answer. No share
// is ever granted in two zones, so that a cut between zones changes nothing. Messages
// between the hosts are left to package peer.
package quota

import "time"

// Cap is the cap of a client account.
type Cap struct {
	Account string
	// Rate, in requests a second, and Burst, in requests, bound what all hosts together
	// serve; a Rate of zero sets no limit.
	Rate  float64
	Burst float64
	// Version is that of the rules that set the cap.
	Version uint64
}

// Bounds is how far a cap may be exceeded: within Window, all hosts together may serve
// (Rate * Window + Burst) * (1 + Excess) + Slack requests of an account.
type Bounds struct {
	Window time.Duration
	Excess float64
	Slack  float64
	// Zones are the availability zones that share each cap, also those without hosts.
	Zones []string
}

const (
	// burstTolerance is the part of the tolerance by which the owners extend the burst, and
	// startTolerance the part that new owners have saved up. The rest covers permits
	// that are used in a later window than they were granted in, and several owners of a
	// zone in one window.
	burstTolerance = 0.5
	startTolerance = 0.2
)

// tolerance returns the number of requests by which a cap may be exceeded in a window.
func (b Bounds) tolerance(c Cap) float64 {
	return b.Excess*(c.Rate*b.Window.Seconds()+c.Burst) + b.Slack
}

// Allowed returns the number of requests that all hosts together may serve in a window.
func (b Bounds) Allowed(c Cap) float64 {
	return c.Rate*b.Window.Seconds() + c.Burst + b.tolerance(c)
}

// burst returns the number of permits that the owners of a cap may save up together, and
// start that which new owners have.
func (b Bounds) burst(c Cap) float64 { return c.Burst + burstTolerance*b.tolerance(c) }

func (b Bounds) start(c Cap) float64 { return startTolerance * b.tolerance(c) }

// Claim asks a host for permits, or gives back permits that were not used.
type Claim struct {
	Number uint64
	Cap    Cap
	Want   int
	// Hosts is the number of hosts of the asked host's zone that the asking host knows,
	// live or lost; zero if it is in another zone.
	Hosts int
	// Back is the number of permits that are given back. Nothing is then asked for.
	Back int
}

// Reply answers a Claim.
type Reply struct {
	Number uint64
	Result Result
}

// Result is the decision on a Claim. The interface is sealed.
type Result interface{ result() }

type (
	// Granted permits requests.
	Granted struct{ Permits int }
	// Over says that the zone's share of the cap is used up. Wait is the time until a
	// permit is expected that no other caller was told to wait for.
	Over struct{ Wait time.Duration }
	// Elsewhere says that the asked host owns no share now. Owner is the host that does,
	// empty if none is known.
	Elsewhere struct{ Owner string }
)

func (Granted) result()   {}
func (Over) result()      {}
func (Elsewhere) result() {}

// Message is a claim for one host.
type Message struct {
	// Host and Address name the receiver.
	Host    string
	Address string
	Claim   Claim
}

// Decision is the decision on a request. The interface is sealed.
type Decision interface{ decision() }

type (
	// Admitted requests may be served. From is the host that granted the permit; empty
	// if no permit was needed.
	Admitted struct{ From string }
	// Refused requests are not served. Over is set if the account is over its cap;
	// otherwise no host that may grant a permit was reached. Asked are the hosts that were
	// asked.
	Refused struct {
		Over       bool
		RetryAfter time.Duration
		Asked      []string
	}
)

func (Admitted) decision() {}
func (Refused) decision()  {}
