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
	// Coverage is set where an answer's coverage was too low.
	Coverage *wireCoverage `json:"coverage,omitempty"`
}

// overloadAfter is the Retry-After time of overload that names none.
const overloadAfter = time.Second

// refuse answers a request with an error. answer is the one of a query whose
// coverage was too low.
func (h *Handler) refuse(w http.ResponseWriter, id string, labels stats.Labels, err error, answer *query.Answer) {
	verdict, reason := fault.VerdictOf(err), fault.ReasonOf(err)
	h.stats.RecordRefusal(labels, verdict.String(), string(reason))
	h.log.Debug().Str("request", id).Str("verdict", verdict.String()).Str("reason", string(reason)).Err(err).Msg("request refused")
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

// retryAfter returns the time after which a caller may try again; zero means
// that none is known.
func retryAfter(err error) time.Duration {
	var typed *fault.Error
	if !errors.As(err, &typed) {
		return 0
	}
	if typed.RetryAfter == 0 && typed.Reason == fault.ReasonOverload {
		return overloadAfter
	}
	return typed.RetryAfter
}

// statusOf maps a verdict and its reason to an HTTP status. Doubt has statuses
// of its own, since clients and proxies repeat requests after 408, 429 and 503
// by themselves.
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
		return statusNotRun(reason)
	}
}

func statusNotRun(reason fault.Reason) int {
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
