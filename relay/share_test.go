package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssophub/fleet"
	"hyssophub/flow"
	"hyssophub/gossip"
	"hyssophub/place"
	"hyssophub/rules"
	"hyssophub/store"
)

// TestMovedServiceHasEqualShare guards against a burst that is spent twice: by the first
// host of the group that a service was in, and by that of the group that it is in now,
// after some services of the zone are gone.
func TestMovedServiceHasEqualShare(t *testing.T) {
	now := time.Unix(1000, 0)
	instances := fleet.NewTable("a", flow.NewTable("self", now))
	var services []string
	for i := range partsPerGroup + 1 {
		name := fmt.Sprintf("s%d", i)
		services = append(services, name)
		instances.Register(fleet.Instance{ID: name, Service: name, Zone: "a", Address: name, State: fleet.Ready{}, Position: store.Position{Revision: 1}}, now)
	}
	routing := rules.NewTable(0)
	routing.Apply(rules.Set{Version: 1, Routes: []rules.Route{{Name: "r", Prefix: "/", Target: rules.Gather{Services: services}}}})
	table := NewTable(routing, instances, gossip.NewTable(gossip.Host{Name: "self", Zone: "a", Weight: 1e6}, now), BudgetLimits{Burst: 100, Window: 10 * time.Second}, 6)
	known := []gossip.Known{{Host: gossip.Host{Name: "self", Zone: "a", Weight: 1e6}, Live: true}}
	for i := range smallZone + 1 {
		known = append(known, gossip.Known{Host: gossip.Host{Name: fmt.Sprint(i), Zone: "a", Weight: 1}, Live: true})
	}
	share := func(service string, at time.Time) float64 {
		r := &requestState{request: Request{View: routing.View(), Route: &routing.View().Set.Routes[0]}, gather: &rules.Gather{Services: services}}
		return table.share(r, service, at)
	}
	table.UpdatePlacement(known, now)
	now = now.Add(11 * time.Second)
	full := share(services[0], now)
	equal := table.placement.EqualShare()
	require.Greater(t, full, equal)
	instances.Remove(services[0], store.Position{Revision: 2})
	now = now.Add(time.Second)
	for _, s := range services[1:] {
		if place.GroupOf(s, 2) == place.GroupOf(s, 1) {
			require.InDelta(t, full, share(s, now), 1e-9)
			continue
		}
		require.InDelta(t, equal, share(s, now), 1e-9)
		require.InDelta(t, full, share(s, now.Add(10*time.Second)), 1e-9)
	}
}
