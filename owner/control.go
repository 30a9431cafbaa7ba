package owner

import (
	"context"
	"math/rand/v2"
	"time"

	"hyssophub/config"
	"hyssophub/fault"
	"hyssophub/shard"
)

// SetOwned replaces the set of owned servers and starts to poll the new ones.
// New servers without an imported state are taken over according to
// Options.Takeover.
func (e *Engine) SetOwned(placed []config.PlacedServer) { e.SetOwnedWith(placed, e.options.Takeover) }

// SetOwnedWith is SetOwned with the given takeover for the new servers instead
// of Options.Takeover.
func (e *Engine) SetOwnedWith(placed []config.PlacedServer, takeover Takeover) {
	if r, ok := e.backend.(Retainer); ok {
		r.Retain(placed)
	}
	for _, s := range e.table.SetOwned(placed, takeover, time.Now()) {
		e.returnResult(s.Result)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range placed {
		name := p.Server.Name
		if !e.polling[name] {
			e.polling[name] = true
			_ = e.pool.Submit(shard.Routine, pollJob{server: name})
		}
	}
}

// ConfirmTakeover ends the restriction to the cold floor for takeovers that the
// store has confirmed.
func (e *Engine) ConfirmTakeover(servers []string) { e.table.ConfirmTakeover(servers) }

// Release stops dispatch to the servers, refuses their queued sub-requests and
// returns the states with which their next owner continues.
func (e *Engine) Release(servers []string) []HandoverState {
	states, refused := e.table.Release(servers, time.Now())
	for _, s := range refused {
		e.returnResult(s.Result)
	}
	return states
}

// ImportStates continues with the states that the previous owner released.
func (e *Engine) ImportStates(states []HandoverState) { e.table.ImportStates(states, time.Now()) }

// MarkDraining stops new work for a server that is shutting down. It is for
// signals from the host list and from peers.
func (e *Engine) MarkDraining(server string) {
	now := time.Now()
	e.applyEffects(server, e.table.MarkDraining(server, now), now)
}

// sweep reevaluates the servers with work in progress or queued and schedules
// the next sweep.
func (e *Engine) sweep() {
	for _, name := range e.table.ActiveServers() {
		now := time.Now()
		e.applyEffects(name, e.table.Reevaluate(name, now), now)
	}
	e.submitAfter(e.options.SweepInterval, shard.Urgent, sweepJob{})
}

// pollJitterDivisor gives the spread of the polls as a fraction of the poll
// interval. Without a spread, hosts that start together would keep polling at
// the same time.
const pollJitterDivisor = 5

// poll requests the state report of a server and schedules the next poll while
// the server is owned.
func (e *Engine) poll(name string) {
	placed, ok := e.pollTarget(name)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(e.ctx, e.options.PollInterval)
	report, err := e.backend.State(ctx, placed)
	cancel()
	now := time.Now()
	switch {
	case err == nil:
		report.Server = name
		e.applyEffects(name, e.table.ApplyReport(report, now), now)
	case fault.ReasonOf(err) == fault.ReasonDown:
		e.applyEffects(name, e.table.MarkDown(name, now), now)
	}
	spread := e.options.PollInterval / pollJitterDivisor
	e.submitAfter(e.options.PollInterval-spread+rand.N(spread+1), shard.Routine, pollJob{server: name})
}

// pollTarget returns the manifest entry of a server that is still owned;
// otherwise it ends the polling of the server. It holds the engine's lock, so
// that a concurrent SetOwned either sees that the polling has ended and
// restarts it, or keeps it running.
func (e *Engine) pollTarget(name string) (config.PlacedServer, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	placed, ok := e.table.Placed(name)
	if !ok {
		delete(e.polling, name)
	}
	return placed, ok
}

// Catalogs returns the catalogs of the owned servers.
func (e *Engine) Catalogs() []shard.Catalog { return e.table.Catalogs() }
