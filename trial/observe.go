package trial

import "hyssophub/fault"

// observer adds the figures of one concern to a run. The interface has an
// implementation for each of ownership, cut off zones and writes.
type observer interface {
	// observe sees an action of the script when it begins.
	observe(action Action)
	// figures ends the observation. It is called before the hosts close.
	figures() map[string]float64
}

// newObservers returns the observers of a policy. Those of ownership and of
// the hosts' own answers apply to the product alone, as the baseline has no
// owners.
func newObservers(l *load, network *Network, policy Policy) []observer {
	list := []observer{&crossZoneSends{network: network}, &zoneOutArrivals{backends: l.backends}}
	if f, ok := policy.(*Fleet); ok {
		list = append(list, &takeovers{fleet: f}, newIsolationProbes(l, f), newConfigWriters(l, f),
			&writeCallers{load: l, fleet: f, executions: l.backends.executions, verdicts: make(map[string]fault.Verdict)})
	}
	return list
}
