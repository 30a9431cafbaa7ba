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
	// heartbeatInterval is the time between heartbeats in availability zones of
	// up to smallZoneHosts hosts. In larger zones it is heartbeatIntervalLarge,
	// so that a host in a zone of 73 hosts sends fewer than 150 datagrams a
	// second.
	heartbeatInterval      = 250 * time.Millisecond
	heartbeatIntervalLarge = 500 * time.Millisecond
	smallZoneHosts         = 16
	// crossZoneTargets is the number of hosts in other availability zones to
	// which a host that watches the store sends each heartbeat, so that changes
	// reach the other zones. Any other host sends one in crossZoneEvery of its
	// heartbeats, on average, to one host in another zone, because traffic
	// between zones is expensive.
	crossZoneTargets = 2
	crossZoneEvery   = 4
)

// peers connects the syncer to the other hosts. It implements feed.Peers.
type peers struct {
	table      *gossip.Table
	client     *peer.RelayClient
	heartbeats *peer.GossipSocket
	seedAddrs  []string
	// seedHeartbeatAddrs are the UDP addresses of the seeds.
	seedHeartbeatAddrs []string
	// wake makes sendHeartbeats send at once.
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

// receiveHeartbeat merges a heartbeat into the host table and wakes the syncer if
// a host has newer changes than this one.
func (r *Relay) receiveHeartbeat(heartbeat gossip.Heartbeat) {
	now := time.Now()
	r.hosts.Receive(heartbeat, now)
	if _, ok := r.hosts.NewestHost(now); ok {
		r.syncer.Notify()
	}
}

// sendHeartbeats sends heartbeats until the host closes.
func (r *Relay) sendHeartbeats() {
	for {
		now := time.Now()
		sharingHosts := r.hosts.Expire(now)
		r.updateMembers(now)
		_, sameZoneHosts := r.hosts.Counts(now)
		if now.Sub(r.started) > discoveryTime {
			r.relayTable.SetHostCount(sharingHosts)
			r.fleet.SetHosts(sharingHosts)
		}
		maxCrossZone := 0
		switch {
		case r.hosts.IsWatching():
			maxCrossZone = crossZoneTargets
		case rand.IntN(crossZoneEvery) == 0:
			maxCrossZone = 1
		}
		inZone, crossZone := r.hosts.NextHeartbeats(now, maxCrossZone)
		if len(inZone.To) == 0 || rand.IntN(seedEvery) == 0 {
			crossZone.To = append(crossZone.To, r.peers.seedHeartbeatAddrs...)
		}
		if err := errors.Join(r.peers.heartbeats.Send(inZone.Heartbeat, inZone.To, now), r.peers.heartbeats.Send(crossZone.Heartbeat, crossZone.To, now)); err != nil {
			r.log.Debug().Err(err).Msg("heartbeat not sent")
		}
		interval := heartbeatInterval
		if sameZoneHosts > smallZoneHosts {
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
	// One in seedEvery heartbeats, on average, is also sent to the seeds, so
	// that parts of the tier that were partitioned from each other merge again.
	seedEvery = 8
	// discoveryTime is how long a host receives heartbeats before it replaces
	// assumedHosts by the number of hosts that it has discovered.
	discoveryTime = 3 * time.Second
)

const (
	// probeInterval is the time between probes of an availability zone that is
	// considered unreachable, and probeTimeout limits a probe.
	probeInterval = 300 * time.Millisecond
	probeTimeout  = 250 * time.Millisecond
)

// probeZones probes the availability zones that are considered unreachable, until
// the host closes.
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
		current := r.hosts.UnreachableZones(time.Now())
		r.updateUnreachable(unreachable, current)
		unreachable = current
		for zone := range unreachable {
			r.probeZone(zone)
		}
	}
}

// updateUnreachable logs which availability zones became unreachable or reachable,
// and passes the unreachable ones to the fleet table. This is checked at each probe,
// because a zone is also considered reachable again after some time without an
// answer.
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

// probeZone calls one host of an availability zone.
func (r *Relay) probeZone(zone string) {
	hosts := r.hosts.KnownHosts(zone)
	if len(hosts) == 0 {
		return
	}
	host := hosts[rand.IntN(len(hosts))]
	ctx, cancel := context.WithTimeout(r.ctx, probeTimeout)
	defer cancel()
	// No change is newer than the highest possible revision, so the answer is
	// small.
	if _, err := r.peers.client.Changes(ctx, host.Address, math.MaxInt64); err != nil {
		r.log.Debug().Err(err).Str("zone", zone).Str("peer", host.Name).Msg("availability zone still does not answer")
		return
	}
	if now := time.Now(); r.hosts.RecordZoneSuccess(zone, now) {
		r.fleet.SetUnreachable(r.hosts.UnreachableZones(now))
	}
}
