package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"hyssophub/codec"
	"hyssophub/member"
	"hyssophub/shard"
	"hyssophub/store"
)

// pulseQueue bounds the heartbeats that wait to be handled.
const pulseQueue = 4096

// pulseJob is what the pulse worker does. The interface is sealed. The worker
// does nothing that waits for another process, because a late tick looks like
// a pause of the host.
type pulseJob interface{ pulseJob() }

type (
	tickJob struct{}
	beatJob struct{ beat member.Heartbeat }
)

func (tickJob) pulseJob() {}
func (beatJob) pulseJob() {}

// HandleHeartbeat takes a heartbeat from the network.
func (c *Core) HandleHeartbeat(b member.Heartbeat) {
	// A dropped heartbeat counts like a lost datagram.
	_ = c.pulse.Submit(shard.Routine, beatJob{beat: b})
}

func (c *Core) tickAfter(delay time.Duration) {
	time.AfterFunc(delay, func() { _ = c.pulse.Submit(shard.Urgent, tickJob{}) })
}

func (c *Core) handlePulse(j pulseJob) {
	if c.ctx.Err() != nil {
		return
	}
	switch j := j.(type) {
	case tickJob:
		now := time.Now()
		c.act(c.members.Tick(now))
		c.mu.Lock()
		c.judge(now)
		c.mu.Unlock()
		c.tickAfter(member.TickInterval)
	case beatJob:
		c.act(c.members.HandleHeartbeat(j.beat, time.Now()))
	}
}

// act does what membership decided.
func (c *Core) act(actions []member.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case member.SendHeartbeat:
			if err := c.ports.Heartbeats.Send(a.To, a.Heartbeat); err != nil {
				c.log.member.Debug().Err(err).Str("host", a.To.Name).Msg("heartbeat not sent")
			}
		case member.ReadRoster, member.SwapRoster:
			_ = c.control.Submit(shard.Urgent, rosterJob{action: a})
		case member.OwnershipChanged:
			_ = c.control.Submit(shard.Urgent, ownJob{})
		case member.FetchConfig:
			if c.fetching.enter() {
				c.schedule(rand.N(fetchSpread), fetchJob{from: a.From})
			}
		case member.ForwardConfirmation:
			c.confirm(time.Now().Add(-a.Heartbeat.ConfirmationAge))
		}
	}
}

// callRoster performs a call for the zone's roster.
func (c *Core) callRoster(a member.Action) {
	ctx, cancel := context.WithTimeout(c.ctx, controlTimeout)
	defer cancel()
	key := "roster/" + c.self.Zone
	var (
		call uint64
		e    store.Entry
		err  error
	)
	switch a := a.(type) {
	case member.ReadRoster:
		call = a.Call
		e, err = c.ports.KV.Get(ctx, key)
	case member.SwapRoster:
		call = a.Call
		var value []byte
		if value, err = codec.EncodeRoster(a.Roster); err == nil {
			e, err = c.ports.KV.Swap(ctx, key, a.Revision, value, 0)
		}
	default:
		return
	}
	if err != nil && !errors.Is(err, store.ErrConflict) {
		c.log.member.Debug().Err(err).Msg("roster call failed")
		c.act(c.members.HandleStoreFailure(call, time.Now()))
		return
	}
	roster, err := codec.DecodeRoster(e.Value, c.self.Zone, e.Revision)
	if err != nil {
		c.log.member.Error().Err(err).Uint64("revision", e.Revision).Msg("roster unreadable")
		c.act(c.members.HandleStoreFailure(call, time.Now()))
		return
	}
	c.act(c.members.HandleRoster(call, roster, time.Now()))
}
