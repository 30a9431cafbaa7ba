package entry

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"hyssophub/config"
	"hyssophub/fault"
	"hyssophub/shard"
	"hyssophub/strict"
)

// maxBody is the largest request body, in bytes.
const maxBody = 64 << 10

// maxTimeout is the longest time that a caller may give a request.
const maxTimeout = time.Minute

// readBody reads a request body. Its errors mean that nothing ran.
func readBody(r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, maxBody))
	if err == nil {
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, fault.New(fault.NotRun{}, fault.ReasonTooLarge, "body exceeds %d bytes", maxBody)
	}
	return nil, fault.New(fault.NotRun{}, fault.ReasonBadRequest, "body: %w", err)
}

// decodeStrict reads exactly one JSON value without unknown fields.
func decodeStrict(data []byte, target any) error {
	if _, err := strict.Decode(data, target); err != nil {
		return fault.New(fault.NotRun{}, fault.ReasonBadRequest, "body: %w", err)
	}
	return nil
}

// decodeClass returns the named class, or that of the tenant if none is named.
func decodeClass(name, tenant string, view *config.View) (shard.Class, error) {
	if known, ok := view.Tenant(tenant); ok && name == "" {
		return known.Class, nil
	}
	class, ok := shard.ParseClass(name)
	if !ok {
		return class, badField("class", name, "urgent or routine")
	}
	return class, nil
}

// decodeTimeout returns the timeout in milliseconds as a duration. It is
// compared before it is converted, since a large number would overflow.
func decodeTimeout(ms *int64, preset time.Duration) (time.Duration, error) {
	if ms == nil {
		return preset, nil
	}
	if *ms > maxTimeout.Milliseconds() {
		return 0, badField("timeout", *ms, "at most "+strconv.FormatInt(maxTimeout.Milliseconds(), 10)+" ms")
	}
	return time.Duration(max(*ms, 0)) * time.Millisecond, nil
}

func badField(field string, value any, allowed string) error {
	return fault.New(fault.NotRun{}, fault.ReasonBadRequest, "field %q is %v, allowed is %s", field, value, allowed)
}
