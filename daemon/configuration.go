package daemon

import (
	"context"
	"slices"
	"time"

	"hyssophub/codec"
	"hyssophub/config"
	"hyssophub/event"
	"hyssophub/kvhttp"
	"hyssophub/member"
	"hyssophub/store"
)

// watchConfig waits for a newer configuration from the store if this host is one of
// its zone's watchers. The other hosts learn of newer revisions from heartbeats.
func (c *Core) watchConfig(j watchConfigJob) {
	if !c.members.IsWatcher() {
		c.schedule(watchCheckInterval, watchConfigJob{})
		return
	}
	revision := c.Revision()
	start := time.Now()
	e, err := c.ports.KV.Watch(c.ctx, config.StoreKey, revision)
	if err != nil {
		c.log.config.Debug().Err(err).Msg("configuration watch failed")
		c.schedule(retryDelay(j.failures), watchConfigJob{failures: j.failures + 1})
		return
	}
	confirmed := start
	if e.Revision > revision {
		c.installConfig(e)
	} else if waited := start.Add(kvhttp.DefaultWatchWait); !time.Now().Before(waited) {
		// The store answered only after the full wait, so this revision was still
		// the newest one when the wait ended.
		confirmed = waited
	}
	c.confirmConfig(confirmed)
	c.schedule(0, watchConfigJob{})
}

// fetchJitter bounds the random delay before a fetch, so that hosts that learn of a
// revision at the same time do not fetch it at the same time.
const fetchJitter = 50 * time.Millisecond

// fetchConfig fetches a newer configuration from another host. It does not retry
// failures, since the next heartbeat starts a new fetch.
func (c *Core) fetchConfig(from string) {
	defer c.fetchLock.release()
	ctx, cancel := context.WithTimeout(c.ctx, controlTimeout)
	defer cancel()
	value, revision, err := c.ports.Peers.FetchConfig(ctx, from, c.Revision())
	if err != nil {
		c.log.config.Debug().Err(err).Str("host", from).Msg("configuration not fetched")
		return
	}
	if len(value) > 0 {
		c.installConfig(store.Entry{Key: config.StoreKey, Value: value, Revision: revision})
	}
}

// installConfig puts a configuration from the store or another host in force.
// Older revisions have no effect.
func (c *Core) installConfig(e store.Entry) {
	value, err := codec.DecodeValue(e.Value, e.Revision)
	if err != nil {
		c.log.config.Error().Err(err).Uint64("revision", e.Revision).Msg("configuration unreadable")
		return
	}
	c.mu.Lock()
	accepted := c.config.Accept(value)
	if accepted {
		c.encodedConfig = e.Value
		c.updateConfigStatus()
	}
	c.mu.Unlock()
	if !accepted {
		return
	}
	c.log.config.Info().Uint64("revision", e.Revision).Msg("configuration in force")
	c.updateOwnership()
	c.publishEvent(event.ConfigAccepted{Revision: e.Revision})
}

// confirmConfig records that at the given time the store held nothing newer than
// the configuration in force on this host.
func (c *Core) confirmConfig(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.confirmedAt) {
		c.confirmedAt = at
		c.updateConfigStatus()
	}
}

// updateConfigStatus sets the configuration status that the heartbeats carry. The
// caller holds mu.
func (c *Core) updateConfigStatus() {
	c.members.SetConfigStatus(member.ConfigStatus{Revision: c.Revision(), ConfirmedAt: c.confirmedAt})
	c.updateFreshness(time.Now())
}

// updateFreshness passes the zones' reports about the store to the configuration,
// which derives from them whether this host may send to other zones. The caller
// holds mu.
func (c *Core) updateFreshness(now time.Time) {
	defer func() { c.routes.SetZoneLocal(!c.config.Fresh(now)) }()
	c.config.RecordReport(c.self.Zone, now, c.confirmedAt)
	reports := c.members.StoreReports()
	if slices.ContainsFunc(reports, func(r member.StoreReport) bool {
		return r.StoreReachable && now.Sub(r.ReportedAt) < config.FreshnessBound
	}) {
		// Another zone reaches the store, so the store is not down. Only store
		// answers extend freshness then; the heartbeats report them.
		return
	}
	for _, r := range reports {
		c.config.RecordReport(r.Zone, r.ReportedAt, time.Time{})
	}
}
