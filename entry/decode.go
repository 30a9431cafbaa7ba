package entry

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"hyssophub/config"
	"hyssophub/fault"
	"hyssophub/limits"
	"hyssophub/shard"
	"hyssophub/strict"
)

// maxBodyBytes is the largest size of a request body.
const maxBodyBytes = 64 << 10

// maxTimeout is the longest timeout that a caller may set.
const maxTimeout = time.Minute

// readBody reads a request body. Its errors have the verdict NotRun.
func readBody(r *http.Request) ([]byte, error) {
	body, err := limits.ReadBody(nil, r, maxBodyBytes)
	if err == nil {
		return body, nil
	}
	var (
		tooLarge *http.MaxBytesError
		refused  *limits.Refusal
	)
	switch {
	case errors.As(err, &refused):
		return nil, &fault.Error{Verdict: fault.NotRun{}, Reason: fault.ReasonOverload, RetryAfter: refused.RetryAfter, Err: err}
	case errors.Is(err, limits.ErrSlow):
		return nil, fault.New(fault.NotRun{}, fault.ReasonDeadline, "body: %w", err)
	case errors.As(err, &tooLarge):
		return nil, fault.New(fault.NotRun{}, fault.ReasonTooLarge, "body exceeds %d bytes", maxBodyBytes)
	}
	return nil, fault.New(fault.NotRun{}, fault.ReasonBadRequest, "body: %w", err)
}

// decodeStrict decodes exactly one JSON value without unknown fields. Its errors
// have the verdict NotRun.
func decodeStrict(data []byte, target any) error {
	if _, err := strict.Decode(data, target); err != nil {
		return fault.New(fault.NotRun{}, fault.ReasonBadRequest, "body: %w", err)
	}
	return nil
}

// decodeClass returns the class with the given name. An empty name means the
// configured class of the tenant.
func decodeClass(name, tenant string, view *config.View) (shard.Class, error) {
	if configured, ok := view.Tenant(tenant); ok && name == "" {
		return configured.Class, nil
	}
	class, ok := shard.ParseClass(name)
	if !ok {
		return class, invalidField("class", name, "urgent or routine")
	}
	return class, nil
}

// decodeTimeout converts a timeout in milliseconds, or returns fallback if ms is
// nil. It checks the limit before the conversion, which would overflow for large
// numbers. Negative timeouts count as zero.
func decodeTimeout(ms *int64, fallback time.Duration) (time.Duration, error) {
	if ms == nil {
		return fallback, nil
	}
	if *ms > maxTimeout.Milliseconds() {
		return 0, invalidField("timeout", *ms, "at most "+strconv.FormatInt(maxTimeout.Milliseconds(), 10)+" ms")
	}
	return time.Duration(max(*ms, 0)) * time.Millisecond, nil
}

// invalidField returns an error with the verdict NotRun.
func invalidField(field string, value any, allowed string) error {
	return fault.New(fault.NotRun{}, fault.ReasonBadRequest, "field %q is %v, allowed is %s", field, value, allowed)
}
