package trial

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"hyssophub/config"
	"hyssophub/query"
	"hyssophub/shard"
)

// answerLimit is high enough to return every hit, so that checkAnswer sees the
// hits of all shards.
const answerLimit = 1000

// load sends the queries of all tenants to a policy and records the answers.
type load struct {
	script   Script
	manifest config.Manifest
	backends *Backends
	policy   Policy
	start    time.Time
	tally    *tally

	mu sync.Mutex
	// rates holds the queries per second by tenant.
	rates map[string]float64
}

func newLoad(script Script, manifest config.Manifest, backends *Backends, policy Policy) *load {
	l := &load{
		script:   script,
		manifest: manifest,
		backends: backends,
		policy:   policy,
		start:    time.Now(),
		tally:    newTally(),
		rates:    make(map[string]float64),
	}
	for _, t := range manifest.Tenants {
		l.rates[t.Name] = script.Rate
	}
	return l
}

// apply sets the rates of the tenants of a class relative to their capacity.
func (l *load) apply(a SetLoad) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range l.manifest.Tenants {
		if t.Class == a.Class {
			l.rates[t.Name] = a.Capacity * l.capacity(t.Name)
		}
	}
}

// capacity returns the queries per second that the tenant's smallest service
// can process.
func (l *load) capacity(tenant string) float64 {
	least := 0.0
	for _, s := range l.manifest.Services {
		if s.Tenant != tenant {
			continue
		}
		c := float64(s.Slots*len(s.Servers)) / l.script.ServiceTime.Seconds()
		if least == 0 || c < least {
			least = c
		}
	}
	return least
}

func (l *load) rate(tenant string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rates[tenant]
}

// run sends queries until the end of the script and waits for all answers.
func (l *load) run() {
	var tenants sync.WaitGroup
	for i, t := range l.manifest.Tenants {
		tenants.Go(func() { l.runTenant(t, rand.New(rand.NewPCG(l.script.Seed, uint64(100+i)))) })
	}
	tenants.Wait()
}

// runTenant sends the queries of one tenant at random intervals.
func (l *load) runTenant(t config.Tenant, rng *rand.Rand) {
	var services []string
	for _, s := range l.manifest.Services {
		if s.Tenant == t.Name {
			services = append(services, s.Name)
		}
	}
	var queries sync.WaitGroup
	defer queries.Wait()
	for n := 0; time.Since(l.start) < l.script.Duration; n++ {
		time.Sleep(time.Duration(rng.ExpFloat64() / l.rate(t.Name) * float64(time.Second)))
		seed := rng.Uint64()
		id := t.Name + "-" + strconv.Itoa(n)
		queries.Go(func() { l.sendQuery(t, services, id, rand.New(rand.NewPCG(seed, 0))) })
	}
}

// sendQuery sends one query and records its answer. Times include the network
// delay between the caller and the host.
func (l *load) sendQuery(t config.Tenant, services []string, id string, rng *rand.Rand) {
	sent := time.Now()
	time.Sleep(l.manifest.Network.Client)
	request := query.Request{
		ID: id, Tenant: t.Name, Services: services, Text: "x", Limit: answerLimit, Class: t.Class,
		Deadline: time.Now().Add(l.script.Deadline),
	}
	ctx, cancel := context.WithDeadline(context.Background(), request.Deadline.Add(time.Second))
	defer cancel()
	answer, err := l.policy.Query(ctx, rng, request)
	overdue := time.Now().After(request.Deadline)
	time.Sleep(l.manifest.Network.Client)
	r := record{class: t.Class, latency: time.Since(sent), answer: answer, refused: err != nil, overdue: overdue}
	if err == nil {
		r.mixed, r.inexact = l.checkAnswer(services, answer)
	}
	at := sent.Sub(l.start)
	switch {
	case at >= l.script.During.From && at < l.script.During.To:
		l.tally.add(windowDuring, r)
	case at >= l.script.Before.From && at < l.script.Before.To:
		l.tally.add(windowBefore, r)
	}
}

// checkAnswer compares an answer with its hits, each of which names its version
// and shard. An answer is mixed if a hit has another version than the snapshot.
// The coverage is inexact if it differs from the shards with hits, or if the
// shards with hits and the missing shards together are not the partition map of
// the snapshot. A host without a known version answers with snapshot zero: no
// shard may be covered, and all shards of the manifest must be missing.
func (l *load) checkAnswer(services []string, answer query.Answer) (mixed, inexact bool) {
	version := strconv.FormatUint(uint64(answer.Snapshot), 10)
	found := make(map[string]bool, len(answer.Hits))
	for _, h := range answer.Hits {
		mixed = mixed || h.Text != version
		inexact = inexact || found[h.Key]
		found[h.Key] = true
	}
	c := answer.Coverage
	inexact = inexact || len(found) != c.Covered || c.Covered+len(c.Missing) != c.Total
	for _, m := range c.Missing {
		inexact = inexact || found[m.Shard]
		found[m.Shard] = true
	}
	want := 0
	for _, name := range services {
		for _, s := range l.backends.shardsAt(name, answer.Snapshot) {
			want++
			inexact = inexact || !found[s]
		}
	}
	unknown := answer.Snapshot == 0 && c.Covered > 0
	return mixed, inexact || unknown || want != c.Total
}

// record is the outcome of one query as its caller measured it.
type record struct {
	class   shard.Class
	latency time.Duration
	answer  query.Answer
	refused bool
	overdue bool
	mixed   bool
	inexact bool
}
