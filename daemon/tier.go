package daemon

import (
	"context"

	"github.com/rs/zerolog"

	"hyssophub/feed"
	"hyssophub/relay"
)

// tier serves the other hosts. It implements peer.RelayHandler.
type tier struct{ *Relay }

// Collect implements peer.RelayHandler.
func (t tier) Collect(ctx context.Context, share relay.CollectRequest) (relay.PartialResult, error) {
	c, err := t.engine.Collect(ctx, share)
	switch {
	case err != nil:
		t.requests.Warn().Err(err).Str("request", share.Message.ID).Str("route", share.Route).Msg("parts not collected")
	case len(c.Missing) > 0:
		t.logMissing(share, c)
	}
	return c, err
}

// logMissing writes one line for a collection that left parts out.
func (t tier) logMissing(share relay.CollectRequest, c relay.PartialResult) {
	lost := zerolog.Arr()
	for _, m := range c.Missing[:min(len(c.Missing), maxLostLogged)] {
		lost.Dict(zerolog.Dict().Str("service", share.Services[m.Index]).Str("reason", string(m.Reason)).Int("ran", m.PossibleRuns).Strs("tried", m.Tried))
	}
	t.requests.Info().Str("request", share.Message.ID).Str("route", share.Route).Uint64("version", share.Version).
		Int("parts", len(share.Services)).Int("missing", len(c.Missing)).Array("lost", lost).
		Dur("answer", share.TimeToAnswer).Msg("parts collected for another host")
}

// CollectMore implements peer.RelayHandler.
func (t tier) CollectMore(ctx context.Context, token uint64) (relay.PartialResult, error) {
	return t.engine.CollectMore(ctx, token)
}

// ChangesAfter implements peer.RelayHandler.
func (t tier) ChangesAfter(revision uint64) feed.Update { return t.keeper.ChangesAfter(revision) }
