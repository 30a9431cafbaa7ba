package entry

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"hyssophub/fault"
	"hyssophub/query"
	"hyssophub/stats"
)

type wireError struct {
	Request string `json:"request"`
	Verdict string `json:"verdict"`
	Reason  string `json:"reason"`
	Error   string `json:"error"`
	// Coverage is set if the coverage of a query's answer was too low.
	Coverage *wireCoverage `json:"coverage,omitempty"`
}

// overloadRetryAfter is the Retry-After time for overload errors without one.
const overloadRetryAfter = time.Second

// writeError answers a request with an error. answer is the answer of a query, or
// nil. Its coverage is included in the response if the coverage was too low.
func (h *Handler) writeError(w http.ResponseWriter, id string, labels stats.Labels, err error, answer *query.Answer) {
	verdict, reason := fault.VerdictOf(err), fault.ReasonOf(err)
	h.stats.RecordRefusal(labels, verdict.String(), string(reason))
	h.log.Debug().Str("request", id).Str("verdict", verdict.String()).Str("reason", string(reason)).Err(err).Msg("request failed")
	body := wireError{Request: id, Verdict: verdict.String(), Reason: string(reason), Error: fault.Detail(err)}
	if reason == fault.ReasonCoverage && answer != nil {
		coverage := encodeCoverage(answer.Coverage)
		body.Coverage = &coverage
	}
	if after := retryAfter(err); after > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt(int64((after+time.Second-1)/time.Second), 10))
	}
	writeJSON(w, statusOf(verdict, reason), body)
}

// retryAfter returns the time after which a caller may try again, or zero if it is
// unknown.
func retryAfter(err error) time.Duration {
	var e *fault.Error
	if !errors.As(err, &e) {
		return 0
	}
	if e.RetryAfter == 0 && e.Reason == fault.ReasonOverload {
		return overloadRetryAfter
	}
	return e.RetryAfter
}

// statusOf maps a verdict and its reason to an HTTP status. Clients and proxies
// repeat requests after 408, 429 and 503 automatically, so requests that may have
// run get other statuses.
func statusOf(verdict fault.Verdict, reason fault.Reason) int {
	switch verdict.(type) {
	case fault.MayHaveRun:
		if reason == fault.ReasonDuplicate {
			return http.StatusConflict
		}
		return http.StatusGatewayTimeout
	case fault.Ran:
		if reason == fault.ReasonCoverage {
			return http.StatusServiceUnavailable
		}
		return http.StatusBadGateway
	default:
		return statusOfNotRun(reason)
	}
}

func statusOfNotRun(reason fault.Reason) int {
	switch reason {
	case fault.ReasonBadRequest:
		return http.StatusBadRequest
	case fault.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case fault.ReasonUnknownService:
		return http.StatusNotFound
	case fault.ReasonDeadline:
		return http.StatusRequestTimeout
	case fault.ReasonOverload:
		return http.StatusTooManyRequests
	case fault.ReasonConflict:
		return http.StatusUnprocessableEntity
	case fault.ReasonInternal:
		return http.StatusInternalServerError
	default:
		return http.StatusServiceUnavailable
	}
}
