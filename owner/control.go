package owner

import (
	"context"
	"time"

	"hyssophub/config"
	"hyssophub/fault"
	"hyssophub/shard"
)

// Own makes the engine own exactly the given servers and starts to poll the
// new ones. New ones without a handover are taken over as Options.Takeover
// says.
func (e *Engine) Own(placed []config.Placed) { e.OwnAs(placed, e.options.Takeover) }

// OwnAs is Own with another kind of takeover for the servers that are new.
func (e *Engine) OwnAs(placed []config.Placed, takeover Takeover) {
	before := e.table.Owned()
	if r, ok := e.backend.(Retainer); ok {
		r.Retain(placed)
	}
	for _, s := range e.table.Own(placed, takeover, time.Now()) {
		e.report(s.Result)
	}
	known := make(map[string]bool, len(before))
	for _, p := range before {
		known[p.Server.Name] = true
	}
	for _, p := range placed {
		if !known[p.Server.Name] {
			_ = e.pool.Submit(shard.Routine, pollJob{server: p})
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

// poll asks a server for its report and schedules the next poll while the
// server is owned.
func (e *Engine) poll(server config.Placed) {
	placed, ok := e.table.Placed(server.Server.Name)
	if !ok {
		return
	}
	name := placed.Server.Name
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
	e.later(e.options.Poll, shard.Routine, pollJob{server: placed})
}

// Catalog returns the catalogs of the owned servers.
func (e *Engine) Catalog() []shard.Catalog { return e.table.Catalog() }
