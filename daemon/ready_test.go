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

// Guards against callers that are sent to a host which has no configuration,
// knows no catalogs, or lies in a zone that is out.
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
		c.checkCatalogs(c.config.View(), 1)
		require.False(t, c.Ready())
		c.checkCatalogs(c.config.View(), 0)
		require.True(t, c.Ready())
		c.config.Accept(config.Value{Revision: 2, Manifest: manifest, Out: []string{"a"}})
		require.False(t, c.Ready())
	})
}

// Guards against a host of a zone that is cut off and never becomes ready
// because it cannot learn the other zones' catalogs.
func TestReadinessDoesNotWaitForever(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewCore(member.Host{Name: "h", Zone: "a"}, Ports{}, logs.Discard())
		defer func() { require.NoError(t, c.Close()) }()
		c.started = time.Now()
		c.config.Accept(config.Value{Revision: 1, Manifest: config.Manifest{Zones: []config.Zone{{Name: "a"}}}})
		time.Sleep(maxCatalogWait)
		c.checkCatalogs(c.config.View(), 100)
		require.True(t, c.Ready())
	})
}
