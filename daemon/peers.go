package daemon

import (
	"context"
	"errors"
	"maps"
	"math"
	"math/rand/v2"
	"time"

	"hyssophub/feed"
	"hyssophub/gossip"
	"hyssophub/peer"
)

const (
	// pulseTime is the time between two heartbeats, in zones of up to
	// smallZone hosts; in larger ones it is pulseTimeLarge, which keeps the
	// datagrams of a host below 150 a second at 73 hosts.
	heartbeatInterval      = 250 * time.Millisecond
	heartbeatIntervalLarge = 500 * time.Millisecond
	smallZoneHosts         = 16
	// farTargets is the number of hosts of other availability zones that the
	// heartbeats of a host that follows the store go to, so that changes pass
	// between availability zones. Those of the others go to one at each
	// farEvery-th heartbeat: bytes between zones are dear.
	remoteTargets = 2
	remoteEvery   = 4
)

// peers connects the keeper to the other hosts. It implements feed.Peers.
type peers struct {
	table      *gossip.Table
	client     *peer.TierClient
	heartbeats *peer.Pulses
	seedAddrs  []string
	// beats are the UDP addresses of the seeds.
	seedHeartbeatAddrs []string
	// announce wakes the sender of heartbeats.
	wake chan struct{}
}

// ShouldWatch implements feed.Peers.
func (p *peers) ShouldWatch(now time.Time) bool { return p.table.ShouldWatch(now) }

// NewestPeer implements feed.Peers.
func (p *peers) NewestPeer(now time.Time) (string, bool) {
	host, ok := p.table.NewestHost(now)
	return host.Address, ok
}

// Seeds implements feed.Peers.
func (p *peers) Seeds(now time.Time) []string {
	list := p.table.Addresses(now)
	return append(list, p.seedAddrs...)
}

// Changes implements feed.Peers.
func (p *peers) Changes(ctx context.Context, address string, after uint64) (feed.Update, error) {
	return p.client.Changes(ctx, address, after)
}

// Suspect implements feed.Peers.
func (p *peers) Suspect(address string, now time.Time) { p.table.SuspectAddress(address, now) }

// ReportApplied implements feed.Peers.
func (p *peers) ReportApplied(revision, progress uint64, watching bool, storeContact time.Time) {
	p.table.UpdateSelf(func(record *gossip.Record) {
		record.Revision, record.Progress, record.Watching = revision, progress, watching
		if !storeContact.IsZero() {
			record.StoreContact = storeContact
		}
	})
}

// Progress implements feed.Peers.
func (p *peers) Progress(revision uint64) uint64 { return p.table.Progress(revision) }

// Announce implements feed.Peers.
func (p *peers) Announce() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// hear takes in a heartbeat and wakes the keeper if it names news.
func (r *Relay) receiveHeartbeat(heartbeat gossip.Heartbeat) {
	now := time.Now()
	r.hosts.Receive(heartbeat, now)
	if _, ok := r.hosts.NewestHost(now); ok {
		r.syncer.Notify()
	}
}

// beat sends heartbeats until the host ends.
func (r *Relay) sendHeartbeats() {
	for {
		now := time.Now()
		sharingHosts := r.hosts.Expire(now)
		_, zoneHosts := r.hosts.Counts(now)
		if now.Sub(r.started) > discoveryTime {
			r.relayTable.SetHostCount(sharingHosts)
			r.fleet.SetHosts(sharingHosts)
		}
		remoteCount := 0
		switch {
		case r.hosts.IsWatching():
			remoteCount = remoteTargets
		case rand.IntN(remoteEvery) == 0:
			remoteCount = 1
		}
		zoneMessage, remoteMessage := r.hosts.NextHeartbeats(now, remoteCount)
		if len(zoneMessage.To) == 0 || rand.IntN(seedEvery) == 0 {
			remoteMessage.To = append(remoteMessage.To, r.peers.seedHeartbeatAddrs...)
		}
		if err := errors.Join(r.peers.heartbeats.Send(zoneMessage.Heartbeat, zoneMessage.To, now), r.peers.heartbeats.Send(remoteMessage.Heartbeat, remoteMessage.To, now)); err != nil {
			r.log.Debug().Err(err).Msg("heartbeat not sent")
		}
		interval := heartbeatInterval
		if zoneHosts > smallZoneHosts {
			interval = heartbeatIntervalLarge
		}
		timer := time.NewTimer(interval)
		select {
		case <-timer.C:
		case <-r.peers.wake:
		case <-r.ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

const (
	// seedEvery is the number of heartbeats after which the seeds get one as
	// well, so that parts of the tier that lost sight of each other find
	// together again.
	seedEvery = 8
	// learnTime is how long a host hears heartbeats before it divides the
	// limits of the fleet by the number of hosts that it knows.
	discoveryTime = 3 * time.Second
)

const (
	// probeTime is the pause between two tries of the way to an availability
	// zone that is taken to be cut off, and probeLimit bounds a try.
	probeInterval = 300 * time.Millisecond
	probeTimeout  = 250 * time.Millisecond
)

// probe tries the ways to availability zones that are taken to be cut off,
// until the host ends.
func (r *Relay) probeZones() {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	unreachable := map[string]bool{}
	for {
		select {
		case <-ticker.C:
		case <-r.ctx.Done():
			return
		}
		now := r.hosts.UnreachableZones(time.Now())
		r.updateUnreachable(unreachable, now)
		unreachable = now
		for zone := range unreachable {
			r.probeZone(zone)
		}
	}
}

// noteCut logs the changes of the availability zones that are cut off, and
// passes them on, because a cut also ends with time.
func (r *Relay) updateUnreachable(before, after map[string]bool) {
	for zone := range after {
		if !before[zone] {
			r.log.Warn().Str("zone", zone).Msg("availability zone does not answer, taken to be cut off")
		}
	}
	for zone := range before {
		if !after[zone] {
			r.log.Info().Str("zone", zone).Msg("availability zone no longer taken to be cut off")
		}
	}
	if !maps.Equal(before, after) {
		r.fleet.SetUnreachable(after)
	}
}

// tryZone calls one host of an availability zone.
func (r *Relay) probeZone(zone string) {
	hosts := r.hosts.KnownHosts(zone)
	if len(hosts) == 0 {
		return
	}
	host := hosts[rand.IntN(len(hosts))]
	ctx, cancel := context.WithTimeout(r.ctx, probeTimeout)
	defer cancel()
	// Nothing is newer than the greatest revision, so the answer is small.
	if _, err := r.peers.client.Changes(ctx, host.Address, math.MaxInt64); err != nil {
		r.log.Debug().Err(err).Str("zone", zone).Str("peer", host.Name).Msg("availability zone still does not answer")
		return
	}
	if now := time.Now(); r.hosts.RecordZoneSuccess(zone, now) {
		r.fleet.SetUnreachable(r.hosts.UnreachableZones(now))
	}
}
