package daemon

import (
	"time"

	"hyssophub/canary"
	"hyssophub/flow"
	"hyssophub/gossip"
)

// minAskPause is the least time between two rounds of asks, so that a host under load
// gathers the asks of many requests.
const minAskPause = 20 * time.Millisecond

// askForPermits asks the owners of rate limits for permits, and tells other hosts which
// servers leave or name a limit, until the host closes.
func (r *Relay) askForPermits() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-r.bounds.Wake():
		case <-r.ctx.Done():
			return
		}
		now := time.Now()
		batches, next := r.bounds.Asks(now)
		for _, b := range batches {
			if err := r.permits.Send(b, now); err != nil {
				r.log.Debug().Err(err).Msg("asks for permits not sent")
			}
		}
		for _, n := range r.bounds.Announcements() {
			if err := r.permits.Announce(n); err != nil {
				r.log.Debug().Err(err).Msg("announcement not sent")
			}
		}
		pause := time.NewTimer(minAskPause)
		select {
		case <-pause.C:
		case <-r.ctx.Done():
			pause.Stop()
			return
		}
		if !next.IsZero() {
			timer.Reset(time.Until(next))
		}
	}
}

// permitHandler handles the datagrams of other hosts about permits. It implements
// peer.PermitHandler.
type permitHandler struct{ *Relay }

// Answer implements peer.PermitHandler.
func (h permitHandler) Answer(host string, asks []flow.Ask) []flow.Grant {
	grants, changes := h.bounds.Answer(host, asks, time.Now())
	h.logNotices(changes)
	return grants
}

// Accept implements peer.PermitHandler.
func (h permitHandler) Accept(number uint64, grants []flow.Grant) {
	h.logNotices(h.bounds.Accept(number, grants, time.Now()))
}

// Tell implements peer.PermitHandler.
func (h permitHandler) Tell(host string, announced flow.Announcement) []flow.Announcement {
	relayed, changes := h.bounds.Tell(host, announced, time.Now())
	h.logNotices(changes)
	return relayed
}

// updateMembers tells the table of rate limits which hosts are known, and the other
// hosts whether this one may own limits.
func (r *Relay) updateMembers(now time.Time) {
	joined := r.bounds.HasJoined(now) || r.caps.IsEnforced() && r.caps.HasJoined(now)
	r.hosts.UpdateSelf(func(record *gossip.Record) { record.Joined = joined })
	known := r.hosts.Known(now)
	isSearching := !r.hosts.HasFoundTier(now)
	members := make([]flow.Member, 0, len(known))
	deciders := make([]canary.Member, 0, len(known))
	for _, k := range known {
		address := r.permits.PermitAddress(k.HeartbeatAddress)
		deciders = append(deciders, canary.Member{Name: k.Name, Address: address, Live: k.Live, Joined: k.Joined})
		members = append(members, flow.Member{
			Name:        k.Name,
			Zone:        k.Zone,
			Incarnation: k.Incarnation,
			Address:     address,
			Live:        k.Live,
			Leaving:     k.Leaving,
			Joined:      k.Joined,
			Searching:   isSearching && k.Name == r.settings.Name,
		})
	}
	r.bounds.SetMembers(members, now)
	r.rollouts.SetMembers(deciders)
	r.relayTable.UpdatePlacement(known, now)
	if r.caps.IsEnforced() {
		r.caps.SetMembers(members, now)
		r.updateCaps()
	}
}
