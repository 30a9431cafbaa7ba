package daemon

import (
	"time"

	"hyssophub/flow"
)

// logNotices logs what other hosts say of backend servers.
func (r *Relay) logNotices(changes []flow.Change) {
	for _, c := range changes {
		r.logNotice(c)
	}
}

// logNotice logs what a backend server newly says of the requests that it takes. Its
// answers that say the same again are not logged.
func (r *Relay) logNotice(change flow.Change) {
	switch c := change.(type) {
	case flow.LimitNamed:
		r.log.Info().Str("server", c.Server.ID).Str("zone", c.Server.Zone).Float64("rate", c.Rate).Msg("backend server announced a rate limit")
	case flow.LimitEnded:
		r.log.Info().Str("server", c.Server.ID).Str("zone", c.Server.Zone).Msg("backend server withdrew its rate limit")
	case flow.PauseNamed:
		r.log.Info().Str("server", c.Server.ID).Str("zone", c.Server.Zone).Dur("named", c.Named).Dur("pause", time.Until(c.Until)).
			Msg("backend server requested a pause from this host")
	case flow.LeavingNamed:
		r.log.Info().Str("server", c.Server.ID).Str("zone", c.Server.Zone).Str("from", c.From).Msg("backend server is shutting down")
	}
}
