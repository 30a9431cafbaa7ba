package daemon

import (
	"time"

	"hyssophub/config"
)

// A host becomes ready when it knows nearly all catalogs, since it could answer
// only with missing shards before. It does not wait for longer than
// catalogWait: a zone that is cut off serves what it can.
const (
	unknownShare = 0.05
	catalogWait  = 5 * time.Second
)

// Ready reports whether the balancer shall send callers here. A host whose zone
// is out is not ready, but still answers the callers that reach it.
func (c *Core) Ready() bool {
	view := c.config.View()
	return view.Value.Revision > 0 && !view.IsOutOfService(c.self.Zone) && c.learned.Load()
}

// noteCatalogs notes whether the host knows enough catalogs, given the number of
// servers whose catalog is unknown or outdated.
func (c *Core) noteCatalogs(view *config.View, stale int) {
	if c.learned.Load() || view.Value.Revision == 0 {
		return
	}
	if float64(stale) <= unknownShare*float64(view.ServerCount()) || time.Since(c.started) >= catalogWait {
		c.learned.Store(true)
	}
}
