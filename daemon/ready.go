package daemon

import (
	"time"

	"hyssophub/config"
)

// A host becomes ready when it knows nearly all catalogs, since it could answer
// only with missing shards before. It does not wait for longer than
// catalogWait: a zone that is cut off serves what it can.
const (
	maxStaleCatalogShare = 0.05
	maxCatalogWait       = 5 * time.Second
)

// Ready reports whether the balancer shall send callers here. A host whose zone
// is out is not ready, but still answers the callers that reach it.
func (c *Core) Ready() bool {
	view := c.config.View()
	return view.Value.Revision > 0 && !view.IsOut(c.self.Zone) && c.catalogsLoaded.Load()
}

// noteCatalogs notes whether the host knows enough catalogs, given the number of
// servers whose catalog is unknown or outdated.
func (c *Core) checkCatalogs(view *config.View, stale int) {
	if c.catalogsLoaded.Load() || view.Value.Revision == 0 {
		return
	}
	if float64(stale) <= maxStaleCatalogShare*float64(view.Servers()) || time.Since(c.started) >= maxCatalogWait {
		c.catalogsLoaded.Store(true)
	}
}
