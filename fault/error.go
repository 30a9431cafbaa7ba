package fault

import (
	"errors"
	"time"

	"github.com/samber/oops"
)

// Reason classifies a failure. Its text is part of the interface to callers.
type Reason string

// Reasons of failures and of missing coverage.
const (
	ReasonBadRequest     Reason = "bad_request"
	ReasonTooLarge       Reason = "too_large"
	ReasonUnknownService Reason = "unknown_service"
	ReasonDeadline       Reason = "deadline"
	// ReasonOverload: no capacity is available in time.
	ReasonOverload Reason = "overload"
	// ReasonZoneOut: operators took the availability zone out of service.
	ReasonZoneOut Reason = "zone_out"
	// ReasonPending: no answer had arrived when the result was returned.
	ReasonPending Reason = "pending"
	// ReasonClientLeft: the client closed its connection before the answer.
	ReasonClientLeft Reason = "client_left"
	// ReasonZoneCut: the availability zone of the host is cut off from the
	// other zones.
	ReasonZoneCut Reason = "zone_cut"
	// ReasonStaleConfiguration: the configuration of the host is too old to
	// dispatch by it.
	ReasonStaleConfiguration Reason = "stale_configuration"
	ReasonNotOwner           Reason = "not_owner"
	// ReasonTermLapsed: the heartbeat echoes that permit the owner to dispatch
	// have expired.
	ReasonTermLapsed Reason = "term_lapsed"
	// ReasonCold: the server is being ramped up and has no capacity available
	// in time.
	ReasonCold     Reason = "cold"
	ReasonDraining Reason = "draining"
	// ReasonDown: the server or host refused the connection.
	ReasonDown Reason = "down"
	// ReasonOwnerDown: the owner of the server refused the connection, because it
	// has stopped. The server's next owner accepts work within a moment.
	ReasonOwnerDown Reason = "owner_down"
	// ReasonShed: the backend server rejected the request because of overload.
	ReasonShed Reason = "shed"
	// ReasonSilentConnection: the connection gave no answer although the server
	// is reachable.
	ReasonSilentConnection Reason = "silent_connection"
	// ReasonConnection: the connection failed.
	ReasonConnection Reason = "connection"
	// ReasonTruncated: the answer was incomplete or could not be decoded.
	ReasonTruncated Reason = "truncated"
	// ReasonVersionMissing: the index version is not available on the server.
	ReasonVersionMissing Reason = "version_missing"
	ReasonNoReplica      Reason = "no_replica"
	// ReasonRateLimit: the servers name a rate limit, and this host has no permit.
	ReasonRateLimit Reason = "rate_limit"
	// ReasonPause: the servers want no request from this host for some time.
	ReasonPause Reason = "pause"
	// ReasonCoverage: the answer covers less than the caller accepts.
	ReasonCoverage         Reason = "coverage"
	ReasonStoreUnavailable Reason = "store_unavailable"
	// ReasonDuplicate: another request with the same idempotency key is not
	// finished.
	ReasonDuplicate     Reason = "duplicate"
	ReasonStopping      Reason = "stopping"
	ReasonInternal      Reason = "internal"
	ReasonNotAuthorized Reason = "not_authorized"
	// ReasonUnknownKey: no client account of the rules in force has the key.
	ReasonUnknownKey Reason = "unknown_key"
	// ReasonAccountRate: the client account is over its rate for all hosts together.
	ReasonAccountRate Reason = "account_rate"
	// ReasonCapUnknown: no host that may grant a permit for the client account was reached.
	ReasonCapUnknown Reason = "cap_unknown"
	// ReasonConflict: the idempotency key was used for a different request.
	ReasonConflict Reason = "conflict"
)

// ConcernsOwner reports whether a refusal is about the host that was asked
// rather than the backend server. The sub-request reached no backend server,
// and the server's next owner accepts work within a moment.
func (r Reason) ConcernsOwner() bool {
	switch r {
	case ReasonNotOwner, ReasonTermLapsed, ReasonStopping, ReasonOwnerDown:
		return true
	default:
		return false
	}
}

// Error is a failure with a verdict. RetryAfter is zero if the time after which
// to retry is unknown.
type Error struct {
	Verdict    Verdict
	Reason     Reason
	RetryAfter time.Duration
	Err        error
}

// Error returns the reason, the verdict and the cause.
func (e *Error) Error() string {
	text := string(e.Reason) + " (" + e.Verdict.String() + ")"
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// New returns an Error with a formatted cause and a stack trace of its origin.
func New(verdict Verdict, reason Reason, format string, args ...any) *Error {
	return &Error{Verdict: verdict, Reason: reason, Err: oops.Errorf(format, args...)}
}

// VerdictOf returns the verdict that err carries, NotRun for nil, and
// MayHaveRun for an error without a verdict.
func VerdictOf(err error) Verdict {
	if err == nil {
		return NotRun{}
	}
	var typed *Error
	if errors.As(err, &typed) {
		return typed.Verdict
	}
	return MayHaveRun{}
}

// ReasonOf returns the reason that err carries, or ReasonInternal.
func ReasonOf(err error) Reason {
	var typed *Error
	if errors.As(err, &typed) {
		return typed.Reason
	}
	return ReasonInternal
}

// Detail returns the cause of err without its reason and verdict, for answers
// that have separate fields for them.
func Detail(err error) string {
	var typed *Error
	if errors.As(err, &typed) && typed.Err != nil {
		return typed.Err.Error()
	}
	return err.Error()
}
