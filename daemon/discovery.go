package daemon

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/samber/oops"

	"hyssophub/gossip"
	"hyssophub/setup"
	"hyssophub/work"
)

const (
	// announceTimeout bounds the writing of a host's address to the store, and announcePause
	// is the least time between two attempts.
	announceTimeout = time.Second
	announcePause   = 2 * time.Second
	// maxFoundHosts bounds the hosts found through the store that serve as seeds.
	maxFoundHosts = 8
)

// seeds are the hosts to contact while others are unknown, and now and then. Those of the
// settings may be gone.
type seeds struct {
	// calls are the TCP addresses for calls, heartbeats the UDP addresses.
	calls      []string
	heartbeats []string
	// found are the UDP addresses of hosts that were found through the store.
	found []string
	// isNew is set if a host was found that no heartbeat was sent to yet.
	isNew bool
}

// readSeeds returns the seeds that the settings name, without the local host.
func readSeeds(settings setup.Relay) (seeds, error) {
	_, port, err := net.SplitHostPort(settings.HeartbeatAddr)
	if err != nil {
		return seeds{}, oops.Wrapf(err, "heartbeat address %s", settings.HeartbeatAddr)
	}
	var list seeds
	for _, seed := range settings.Seeds {
		if seed == settings.PeerAddr {
			continue
		}
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			return seeds{}, oops.Wrapf(err, "seed %s", seed)
		}
		list.calls = append(list.calls, seed)
		// All hosts listen on the same ports.
		list.heartbeats = append(list.heartbeats, net.JoinHostPort(host, port))
	}
	return list, nil
}

// setSeeds replaces the seeds of the settings.
func (p *peers) setSeeds(list seeds) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seeds.calls, p.seeds.heartbeats = list.calls, list.heartbeats
}

// AddHost implements feed.Peers.
func (p *peers) AddHost(heartbeatAddress string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if heartbeatAddress == p.table.Self().HeartbeatAddress {
		return
	}
	found := slices.DeleteFunc(p.seeds.found, func(known string) bool { return known == heartbeatAddress })
	p.seeds.found = append(found[max(0, len(found)-maxFoundHosts+1):], heartbeatAddress)
	p.seeds.isNew = true
	p.Announce()
}

// heartbeatSeeds returns the UDP addresses of the seeds, and those of the hosts that were
// found since the last call.
func (p *peers) heartbeatSeeds() (all, found []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.seeds.isNew {
		found = slices.Clone(p.seeds.found)
	}
	p.seeds.isNew = false
	return slices.Concat(p.seeds.heartbeats, p.seeds.found), found
}

// announceHost writes the address of this host to the store if others may not know it.
func (r *Relay) announceHost(now time.Time) {
	if now.Before(r.announceAt) || !r.hosts.ShouldAnnounce(now) {
		return
	}
	r.announceAt = now.Add(announcePause)
	r.jobs.Go(func() {
		work.Guard(r.reportPanic, func() {
			ctx, cancel := context.WithTimeout(r.ctx, announceTimeout)
			defer cancel()
			if err := r.store.AnnounceHost(ctx, r.settings.Zone, r.settings.HeartbeatAddr); err != nil {
				r.log.Warn().Err(err).Msg("address not written to the store, other hosts may not find this one")
				return
			}
			r.hosts.RecordAnnounced(time.Now())
			r.log.Info().Msg("address written to the store for other hosts to find")
		})
	})
}

// greetFound sends a heartbeat to the hosts that were found through the store, which may know
// no other host.
func (r *Relay) greetFound(found []string, now time.Time) {
	if len(found) == 0 {
		return
	}
	greeting := r.hosts.Greeting(now)
	greeting.To = found
	r.send([]gossip.Datagram{greeting}, now)
	r.log.Info().Strs("addresses", found).Msg("hosts found through the store")
}
