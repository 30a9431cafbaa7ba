package owner

import (
	"context"
	"math/rand/v2"
	"time"

	"hyssophub/config"
	"hyssophub/fault"
	"hyssophub/shard"
)

// SetOwned makes the engine own exactly the given servers and starts to poll the
// new ones. New ones without a handover are taken over as Options.Takeover
// says.
func (e *Engine) SetOwned(placed []config.Placed) { e.SetOwnedWith(placed, e.options.Takeover) }

// SetOwnedWith is Own with another kind of takeover for the servers that are new.
func (e *Engine) SetOwnedWith(placed []config.Placed, takeover Takeover) {
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

// ConfirmTakeover lifts the floor of takeovers that the store has confirmed.
func (e *Engine) ConfirmTakeover(servers []string) { e.table.ConfirmTakeover(servers) }

// Release stops dispatch to the servers and returns the state that their next
// owner continues with.
func (e *Engine) Release(servers []string) []HandoverState {
	states, refused := e.table.Release(servers, time.Now())
	for _, s := range refused {
		e.returnResult(s.Result)
	}
	return states
}

// ImportStates continues with the states that the last owner released.
func (e *Engine) ImportStates(states []HandoverState) { e.table.ImportStates(states, time.Now()) }

// MarkDraining stops new work for a server that leaves. It is for signals from the
// host list and from peers.
func (e *Engine) MarkDraining(server string) {
	now := time.Now()
	e.applyEffects(server, e.table.MarkDraining(server, now), now)
}

// sweep looks at the servers with work in progress.
func (e *Engine) sweep() {
	for _, name := range e.table.ActiveServers() {
		now := time.Now()
		e.applyEffects(name, e.table.Reevaluate(name, now), now)
	}
	e.submitAfter(e.options.SweepInterval, shard.Urgent, sweepJob{})
}

// pollJitterDivisor is the divisor of the poll interval that gives its spread, so that
// hosts that start together do not keep polling together.
const pollJitterDivisor = 5

// poll asks a server for its report and schedules the next poll while the
// server is owned.
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

// pollTarget returns the place of a server that is still owned, and ends its
// polling otherwise. The check holds the engine's lock, so that an Own at the
// same time either finds the polling ended or keeps it.
func (e *Engine) pollTarget(name string) (config.Placed, bool) {
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
