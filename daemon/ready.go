package daemon

import (
	"time"

	"hyssophub/config"
)

// A host becomes ready once at most maxStaleCatalogShare of the backend servers
// have an unknown or outdated catalog; before that, its answers would lack shards.
// After maxCatalogWait it becomes ready anyway, so that hosts in an isolated
// zone serve the shards that they can reach.
const (
	maxStaleCatalogShare = 0.05
	maxCatalogWait       = 5 * time.Second
)

// Ready reports whether the balancer should send callers to this host. A host whose
// zone is taken out of service is not ready, but still answers requests.
func (c *Core) Ready() bool {
	view := c.config.View()
	return view.Value.Revision > 0 && !view.IsOutOfService(c.self.Zone) && c.catalogsLoaded.Load()
}

// updateCatalogsLoaded sets catalogsLoaded once the host has enough catalogs or has
// waited long enough. stale is the number of servers whose catalog is unknown or
// outdated.
func (c *Core) updateCatalogsLoaded(view *config.View, stale int) {
	if c.catalogsLoaded.Load() || view.Value.Revision == 0 {
		return
	}
	if float64(stale) <= maxStaleCatalogShare*float64(view.ServerCount()) || time.Since(c.started) >= maxCatalogWait {
		c.catalogsLoaded.Store(true)
	}
}
