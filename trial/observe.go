package trial

import "hyssophub/fault"

// observer measures one property of a run, such as takeover times, and adds its
// figures to the result.
type observer interface {
	// observe is called with each action just before it is applied.
	observe(action Action)
	// figures ends the measurement. It is called before the hosts are closed.
	figures() map[string]float64
}

// newObservers returns the observers that apply to a policy. Several apply to
// the product only, as the baseline has no owners and no configuration.
func newObservers(l *load, network *Network, policy Policy) []observer {
	list := []observer{&crossZoneSends{network: network}, &zoneOutArrivals{backends: l.backends}}
	if f, ok := policy.(*Fleet); ok {
		list = append(list, &takeovers{fleet: f}, newIsolationProbes(l, f), newConfigWriters(l, f),
			&writeCallers{load: l, fleet: f, executions: l.backends.executions, verdicts: make(map[string]fault.Verdict)})
	}
	return list
}
