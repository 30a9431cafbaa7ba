package daemon

import (
	"context"
	"time"

	"hyssophub/codec"
	"hyssophub/event"
	"hyssophub/kvhttp"
	"hyssophub/member"
	"hyssophub/store"
)

// configKey is the key of the configuration in the platform's store.
const configKey = "config"

// watch waits for a newer configuration at the store if this host is one of
// the zone's watchers. The others learn the revision from heartbeats.
func (c *Core) watch(j watchJob) {
	if !c.members.Watches() {
		c.schedule(idleWatch, watchJob{})
		return
	}
	revision := c.Revision()
	start := time.Now()
	e, err := c.ports.KV.Watch(c.ctx, configKey, revision)
	if err != nil {
		c.log.Debug().Err(err).Msg("configuration watch failed")
		c.schedule(retry(j.failures), watchJob{failures: j.failures + 1})
		return
	}
	confirmed := start
	if e.Revision > revision {
		c.accept(e)
	} else if waited := start.Add(kvhttp.DefaultWait); !time.Now().Before(waited) {
		// The store answered no earlier than after its wait.
		confirmed = waited
	}
	c.confirm(confirmed)
	c.schedule(0, watchJob{})
}

// fetchSpread separates the fetches of the hosts that learn of a revision at
// the same time.
const fetchSpread = 50 * time.Millisecond

// fetch asks a host of a newer configuration for it. A failure needs no retry
// here, as the next heartbeat starts a new fetch.
func (c *Core) fetch(from string) {
	defer c.fetching.leave()
	ctx, cancel := context.WithTimeout(c.ctx, controlTimeout)
	defer cancel()
	value, revision, err := c.ports.Peers.Fetch(ctx, from, c.Revision())
	if err != nil {
		c.log.Debug().Err(err).Str("host", from).Msg("configuration not fetched")
		return
	}
	if len(value) > 0 {
		c.accept(store.Entry{Key: configKey, Value: value, Revision: revision})
	}
}

// accept installs a configuration that the store or a peer gave. Older copies
// have no effect.
func (c *Core) accept(e store.Entry) {
	value, err := codec.DecodeValue(e.Value, e.Revision)
	if err != nil {
		c.log.Error().Err(err).Uint64("revision", e.Revision).Msg("configuration unreadable")
		return
	}
	c.mu.Lock()
	accepted := c.config.Accept(value)
	if accepted {
		c.value = e.Value
		c.announce()
	}
	c.mu.Unlock()
	if !accepted {
		return
	}
	c.log.Info().Uint64("revision", e.Revision).Msg("configuration in force")
	c.own()
	if err := c.bus.Publish(event.ConfigAccepted{Revision: e.Revision}); err != nil {
		c.log.Warn().Err(err).Msg("event dropped")
	}
}

// confirm notes that at the given time the store held nothing newer than the
// configuration in force here.
func (c *Core) confirm(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.confirmed) {
		c.confirmed = at
		c.announce()
	}
}

// announce sets what the heartbeats say. The caller holds mu.
func (c *Core) announce() {
	c.members.SetStatus(member.Status{Revision: c.Revision(), Confirmed: c.confirmed})
	c.judge(time.Now())
}

// Freshness decides until when a host may act on its configuration towards
// other zones.
type Freshness interface {
	// Fresh returns the end of the freshness, or a time not after now.
	// confirmed is the last store confirmation, and reports are what the
	// other zones' watchers said; zones counts the zones of the manifest.
	Fresh(now, confirmed time.Time, zones int, reports []member.ZoneReport) time.Time
}

// freshBound is the time for which a confirmation makes a host fresh. With
// the delays of a dispatch it keeps the 2 s target for a zone taken out.
const freshBound = 1500 * time.Millisecond

// freshness implements Freshness by the rules of the design page.
type freshness struct{}

// Fresh implements Freshness.
func (freshness) Fresh(now, confirmed time.Time, zones int, reports []member.ZoneReport) time.Time {
	end := confirmed.Add(freshBound)
	if confirmed.IsZero() {
		end = now
	}
	// During an outage a majority of the zones, the own one included, must be
	// heard, and none of them may reach the store.
	heard := 1
	oldest := now
	for _, r := range reports {
		switch {
		case now.Sub(r.At) >= freshBound:
		case r.Store:
			return end
		default:
			heard++
			if r.At.Before(oldest) {
				oldest = r.At
			}
		}
	}
	if len(reports) == 0 || 2*heard <= zones {
		return end
	}
	if outage := oldest.Add(freshBound); outage.After(end) {
		return outage
	}
	return end
}

// judge renews the end of the freshness. The caller holds mu.
func (c *Core) judge(now time.Time) {
	zones := len(c.config.View().Value.Manifest.Zones)
	end := c.ports.Freshness.Fresh(now, c.confirmed, zones, c.members.Reports())
	c.freshUntil.Store(&end)
}

// fresh reports whether this host may send to other zones.
func (c *Core) fresh(now time.Time) bool { return now.Before(*c.freshUntil.Load()) }
