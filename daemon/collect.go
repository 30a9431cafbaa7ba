package daemon

import (
	"context"

	"github.com/rs/zerolog"

	"hyssophub/feed"
	"hyssophub/relay"
	"hyssophub/store"
)

// relayHandler answers calls from other hosts. It implements peer.RelayHandler.
type relayHandler struct{ *Relay }

// Collect implements peer.RelayHandler.
func (h relayHandler) Collect(ctx context.Context, request relay.CollectRequest) (relay.PartialResult, error) {
	partial, err := h.engine.Collect(ctx, request)
	switch {
	case err != nil:
		h.requestLog.Warn().Err(err).Str("request", request.Message.ID).Str("route", request.Route).Msg("parts not collected")
	case len(partial.Missing) > 0:
		h.logMissing(request, partial)
	}
	return partial, err
}

// logMissing logs a collection whose result lacks parts.
func (h relayHandler) logMissing(request relay.CollectRequest, partial relay.PartialResult) {
	missingParts := zerolog.Arr()
	for _, m := range partial.Missing[:min(len(partial.Missing), maxPartsLogged)] {
		missingParts.Dict(zerolog.Dict().Str("service", request.Services[m.Index]).Str("reason", string(m.Reason)).Int("ran", m.PossibleRuns).Strs("tried", m.Tried).Str("held", nameOfHold(m.Held)))
	}
	h.requestLog.Info().Str("request", request.Message.ID).Str("route", request.Route).Uint64("version", request.Version).
		Int("parts", len(request.Services)).Int("missing", len(partial.Missing)).Array("lost", missingParts).
		Dur("answer", request.TimeToAnswer).Msg("parts collected for another host")
}

// nameOfHold returns the word for a log line.
func nameOfHold(h relay.Hold) string {
	switch h.(type) {
	case relay.HeldByBudget:
		return "budget"
	case relay.HeldByConnections:
		return "connections"
	case relay.HeldByBound:
		return "bound"
	case relay.HeldByServers:
		return "servers"
	}
	return ""
}

// CollectMore implements peer.RelayHandler.
func (h relayHandler) CollectMore(ctx context.Context, token uint64) (relay.PartialResult, error) {
	partial, err := h.engine.CollectMore(ctx, token)
	if err == nil && partial.Request != nil && len(partial.Missing) > 0 {
		h.logMissing(*partial.Request, partial)
	}
	return partial, err
}

// ChangesAfter implements peer.RelayHandler.
func (h relayHandler) ChangesAfter(position store.Position) feed.Update {
	return h.syncer.ChangesAfter(position)
}
