package daemon

import (
	"context"
	"maps"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssophub/feed"
	"hyssophub/gossip"
	"hyssophub/peer"
	"hyssophub/share"
	"hyssophub/store"
	"hyssophub/work"
)

// peers connects the syncer to the other hosts. It implements feed.Peers.
type peers struct {
	table      *gossip.Table
	client     *peer.RelayClient
	heartbeats *peer.GossipSocket
	// mu guards seeds. It comes before the lock of the table in the lock order.
	mu    sync.Mutex
	seeds seeds
	// wake makes sendHeartbeats announce the newest change at once.
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
	p.mu.Lock()
	defer p.mu.Unlock()
	return append(p.table.Addresses(now), p.seeds.calls...)
}

// Neighbours implements feed.Peers.
func (p *peers) Neighbours(now time.Time) (addresses []string, isFirst bool) {
	self := p.table.Self()
	isFirst = true
	for _, host := range p.table.AvailableHosts(self.Zone, now) {
		addresses = append(addresses, host.Address)
		isFirst = isFirst && self.Name < host.Name
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses, isFirst
}

// CheckedAt implements feed.Peers.
func (p *peers) CheckedAt(position store.Position) time.Time { return p.table.CheckedAt(position) }

// Changes implements feed.Peers.
func (p *peers) Changes(ctx context.Context, address string, after store.Position) (feed.Update, error) {
	return p.client.Changes(ctx, address, after)
}

// Suspect implements feed.Peers.
func (p *peers) Suspect(address string, now time.Time) { p.table.SuspectAddress(address, now) }

// ReportApplied implements feed.Peers.
func (p *peers) ReportApplied(position store.Position, idle uint64, watching bool, storeContact time.Time) {
	p.table.UpdateSelf(func(record *gossip.Record) {
		record.Position, record.Idle, record.Watching = position, idle, watching
		if !storeContact.IsZero() {
			record.StoreContact = storeContact
		}
	})
}

// ReportStore implements feed.Peers.
func (p *peers) ReportStore(failing bool, returned time.Time) {
	p.table.UpdateSelf(func(record *gossip.Record) { record.StoreFailing, record.StoreReturned = failing, returned })
}

// LastContact implements feed.Peers.
func (p *peers) LastContact() time.Time { return p.table.LastContact() }

// IsStoreFailing implements feed.Peers.
func (p *peers) IsStoreFailing() bool { return p.table.IsStoreFailing() }

// StoreReturned implements feed.Peers.
func (p *peers) StoreReturned(silence time.Duration) time.Time { return p.table.StoreReturned(silence) }

// Idle implements feed.Peers.
func (p *peers) Idle(position store.Position) uint64 { return p.table.Idle(position) }

// Announce implements feed.Peers.
func (p *peers) Announce() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// receiveHeartbeat merges a heartbeat into the host table, replies to a host that
// has just started, and wakes the syncer if a host has newer changes than this one.
func (r *Relay) receiveHeartbeat(heartbeat gossip.Heartbeat) {
	now := time.Now()
	if reply := r.hosts.Receive(heartbeat, now); len(reply.To) > 0 {
		r.send([]gossip.Datagram{reply}, now)
	}
	if _, ok := r.hosts.NewestHost(now); ok {
		r.syncer.Notify()
	}
}

// discoveryTime is how long a host receives heartbeats before it replaces
// assumedHosts by the number of hosts that it has discovered.
const discoveryTime = 3 * time.Second

// sendHeartbeats sends heartbeats until the host closes.
func (r *Relay) sendHeartbeats() {
	next := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			work.Guard(r.reportPanic, func() {
				now := time.Now()
				r.updateSharingHosts(now)
				r.updateMembers(now)
				r.measureSpeed()
				r.announceHost(now)
				addresses, found := r.peers.heartbeatSeeds()
				r.send(r.hosts.NextRound(now, addresses), now)
				r.greetFound(found, now)
			})
			next = time.Now().Add(r.hosts.Interval(time.Now()))
		case <-r.peers.wake:
			work.Guard(r.reportPanic, func() {
				now := time.Now()
				r.send(r.hosts.Announcement(now), now)
				_, found := r.peers.heartbeatSeeds()
				r.greetFound(found, now)
			})
		case <-r.ctx.Done():
			return
		}
		timer.Reset(time.Until(next))
	}
}

// updateSharingHosts sets the number of hosts that share the limits of the backend
// servers.
func (r *Relay) updateSharingHosts(now time.Time) {
	sharingHosts := r.hosts.Expire(now)
	if now.Sub(r.started) > discoveryTime {
		sharingHosts = share.SharingHosts(sharingHosts, r.hosts.HasFoundTier(now))
		r.relayTable.SetHostCount(sharingHosts)
		r.fleet.SetHosts(sharingHosts)
	}
}

// speedBlocks is the number of blocks that measureSpeed hashes. It takes about 40 us on
// a whole core.
const speedBlocks = 8

// measureSpeed measures how long a fixed amount of work takes, by which other hosts
// learn that this one is slow.
func (r *Relay) measureSpeed() {
	started := time.Now()
	digest := xxhash.New()
	for range speedBlocks {
		_, _ = digest.Write(r.speedBlock[:])
	}
	r.speedSum = digest.Sum64()
	if weight, changed := r.hosts.RecordSpeed(time.Since(started)); changed {
		r.log.Warn().Int("weight", weight).Int("full", r.settings.MilliCores).Msg("processor speed of the host changed")
	}
}

// send sends heartbeats.
func (r *Relay) send(round []gossip.Datagram, now time.Time) {
	for _, d := range round {
		if err := r.peers.heartbeats.Send(d.Heartbeat, d.To, now); err != nil {
			r.log.Debug().Err(err).Msg("heartbeat not sent")
		}
	}
}

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
		work.Guard(r.reportPanic, func() {
			current := r.hosts.UnreachableZones(time.Now())
			r.updateUnreachable(unreachable, current)
			unreachable = current
			for zone := range unreachable {
				r.probeZone(zone)
			}
		})
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
	if _, err := r.peers.client.Changes(ctx, host.Address, store.Position{Era: feed.PresentEra, Revision: math.MaxInt64}); err != nil {
		r.log.Debug().Err(err).Str("zone", zone).Str("peer", host.Name).Msg("availability zone still does not answer")
		return
	}
	if now := time.Now(); r.hosts.RecordZoneSuccess(zone, now) {
		r.fleet.SetUnreachable(r.hosts.UnreachableZones(now))
	}
}
