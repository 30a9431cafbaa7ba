package owner

import (
	"context"
	"math/rand/v2"
	"time"

	"hyssophub/config"
	"hyssophub/fault"
	"hyssophub/shard"
)

// Own makes the engine own exactly the given servers and starts to poll the
// new ones. New ones without a handover are taken over as Options.Takeover
// says.
func (e *Engine) Own(placed []config.PlacedServer) { e.OwnAs(placed, e.options.Takeover) }

// OwnAs is Own with another kind of takeover for the servers that are new.
func (e *Engine) OwnAs(placed []config.PlacedServer, takeover Takeover) {
	if r, ok := e.backend.(Retainer); ok {
		r.Retain(placed)
	}
	for _, s := range e.table.Own(placed, takeover, time.Now()) {
		e.report(s.Result)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range placed {
		name := p.Server.Name
		if !e.polled[name] {
			e.polled[name] = true
			_ = e.pool.Submit(shard.Routine, pollJob{server: name})
		}
	}
}

// Confirm lifts the floor of takeovers that the store has confirmed.
func (e *Engine) Confirm(servers []string) { e.table.Confirm(servers) }

// Release stops dispatch to the servers and returns the state that their next
// owner continues with.
func (e *Engine) Release(servers []string) []State {
	states, settled := e.table.Release(servers, time.Now())
	for _, s := range settled {
		e.report(s.Result)
	}
	return states
}

// Adopt continues with the states that the last owner released.
func (e *Engine) Adopt(states []State) { e.table.Adopt(states, time.Now()) }

// Drain stops new work for a server that leaves. It is for signals from the
// host list and from peers.
func (e *Engine) Drain(server string) {
	now := time.Now()
	e.proceed(server, e.table.Drain(server, now), now)
}

// sweep looks at the servers with work in progress.
func (e *Engine) sweep() {
	for _, name := range e.table.Sweep() {
		now := time.Now()
		e.proceed(name, e.table.Wake(name, now), now)
	}
	e.later(e.options.Sweep, shard.Urgent, sweepJob{})
}

// pollJitter is the divisor of the poll interval that gives its spread, so that
// hosts that start together do not keep polling together.
const pollJitter = 5

// poll asks a server for its report and schedules the next poll while the
// server is owned.
func (e *Engine) poll(name string) {
	placed, ok := e.pollable(name)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(e.ctx, e.options.Poll)
	report, err := e.backend.State(ctx, placed)
	cancel()
	now := time.Now()
	switch {
	case err == nil:
		report.Server = name
		e.proceed(name, e.table.Report(report, now), now)
	case fault.ReasonOf(err) == fault.ReasonDown:
		e.proceed(name, e.table.Down(name, now), now)
	}
	spread := e.options.Poll / pollJitter
	e.later(e.options.Poll-spread+rand.N(spread+1), shard.Routine, pollJob{server: name})
}

// pollable returns the place of a server that is still owned, and ends its
// polling otherwise. The check holds the engine's lock, so that an Own at the
// same time either finds the polling ended or keeps it.
func (e *Engine) pollable(name string) (config.PlacedServer, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	placed, ok := e.table.Placed(name)
	if !ok {
		delete(e.polled, name)
	}
	return placed, ok
}

// Catalog returns the catalogs of the owned servers.
func (e *Engine) Catalog() []shard.Catalog { return e.table.Catalog() }
