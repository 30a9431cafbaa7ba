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
	pulseTime      = 250 * time.Millisecond
	pulseTimeLarge = 500 * time.Millisecond
	smallZone      = 16
	// farTargets is the number of hosts of other availability zones that the
	// heartbeats of a host that follows the store go to, so that changes pass
	// between availability zones. Those of the others go to one at each
	// farEvery-th heartbeat: bytes between zones are dear.
	farTargets = 2
	farEvery   = 4
)

// peers connects the keeper to the other hosts. It implements feed.Peers.
type peers struct {
	table  *gossip.Table
	client *peer.RelayClient
	pulses *peer.GossipSocket
	seeds  []string
	// beats are the UDP addresses of the seeds.
	beats []string
	// announce wakes the sender of heartbeats.
	announce chan struct{}
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
	return append(list, p.seeds...)
}

// Changes implements feed.Peers.
func (p *peers) Changes(ctx context.Context, address string, after uint64) (feed.Update, error) {
	return p.client.Changes(ctx, address, after)
}

// Suspect implements feed.Peers.
func (p *peers) Suspect(address string, now time.Time) { p.table.SuspectAddress(address, now) }

// ReportApplied implements feed.Peers.
func (p *peers) ReportApplied(revision, position uint64, watching bool, contact time.Time) {
	p.table.UpdateSelf(func(e *gossip.Record) {
		e.Revision, e.Progress, e.Watching = revision, position, watching
		if !contact.IsZero() {
			e.StoreContact = contact
		}
	})
}

// Progress implements feed.Peers.
func (p *peers) Progress(revision uint64) uint64 { return p.table.Progress(revision) }

// Announce implements feed.Peers.
func (p *peers) Announce() {
	select {
	case p.announce <- struct{}{}:
	default:
	}
}

// hear takes in a heartbeat and wakes the keeper if it names news.
func (r *Relay) hear(p gossip.Heartbeat) {
	now := time.Now()
	r.hosts.Receive(p, now)
	if _, ok := r.hosts.NewestHost(now); ok {
		r.keeper.Notify()
	}
}

// beat sends heartbeats until the host ends.
func (r *Relay) beat() {
	for {
		now := time.Now()
		sharing := r.hosts.Expire(now)
		_, size := r.hosts.Counts(now)
		if now.Sub(r.started) > learnTime {
			r.table.SetHostCount(sharing)
			r.fleet.SetHosts(sharing)
		}
		far := 0
		switch {
		case r.hosts.IsWatching():
			far = farTargets
		case rand.IntN(farEvery) == 0:
			far = 1
		}
		near, away := r.hosts.NextHeartbeats(now, far)
		if len(near.To) == 0 || rand.IntN(seedEvery) == 0 {
			away.To = append(away.To, r.peers.beats...)
		}
		if err := errors.Join(r.peers.pulses.Send(near.Heartbeat, near.To, now), r.peers.pulses.Send(away.Heartbeat, away.To, now)); err != nil {
			r.log.Debug().Err(err).Msg("heartbeat not sent")
		}
		wait := pulseTime
		if size > smallZone {
			wait = pulseTimeLarge
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-r.peers.announce:
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
	learnTime = 3 * time.Second
)

const (
	// probeTime is the pause between two tries of the way to an availability
	// zone that is taken to be cut off, and probeLimit bounds a try.
	probeTime  = 300 * time.Millisecond
	probeLimit = 250 * time.Millisecond
)

// probe tries the ways to availability zones that are taken to be cut off,
// until the host ends.
func (r *Relay) probe() {
	ticker := time.NewTicker(probeTime)
	defer ticker.Stop()
	cut := map[string]bool{}
	for {
		select {
		case <-ticker.C:
		case <-r.ctx.Done():
			return
		}
		now := r.hosts.UnreachableZones(time.Now())
		r.noteCut(cut, now)
		cut = now
		for zone := range cut {
			r.tryZone(zone)
		}
	}
}

// noteCut logs the changes of the availability zones that are cut off, and
// passes them on, because a cut also ends with time.
func (r *Relay) noteCut(before, after map[string]bool) {
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
func (r *Relay) tryZone(zone string) {
	hosts := r.hosts.KnownHosts(zone)
	if len(hosts) == 0 {
		return
	}
	host := hosts[rand.IntN(len(hosts))]
	ctx, cancel := context.WithTimeout(r.ctx, probeLimit)
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
