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
	"hyssophub/work"
)

// heartbeatQueue bounds the heartbeats that wait to be handled.
const heartbeatQueue = 4096

// heartbeatJob is a job of the heartbeat worker. The interface is sealed. A job
// must not wait for another process, because a late tick looks like a pause of
// this host.
type heartbeatJob interface{ heartbeatJob() }

type (
	tickJob    struct{}
	receiveJob struct{ heartbeat member.Heartbeat }
)

func (tickJob) heartbeatJob()    {}
func (receiveJob) heartbeatJob() {}

// HandleHeartbeat queues a heartbeat that arrived from another host.
func (c *Core) HandleHeartbeat(heartbeat member.Heartbeat) {
	// If the queue is full, the heartbeat is dropped like a lost datagram.
	_ = c.heartbeatPool.Submit(shard.Routine, receiveJob{heartbeat: heartbeat})
}

// scheduleTick queues a tick after a delay. A tick that finds a full queue is
// submitted again, because each tick schedules the next one.
func (c *Core) scheduleTick(delay time.Duration) {
	time.AfterFunc(work.TimerDelay(delay), func() {
		if errors.Is(c.heartbeatPool.Submit(shard.Urgent, tickJob{}), work.ErrFull) {
			c.log.member.Warn().Msg("queue of heartbeats is full, tick is delayed")
			c.scheduleTick(queueFullDelay)
		}
	})
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

// endPanickedHeartbeat schedules the next tick after one that panicked.
func (c *Core) endPanickedHeartbeat(j heartbeatJob) {
	if _, ok := j.(tickJob); ok {
		c.scheduleTick(member.TickInterval)
	}
}

// perform performs the actions that the member table decided on.
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

// callRoster reads or swaps the zone's roster in the store and passes the result to
// the member table.
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
		c.log.member.Debug().Err(err).Msg("store call for the roster failed")
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
