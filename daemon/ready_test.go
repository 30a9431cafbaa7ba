package daemon

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"hyssophub/config"
	"hyssophub/logs"
	"hyssophub/member"
)

// Guards against a balancer that sends callers to a host which has no
// configuration or no catalogs, or whose zone is taken out of service.
func TestReadiness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewCore(member.Host{Name: "h", Zone: "a"}, Ports{}, logs.Discard())
		defer func() { require.NoError(t, c.Close()) }()
		c.started = time.Now()
		require.False(t, c.Ready())
		manifest := config.Manifest{
			Zones:    []config.Zone{{Name: "a"}},
			Services: []config.Service{{Name: "s", Servers: []config.Server{{Name: "s-1", Zone: "a"}}}},
		}
		c.config.Accept(config.Value{Revision: 1, Manifest: manifest})
		c.updateCatalogsLoaded(c.config.View(), 1)
		require.False(t, c.Ready())
		c.updateCatalogsLoaded(c.config.View(), 0)
		require.True(t, c.Ready())
		c.config.Accept(config.Value{Revision: 2, Manifest: manifest, ZonesOut: []string{"a"}})
		require.False(t, c.Ready())
	})
}

// Guards against a host in an isolated zone that never becomes ready because it
// cannot fetch the catalogs of the other zones.
func TestReadinessDoesNotWaitForever(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewCore(member.Host{Name: "h", Zone: "a"}, Ports{}, logs.Discard())
		defer func() { require.NoError(t, c.Close()) }()
		c.started = time.Now()
		c.config.Accept(config.Value{Revision: 1, Manifest: config.Manifest{Zones: []config.Zone{{Name: "a"}}}})
		time.Sleep(maxCatalogWait)
		c.updateCatalogsLoaded(c.config.View(), 100)
		require.True(t, c.Ready())
	})
}
