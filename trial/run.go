package trial

import (
	"maps"
	"time"

	"hyssophub/config"
	"hyssophub/work"
)

// Names of the policies that a script runs with.
const (
	PolicyProduct  = "product"
	PolicyBaseline = "baseline"
	settleTime     = 2 * time.Second
)

// Run performs a script with a policy, PolicyProduct or PolicyBaseline, in
// virtual time. It must be called in a synctest bubble.
func Run(script Script, manifest config.Manifest, policy string) Result {
	backends := newBackends(manifest, script.ServiceTime, script.Seed)
	backends.planPartitions(script.Events)
	network := newNetwork(manifest.Network.Zone)
	var hosts Policy
	if policy == PolicyProduct {
		hosts = newFleet(manifest, backends, network, script.Seed)
	} else {
		hosts = newBaseline(manifest, backends, network)
	}
	// The hosts load the configuration and the catalogs before the first query.
	time.Sleep(settleTime)
	l := newLoad(script, manifest, backends, hosts)
	observers := newObservers(l, network, hosts)
	for _, e := range script.Events {
		time.AfterFunc(work.TimerDelay(e.At), func() {
			for _, o := range observers {
				o.observe(e.Action)
			}
			if a, ok := e.Action.(SetLoad); ok {
				l.apply(a)
				return
			}
			if !backends.apply(e.Action) {
				hosts.Apply(e.Action)
			}
		})
	}
	l.run()
	figures := make(map[string]float64)
	for _, o := range observers {
		maps.Copy(figures, o.figures())
	}
	hosts.Close()
	r := l.tally.result(backends.totalCounts())
	maps.Copy(r.Figures, figures)
	r.Trial, r.Policy, r.Deployment = script.Name, policy, manifest.Name
	return r
}
