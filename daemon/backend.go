package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"hyssophub/fault"
	"hyssophub/relay"
)

const (
	// malformedLogPeriod is the time in which at most one malformed response of a
	// backend server is logged.
	malformedLogPeriod = time.Minute
	// maxMalformedServers bounds the servers that are remembered for it.
	maxMalformedServers = 1024
)

// loggedBackend logs the malformed responses of backend servers, because a server that
// sends them needs the operators' attention. Requests tell of them only if they fail.
type loggedBackend struct {
	relay.Backend
	log zerolog.Logger

	// mu guards logged, the time of the last line by instance. No other lock is
	// acquired while it is held.
	mu     sync.Mutex
	logged map[string]time.Time
}

func newLoggedBackend(backend relay.Backend, log zerolog.Logger) *loggedBackend {
	return &loggedBackend{Backend: backend, log: log, logged: make(map[string]time.Time)}
}

// Do implements relay.Backend.
func (b *loggedBackend) Do(ctx context.Context, request relay.BackendRequest) relay.Outcome {
	outcome := b.Backend.Do(ctx, request)
	failed, ok := outcome.(relay.Failed)
	if !ok || (failed.Reason != fault.ReasonTooLarge && failed.Reason != fault.ReasonTruncated) {
		return outcome
	}
	if b.isDue(request.Choice.ID, time.Now()) {
		b.log.Warn().Str("server", request.Choice.ID).Str("address", request.Choice.Address).Str("service", request.Choice.Service).
			Str("request", request.Message.ID).Str("reason", string(failed.Reason)).Err(failed.Err).Msg("malformed response of a backend server")
	}
	return outcome
}

// isDue reports whether a line about an instance is due, and records it.
func (b *loggedBackend) isDue(id string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if last, ok := b.logged[id]; ok && now.Sub(last) < malformedLogPeriod {
		return false
	}
	if len(b.logged) >= maxMalformedServers {
		clear(b.logged)
	}
	b.logged[id] = now
	return true
}
