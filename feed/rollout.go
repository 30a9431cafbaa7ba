package feed

import (
	"time"

	"hyssophub/canary"
)

type (
	// RolloutOrdered is an order to move the traffic of a service to a version.
	RolloutOrdered struct{ Order canary.Order }
	// RolloutWithdrawn means that the order for a service was deleted.
	RolloutWithdrawn struct{ Service string }
	// RolloutReported is the status of a roll-out in the store.
	RolloutReported struct{ Status canary.Status }
	// RolloutForgotten means that the status for a service was deleted at a revision.
	RolloutForgotten struct {
		Service  string
		Revision uint64
	}
)

func (RolloutOrdered) change()   {}
func (RolloutWithdrawn) change() {}
func (RolloutReported) change()  {}
func (RolloutForgotten) change() {}

// UseRollouts makes the syncer keep the roll-outs of services' versions in step with the
// store. It is to be called before Start.
func (s *Syncer) UseRollouts(rollouts *canary.Table) { s.rollouts = rollouts }

// applyRollout applies a change of a roll-out, and ignores all others.
func (s *Syncer) applyRollout(change Change, now time.Time) {
	if s.rollouts == nil {
		return
	}
	switch c := change.(type) {
	case RolloutOrdered:
		s.rollouts.SetOrder(c.Order, now)
		s.log.Info().Str("service", c.Order.Service).Str("target", c.Order.Target).Dur("duration", c.Order.Duration).
			Uint64("revision", c.Order.Revision).Msg("roll-out ordered")
	case RolloutWithdrawn:
		s.rollouts.Withdraw(c.Service)
		s.log.Info().Str("service", c.Service).Msg("roll-out withdrawn")
	case RolloutReported:
		s.rollouts.SetStatus(c.Status, now)
		s.log.Info().Str("service", c.Status.Service).Str("target", c.Status.Target).Str("stage", canary.NameOf(c.Status.Stage)).
			Uint64("revision", c.Status.Revision).Msg("status of a roll-out in the store")
	case RolloutForgotten:
		s.rollouts.DropStatus(c.Service, c.Revision)
	}
}
