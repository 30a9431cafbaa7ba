package trial

import (
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"hyssophub/fault"
	"hyssophub/once"
	"hyssophub/shard"
)

const (
	// writeTimeout is the time that a caller gives a request that writes.
	writeTimeout = 400 * time.Millisecond
	// writeRepeats is how often a caller sends a request again, through
	// another host, while it has no proof that it ran.
	writeRepeats = 3
)

// runs counts the executions of writes on all backend servers.
type runs struct {
	mu        sync.Mutex
	byKey     map[string]int
	byRequest map[string]int
	loss      float64
	rng       *rand.Rand
}

func newRuns(seed uint64) *runs {
	return &runs{byKey: make(map[string]int), byRequest: make(map[string]int), rng: rand.New(rand.NewPCG(seed, 2))}
}

// lost draws whether a message of a write is lost.
func (r *runs) lost() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.Float64() < r.loss
}

func (r *runs) count(sub shard.SubRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byKey[sub.IdempotencyKey]++
	r.byRequest[sub.RequestID]++
}

// onces sends writes with repeats through other hosts, and compares each
// verdict with what ran.
type onces struct {
	load  *load
	fleet *Fleet
	runs  *runs
	calls sync.WaitGroup

	mu       sync.Mutex
	verdicts map[string]fault.Verdict
}

func (o *onces) observe(action Action) {
	if a, ok := action.(SendWrites); ok {
		o.runs.mu.Lock()
		o.runs.loss = a.Loss
		o.runs.mu.Unlock()
		o.calls.Go(func() { o.callers(a) })
	}
}

func (o *onces) callers(a SendWrites) {
	services := o.load.manifest.Services
	for n := range a.Count {
		service := services[n%len(services)]
		o.calls.Go(func() {
			o.caller(n, once.Request{
				Tenant: service.Tenant, Service: service.Name, Key: "key-" + strconv.Itoa(n), Text: "pay",
			})
		})
		time.Sleep(a.Every)
	}
}

// caller sends a request and repeats it until it knows that it ran.
func (o *onces) caller(n int, request once.Request) {
	for i := range 1 + writeRepeats {
		o.fleet.mu.Lock()
		core := o.fleet.balance((n + 4*i) % len(o.fleet.cores))
		o.fleet.mu.Unlock()
		request.ID = request.Key + "/" + strconv.Itoa(i)
		request.Deadline = time.Now().Add(writeTimeout)
		_, err := core.Once(context.Background(), request)
		var verdict fault.Verdict = fault.Ran{}
		if err != nil {
			verdict = fault.VerdictOf(err)
		}
		o.mu.Lock()
		o.verdicts[request.ID] = verdict
		o.mu.Unlock()
		if _, ran := verdict.(fault.Ran); ran {
			return
		}
		time.Sleep(writeTimeout)
	}
}

// figures returns the keys that ran twice, the submissions answered "not run"
// although they ran, those answered "ran" whose key never ran, and the counts
// of submissions and of keys that ran.
func (o *onces) figures() map[string]float64 {
	o.calls.Wait()
	o.runs.mu.Lock()
	defer o.runs.mu.Unlock()
	double, falseNotRun, falseRan := 0, 0, 0
	for _, n := range o.runs.byKey {
		double += count(n > 1)
	}
	for id, verdict := range o.verdicts {
		switch verdict.(type) {
		case fault.NotRun:
			falseNotRun += count(o.runs.byRequest[id] > 0)
		case fault.Ran:
			key, _, _ := strings.Cut(id, "/")
			falseRan += count(o.runs.byKey[key] == 0)
		}
	}
	return map[string]float64{
		"double_runs":   float64(double),
		"false_not_run": float64(falseNotRun),
		"false_ran":     float64(falseRan),
		"submissions":   float64(len(o.verdicts)),
		"keys_ran":      float64(len(o.runs.byKey)),
	}
}
