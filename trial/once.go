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
	// writeTimeout is the deadline of a write request.
	writeTimeout = 400 * time.Millisecond
	// writeRepeats bounds how often a caller repeats a request, each time
	// through another host, while no answer has the verdict "ran".
	writeRepeats = 3
)

// executions counts the executions of writes on all backend servers, by
// idempotency key and by request ID.
type executions struct {
	mu        sync.Mutex
	byKey     map[string]int
	byRequest map[string]int
	// lossRate is the share of messages of writes that are lost.
	lossRate float64
	rng      *rand.Rand
}

func newExecutions(seed uint64) *executions {
	return &executions{byKey: make(map[string]int), byRequest: make(map[string]int), rng: rand.New(rand.NewPCG(seed, 2))}
}

// loseMessage decides at random, with lossRate, whether a message is lost.
func (e *executions) loseMessage() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rng.Float64() < e.lossRate
}

func (e *executions) record(sub shard.SubRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.byKey[sub.IdempotencyKey]++
	e.byRequest[sub.RequestID]++
}

// writeCallers sends writes, repeats them through other hosts, and compares the
// verdict of each submission with the recorded executions.
type writeCallers struct {
	load       *load
	fleet      *Fleet
	executions *executions
	calls      sync.WaitGroup

	mu sync.Mutex
	// verdicts holds the verdict of each submission by request ID.
	verdicts map[string]fault.Verdict
}

func (w *writeCallers) observe(action Action) {
	if a, ok := action.(SendWrites); ok {
		w.executions.mu.Lock()
		w.executions.lossRate = a.Loss
		w.executions.mu.Unlock()
		w.calls.Go(func() { w.sendAll(a) })
	}
}

func (w *writeCallers) sendAll(a SendWrites) {
	services := w.load.manifest.Services
	for n := range a.Count {
		service := services[n%len(services)]
		w.calls.Go(func() {
			w.sendUntilRan(n, once.Request{
				Tenant: service.Tenant, Service: service.Name, Key: "key-" + strconv.Itoa(n), Text: "pay",
			})
		})
		time.Sleep(a.Every)
	}
}

// sendUntilRan sends a request and repeats it, at most writeRepeats times, until
// the verdict is fault.Ran.
func (w *writeCallers) sendUntilRan(n int, request once.Request) {
	for i := range 1 + writeRepeats {
		w.fleet.mu.Lock()
		core := w.fleet.pickHost((n + 4*i) % len(w.fleet.cores))
		w.fleet.mu.Unlock()
		request.ID = request.Key + "/" + strconv.Itoa(i)
		request.Deadline = time.Now().Add(writeTimeout)
		_, err := core.RunOnce(context.Background(), request)
		var verdict fault.Verdict = fault.Ran{}
		if err != nil {
			verdict = fault.VerdictOf(err)
		}
		w.mu.Lock()
		w.verdicts[request.ID] = verdict
		w.mu.Unlock()
		if _, ran := verdict.(fault.Ran); ran {
			return
		}
		time.Sleep(writeTimeout)
	}
}

// figures returns the number of keys that ran more than once, of submissions
// with the verdict "not run" that ran, of submissions with the verdict "ran"
// whose key never ran, of all submissions, and of the keys that ran.
func (w *writeCallers) figures() map[string]float64 {
	w.calls.Wait()
	w.executions.mu.Lock()
	defer w.executions.mu.Unlock()
	double, falseNotRun, falseRan := 0, 0, 0
	for _, n := range w.executions.byKey {
		double += boolToInt(n > 1)
	}
	for id, verdict := range w.verdicts {
		switch verdict.(type) {
		case fault.NotRun:
			falseNotRun += boolToInt(w.executions.byRequest[id] > 0)
		case fault.Ran:
			key, _, _ := strings.Cut(id, "/")
			falseRan += boolToInt(w.executions.byKey[key] == 0)
		}
	}
	return map[string]float64{
		"double_runs":   float64(double),
		"false_not_run": float64(falseNotRun),
		"false_ran":     float64(falseRan),
		"submissions":   float64(len(w.verdicts)),
		"keys_ran":      float64(len(w.executions.byKey)),
	}
}
