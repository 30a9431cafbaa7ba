package daemon

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"hyssophub/admin"
	"hyssophub/codec"
	"hyssophub/config"
	"hyssophub/logs"
)

// View implements admin.Host.
func (c *Core) View() *config.View { return c.config.View() }

// Status implements admin.Host.
func (c *Core) Status(now time.Time) admin.Status {
	view := c.config.View()
	s := admin.Status{
		Host:        c.self.Name,
		Zone:        c.self.Zone,
		Revision:    view.Value.Revision,
		ConfigFresh: c.config.Fresh(now),
	}
	for _, h := range c.members.LiveHosts(c.self.Zone) {
		s.Members = append(s.Members, h.Name)
	}
	for _, p := range c.ownership.Owned() {
		s.Servers = append(s.Servers, p.Server.Name)
	}
	slices.Sort(s.Servers)
	s.Pending = c.unmetConditions(view, s.ConfigFresh)
	return s
}

// unmetConditions lists what the host still needs to serve all requests.
func (c *Core) unmetConditions(view *config.View, fresh bool) []string {
	var conditions []string
	if view.Value.Revision == 0 {
		conditions = append(conditions, "configuration")
	}
	if !fresh {
		conditions = append(conditions, "confirmation of the configuration")
	}
	if stale := len(c.routes.StaleCatalogs(serverNames(view))); stale > 0 {
		conditions = append(conditions, "catalogs of "+strconv.Itoa(stale)+" servers")
	}
	return conditions
}

func serverNames(view *config.View) []string {
	names := make([]string, 0, view.ServerCount())
	for _, s := range view.Value.Manifest.Services {
		for _, server := range s.Servers {
			names = append(names, server.Name)
		}
	}
	return names
}

// Changer returns the service that changes the configuration through this
// host's store.
func (c *Core) Changer() *config.Changer {
	return config.NewChanger(c.ports.KV, codec.Config{}, config.DefaultChangeTimeout)
}

// newAdminHandler returns the handler of the administration API. Without a token
// file, only the metrics can be read.
func (d *Daemon) newAdminHandler(log *logs.Loggers) (http.Handler, error) {
	var tokens admin.Tokens
	if d.settings.TokensFile != "" {
		var err error
		if tokens, err = admin.ReadTokens(d.settings.TokensFile); err != nil {
			return nil, err
		}
	}
	return admin.NewHandler(d.core, d.core.Changer(), tokens, d.stats.Handler(), log.Layer(logs.LayerAdmin)), nil
}

// AdminAddress returns the address of the administration API.
func (d *Daemon) AdminAddress() string { return d.adminListener.address() }
