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
const heartbeatQueue = 4096

// pulseJob is what the pulse worker does. The interface is sealed. The worker
// does nothing that waits for another process, because a late tick looks like
// a pause of the host.
type heartbeatJob interface{ heartbeatJob() }

type (
	tickJob    struct{}
	receiveJob struct{ heartbeat member.Heartbeat }
)

func (tickJob) heartbeatJob()    {}
func (receiveJob) heartbeatJob() {}

// HandleHeartbeat takes a heartbeat from the network.
func (c *Core) HandleHeartbeat(heartbeat member.Heartbeat) {
	// A dropped heartbeat counts like a lost datagram.
	_ = c.heartbeatPool.Submit(shard.Routine, receiveJob{heartbeat: heartbeat})
}

func (c *Core) scheduleTick(delay time.Duration) {
	time.AfterFunc(delay, func() { _ = c.heartbeatPool.Submit(shard.Urgent, tickJob{}) })
}

func (c *Core) runHeartbeatJob(j heartbeatJob) {
	if c.ctx.Err() != nil {
		return
	}
	switch j := j.(type) {
	case tickJob:
		now := time.Now()
		c.perform(c.members.Tick(now))
		c.mu.Lock()
		c.updateFreshness(now)
		c.mu.Unlock()
		c.scheduleTick(member.TickInterval)
	case receiveJob:
		c.perform(c.members.HandleHeartbeat(j.heartbeat, time.Now()))
	}
}

// act does what membership decided.
func (c *Core) perform(actions []member.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case member.SendHeartbeat:
			if err := c.ports.Heartbeats.Send(a.To, a.Heartbeat); err != nil {
				c.log.member.Debug().Err(err).Str("host", a.To.Name).Msg("heartbeat not sent")
			}
		case member.ReadRoster, member.SwapRoster:
			_ = c.controlPool.Submit(shard.Urgent, rosterJob{action: a})
		case member.OwnershipChanged:
			_ = c.controlPool.Submit(shard.Urgent, ownershipJob{})
		case member.FetchConfig:
			if c.fetchLock.tryAcquire() {
				c.schedule(rand.N(fetchJitter), fetchConfigJob{from: a.From})
			}
		case member.ForwardConfirmation:
			c.confirmConfig(time.Now().Add(-a.Heartbeat.ConfirmationAge))
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
		c.perform(c.members.HandleStoreFailure(call, time.Now()))
		return
	}
	roster, err := codec.DecodeRoster(e.Value, c.self.Zone, e.Revision)
	if err != nil {
		c.log.member.Error().Err(err).Uint64("revision", e.Revision).Msg("roster unreadable")
		c.perform(c.members.HandleStoreFailure(call, time.Now()))
		return
	}
	c.perform(c.members.HandleRoster(call, roster, time.Now()))
}
