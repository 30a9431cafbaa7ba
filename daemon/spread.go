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

// watch waits for a newer configuration at the store if this host is one of
// the zone's watchers. The others learn the revision from heartbeats.
func (c *Core) watchConfig(j watchConfigJob) {
	if !c.members.IsWatcher() {
		c.schedule(watchCheckInterval, watchConfigJob{})
		return
	}
	revision := c.Revision()
	start := time.Now()
	e, err := c.ports.KV.Watch(c.ctx, config.Key, revision)
	if err != nil {
		c.log.config.Debug().Err(err).Msg("configuration watch failed")
		c.schedule(retryDelay(j.failures), watchConfigJob{failures: j.failures + 1})
		return
	}
	confirmed := start
	if e.Revision > revision {
		c.installConfig(e)
	} else if waited := start.Add(kvhttp.DefaultWait); !time.Now().Before(waited) {
		// The store answered no earlier than after its wait.
		confirmed = waited
	}
	c.confirmConfig(confirmed)
	c.schedule(0, watchConfigJob{})
}

// fetchSpread separates the fetches of the hosts that learn of a revision at
// the same time.
const fetchJitter = 50 * time.Millisecond

// fetch asks a host of a newer configuration for it. A failure needs no retry
// here, as the next heartbeat starts a new fetch.
func (c *Core) fetchConfig(from string) {
	defer c.fetchLock.release()
	ctx, cancel := context.WithTimeout(c.ctx, controlTimeout)
	defer cancel()
	value, revision, err := c.ports.Peers.Fetch(ctx, from, c.Revision())
	if err != nil {
		c.log.config.Debug().Err(err).Str("host", from).Msg("configuration not fetched")
		return
	}
	if len(value) > 0 {
		c.installConfig(store.Entry{Key: config.Key, Value: value, Revision: revision})
	}
}

// accept installs a configuration that the store or a peer gave. Older copies
// have no effect.
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

// confirm notes that at the given time the store held nothing newer than the
// configuration in force here.
func (c *Core) confirmConfig(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.confirmedAt) {
		c.confirmedAt = at
		c.updateConfigStatus()
	}
}

// announce sets what the heartbeats say. The caller holds mu.
func (c *Core) updateConfigStatus() {
	c.members.SetConfigStatus(member.ConfigStatus{Revision: c.Revision(), ConfirmedAt: c.confirmedAt})
	c.updateFreshness(time.Now())
}

// judge tells the configuration what the zones know, from which it decides
// whether this host may send to other zones. The caller holds mu.
func (c *Core) updateFreshness(now time.Time) {
	defer func() { c.routes.SetZoneLocal(!c.config.Fresh(now)) }()
	c.config.Report(c.self.Zone, now, c.confirmedAt)
	reports := c.members.StoreReports()
	if slices.ContainsFunc(reports, func(r member.StoreReport) bool {
		return r.StoreReachable && now.Sub(r.ReportedAt) < config.FreshnessBound
	}) {
		// A zone reaches the store, so this is no store outage: only store
		// answers count, which arrive with the heartbeats.
		return
	}
	for _, r := range reports {
		c.config.Report(r.Zone, r.ReportedAt, time.Time{})
	}
}
