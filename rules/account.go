package rules

import (
	"crypto/sha256"
	"time"
)

// Key is the digest of the secret by which a client shows its account. Rules and tables
// hold digests only, so that neither a log line nor the time of a comparison tells a
// secret.
type Key [sha256.Size]byte

// NewKey returns the digest of a secret.
func NewKey(secret string) Key { return sha256.Sum256([]byte(secret)) }

// String keeps keys out of log lines.
func (Key) String() string { return "[key]" }

// Account is a client account.
type Account struct {
	Name string
	Keys []Key
	// Priority is the rank of the account's requests if HasPriority is set; it then
	// takes the place of the route's.
	HasPriority bool
	Priority    int
	// Rate, in requests a second, and Burst, in requests, bound what all hosts together
	// send for the account; a Rate of zero sets no limit.
	Rate  float64
	Burst float64
}

// Credential is what a request shows of its account. The interface is sealed.
type Credential interface{ credential() }

type (
	// NoKey is a request without a key.
	NoKey struct{}
	// OneKey is a request with a key.
	OneKey struct{ Key Key }
	// ManyKeys is a request with several keys, which shows no account.
	ManyKeys struct{}
)

func (NoKey) credential()    {}
func (OneKey) credential()   {}
func (ManyKeys) credential() {}

// Knowledge is how far a host follows the operators' changes.
type Knowledge struct {
	// Known is set once the host knows when its rules were last the newest, and Age is
	// the time since then.
	Known bool
	Age   time.Duration
	// Behind is set while another host is known to have newer changes.
	Behind bool
}

// Revocation is how a host treats keys while it cannot follow the operators' changes.
type Revocation struct {
	// Strict refuses requests with keys once the rules are older than Bound. Otherwise
	// the last known keys stay valid.
	Strict bool
	Bound  time.Duration
}

// Authorization is the decision on the account of a request. The interface is sealed.
type Authorization interface{ authorization() }

type (
	// Anonymous requests need no account.
	Anonymous struct{}
	// Authorized requests belong to an account.
	Authorized struct{ Account *Account }
	// Denied requests show no account of the rules in force.
	Denied struct{}
	// Undecided requests show a key that newer rules than the known ones may decide on.
	Undecided struct{ RetryAfter time.Duration }
)

func (Anonymous) authorization()  {}
func (Authorized) authorization() {}
func (Denied) authorization()     {}
func (Undecided) authorization()  {}

const (
	// staleRules is the age of the rules from which on a key that they lack may be a new
	// one. The store confirms the rules after each watch, at most about 3 s apart.
	staleRules = 4 * time.Second
	// undecidedRetryAfter is the time after which a client with such a key may retry,
	// which reaches another host.
	undecidedRetryAfter = 300 * time.Millisecond
)

// Authorize decides on the account of a request on a route. A key that the rules lack is
// denied at once by a host that follows the changes; a host that is behind does not know
// whether it is new.
func (v *View) Authorize(route *Route, credential Credential, known Knowledge, revocation Revocation) Authorization {
	account := v.accountOf(credential)
	switch {
	case v.Set.Accounts == nil:
		return Anonymous{}
	case account != nil && revocation.Strict && (!known.Known || known.Age > revocation.Bound):
		return Undecided{RetryAfter: undecidedRetryAfter}
	case account != nil:
		return Authorized{Account: account}
	case route.Public:
		return Anonymous{}
	}
	if _, hasKey := credential.(OneKey); hasKey && (known.Behind || !known.Known || known.Age > staleRules) {
		return Undecided{RetryAfter: undecidedRetryAfter}
	}
	return Denied{}
}

// accountOf returns the account that holds the key of a credential, or nil.
func (v *View) accountOf(credential Credential) *Account {
	if c, ok := credential.(OneKey); ok {
		return v.accounts[c.Key]
	}
	return nil
}
