package daemon

import (
	"context"
	"time"

	"hyssophub/config"
	"hyssophub/event"
	"hyssophub/member"
	"hyssophub/owner"
)

// updateOwnership gives the owner engine the servers of the placement groups that
// this host owns, and hands over the state of lost servers to their new owners.
func (c *Core) updateOwnership() {
	c.sendHandover(c.reassignServers())
}

// reassignServers changes the set of servers in the owner engine and returns the
// state of the servers that this host no longer owns. It calls no other host,
// since it holds ownershipMu.
func (c *Core) reassignServers() []owner.HandoverState {
	c.ownershipMu.Lock()
	defer c.ownershipMu.Unlock()
	view := c.config.View()
	groups := make(map[string][]string)
	for _, z := range view.Value.Manifest.Zones {
		groups[z.Name] = view.Groups(z.Name)
	}
	c.members.SetGroups(groups)
	owned := make(map[string]bool)
	var placed []config.PlacedServer
	for _, group := range groups[c.self.Zone] {
		if h, ok := c.members.Owner(group, c.self.Zone); !ok || h.ID() != c.self.ID() {
			continue
		}
		for _, name := range view.GroupServers(group) {
			p, _ := view.Server(name)
			placed = append(placed, p)
			owned[name] = true
		}
	}
	var lost []string
	for _, p := range c.ownership.Owned() {
		if !owned[p.Server.Name] {
			lost = append(lost, p.Server.Name)
		}
	}
	before := len(c.ownership.Owned())
	states := c.ownerEngine.Release(lost)
	c.acquireServers(placed)
	if gained := len(placed) - (before - len(lost)); gained > 0 || len(lost) > 0 {
		c.log.owner.Info().Int("owned", len(placed)).Int("gained", gained).Int("lost", len(lost)).Msg("ownership changed")
	}
	return states
}

// updateRouteOwners sets the owner of each backend server in the route table.
func (c *Core) updateRouteOwners() {
	for _, s := range c.config.View().Value.Manifest.Services {
		for _, server := range s.Servers {
			if host, ok := (directory{c}).OwnerOf(server.Name); ok {
				c.routes.SetOwner(server.Name, host)
			}
		}
	}
}

// acquireServers makes the given servers the owner engine's set. Servers whose
// takeover the store has not confirmed stay at the cold floor.
func (c *Core) acquireServers(placed []config.PlacedServer) {
	takeover := owner.DefaultOptions().Takeover
	var confirmed []string
	for _, p := range placed {
		if c.members.ProvisionalOwner(p.Group) {
			takeover.Unconfirmed = true
			continue
		}
		confirmed = append(confirmed, p.Server.Name)
	}
	c.ownerEngine.SetOwnedWith(placed, takeover)
	c.ownerEngine.ConfirmTakeover(confirmed)
}

// sendHandover sends the state of servers to their new owners. A new owner that
// does not receive a server's state starts it at the cold floor.
func (c *Core) sendHandover(states []owner.HandoverState) {
	byHost := make(map[string][]owner.HandoverState)
	for _, s := range states {
		if host, ok := (directory{c}).OwnerOf(s.Server); ok && host != c.self.Name {
			byHost[host] = append(byHost[host], s)
		}
	}
	for host, list := range byHost {
		ctx, cancel := context.WithTimeout(c.ctx, controlTimeout)
		err := c.ports.Peers.Handover(ctx, host, c.self.Name, list)
		cancel()
		if err != nil {
			c.log.owner.Warn().Err(err).Str("host", host).Int("servers", len(list)).Msg("handover failed")
		}
	}
}

// AnnounceStop notifies the other hosts of the zone that this host begins a planned
// stop.
func (c *Core) AnnounceStop(ctx context.Context) {
	for _, host := range c.members.ReachablePeers(time.Now()) {
		if err := c.ports.Peers.Notify(ctx, host, c.self.Name, event.HostLeaving{Host: c.self.Name}); err != nil {
			c.log.member.Debug().Err(err).Str("host", host).Msg("planned stop not announced to host")
		}
	}
}

// Leave removes this host from its zone's roster and hands its servers over. It
// waits until the roster no longer contains this host, at most until ctx ends.
func (c *Core) Leave(ctx context.Context) {
	c.perform(c.members.Leave(time.Now()))
	ticker := time.NewTicker(member.TickInterval)
	defer ticker.Stop()
	for !c.members.Left() && ctx.Err() == nil {
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	c.updateOwnership()
}
