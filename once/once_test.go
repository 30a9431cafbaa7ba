package once

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hyssophub/fault"
	"hyssophub/store"
)

// testCodec stands in for package codec, which imports this one.
type testCodec struct{}

type testValue struct{ Digest, State, Claim, Receipt string }

func (testCodec) Encode(s Record) ([]byte, error) {
	v := testValue{Digest: s.Digest, State: fmt.Sprintf("%T", s.State), Claim: s.State.claim()}
	if done, ok := s.State.(Done); ok {
		v.Receipt = done.Receipt
	}
	return json.Marshal(v)
}

func (testCodec) Decode(data []byte) (Record, error) {
	var v testValue
	err := json.Unmarshal(data, &v)
	states := map[string]State{
		"once.Claimed":  Claimed{Claim: v.Claim},
		"once.Done":     Done{Claim: v.Claim, Receipt: v.Receipt},
		"once.Released": Released{Claim: v.Claim},
	}
	return Record{Digest: v.Digest, State: states[v.State]}, err
}

// world is a fleet of hosts over one store.
type cluster struct {
	memoryStore *memoryStore
	backends    *backends
	engines     []*Engine
	plans       []*faultPlan
}

func newCluster(stores, links [][]callFault, writes float64) *cluster {
	w := &cluster{
		memoryStore: &memoryStore{entries: make(map[string]store.Entry)},
		backends:    &backends{runs: make(map[string]int), keys: make(map[string]int)},
	}
	for i := range stores {
		p, q := &faultPlan{faults: stores[i]}, &faultPlan{faults: links[i]}
		l := &ownerLink{backends: w.backends, faultPlan: q}
		configs, routes := tables()
		e := NewEngine(configs, routes, Ports{KV: kv{memoryStore: w.memoryStore, faultPlan: p}, Codec: testCodec{}, Link: l, Directory: l},
			Options{Host: fmt.Sprintf("host-%d", i), Workers: 4, Queue: 64, WritesPerSecond: writes})
		l.deliver = e.Deliver
		w.engines = append(w.engines, e)
		w.plans = append(w.plans, p, q)
	}
	return w
}

func (w *cluster) close() {
	for _, e := range w.engines {
		e.Close()
	}
}

func request(id, key string, timeout time.Duration) Request {
	return Request{ID: id, Tenant: "fees", Service: "invoicing", Key: key, Text: "pay 40", Deadline: time.Now().Add(timeout)}
}

// step is one request of a schedule.
type scheduledRequest struct {
	host     int
	key      string
	after    time.Duration
	timeout  time.Duration
	stopHost bool
}

type answer struct {
	id, key string
	receipt Result
	err     error
}

const hosts = 3

func drawFaults(t *rapid.T, label string) [][]callFault {
	gen := rapid.SliceOfN(rapid.IntRange(0, int(faults)-1), 0, 12)
	list := make([][]callFault, hosts)
	for i := range list {
		for _, f := range gen.Draw(t, fmt.Sprintf("%s %d", label, i)) {
			list[i] = append(list[i], callFault(f))
		}
	}
	return list
}

func drawSteps(t *rapid.T) []scheduledRequest {
	steps := make([]scheduledRequest, rapid.IntRange(1, 12).Draw(t, "requests"))
	for i := range steps {
		steps[i] = scheduledRequest{
			host:     rapid.IntRange(0, hosts-1).Draw(t, "host"),
			key:      rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key"),
			after:    time.Duration(rapid.IntRange(0, 400).Draw(t, "after")) * time.Millisecond,
			timeout:  time.Duration(rapid.IntRange(1, 500).Draw(t, "timeout")) * time.Millisecond,
			stopHost: rapid.IntRange(0, 9).Draw(t, "kill") == 0,
		}
	}
	return steps
}

// play runs a schedule and returns all answers. The last requests reach every
// host after the faults have ended.
func (w *cluster) runSchedule(steps []scheduledRequest) []answer {
	var (
		mu      sync.Mutex
		answers []answer
		calls   sync.WaitGroup
	)
	send := func(e *Engine, id, key string, timeout time.Duration) {
		calls.Go(func() {
			receipt, err := e.Run(context.Background(), request(id, key, timeout))
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, answer{id: id, key: key, receipt: receipt, err: err})
		})
	}
	for i, s := range steps {
		time.Sleep(s.after)
		send(w.engines[s.host], fmt.Sprintf("r%d", i), s.key, s.timeout)
		if s.stopHost {
			w.plans[2*s.host].stopHost()
			w.plans[2*s.host+1].stopHost()
		}
	}
	calls.Wait()
	time.Sleep(time.Minute)
	for _, p := range w.plans {
		p.clearFaults()
	}
	for i, e := range w.engines {
		for _, key := range []string{"k1", "k2"} {
			send(e, fmt.Sprintf("last-%d-%s", i, key), key, time.Second)
			calls.Wait()
		}
	}
	w.close()
	return answers
}

// Guards against a second run of a key and against "not run" for a request
// that ran, over lost connections, lost and delayed answers, host deaths and
// repeats through other hosts.
func TestAtMostOnceAndNoFalseNotRun(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		stores, links, steps := drawFaults(rt, "store"), drawFaults(rt, "link"), drawSteps(rt)
		var (
			w       *cluster
			answers []answer
		)
		synctest.Test(t, func(*testing.T) {
			w = newCluster(stores, links, 1e6)
			answers = w.runSchedule(steps)
		})
		for key, n := range w.backends.keys {
			if n > 1 {
				rt.Fatalf("key %s ran %d times", key, n)
			}
		}
		for _, a := range answers {
			verdict := fault.Verdict(fault.Ran{})
			if a.err != nil {
				verdict = fault.VerdictOf(a.err)
			}
			switch verdict.(type) {
			case fault.NotRun:
				if w.backends.runs[a.id] > 0 {
					rt.Fatalf("request %s ran and was answered %v", a.id, a.err)
				}
			case fault.Ran:
				if w.backends.keys[a.key] != 1 || a.receipt.Receipt != a.key+"/1" {
					rt.Fatalf("request %s: receipt %+v, %d runs", a.id, a.receipt, w.backends.keys[a.key])
				}
			}
		}
	})
}

// Guards against keys that stay claimed although only the store failed for a
// while: each key must run in the end.
func TestStoreFaultsBlockNoKey(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		stores, steps := drawFaults(rt, "store"), drawSteps(rt)
		for i := range steps {
			steps[i].stopHost = false
		}
		var (
			w       *cluster
			answers []answer
		)
		synctest.Test(t, func(*testing.T) {
			w = newCluster(stores, make([][]callFault, hosts), 1e6)
			answers = w.runSchedule(steps)
		})
		for _, a := range answers {
			if strings.HasPrefix(a.id, "last") && a.err != nil {
				rt.Fatalf("request %s for key %s: %v", a.id, a.key, a.err)
			}
		}
		if left := w.engines[0].InProgress() + w.engines[1].InProgress() + w.engines[2].InProgress(); left > 0 {
			rt.Fatalf("%d records left", left)
		}
	})
}

// Guards against repeats that do not learn the recorded receipt, against more
// than two store calls for an undisturbed request, and against a key that
// serves two bodies.
func TestRepeatThroughAnotherHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(make([][]callFault, hosts), make([][]callFault, hosts), 1e6)
		defer w.close()
		first, err := w.engines[0].Run(t.Context(), request("a", "k", time.Second))
		require.NoError(t, err)
		require.Equal(t, 2, first.StoreCalls)
		repeat, err := w.engines[1].Run(t.Context(), request("b", "k", time.Second))
		require.NoError(t, err)
		require.Equal(t, first.Receipt, repeat.Receipt)
		require.True(t, repeat.Repeat)
		other := request("c", "k", time.Second)
		other.Text = "pay 50"
		_, err = w.engines[2].Run(t.Context(), other)
		require.Equal(t, fault.ReasonConflict, fault.ReasonOf(err))
		require.Equal(t, fault.NotRun{}, fault.VerdictOf(err))
	})
}

// Guards against work that waits on a store that is down or slow, and against
// a claim that outlives its refusal.
func TestRefusalsWithoutTheGuard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster([][]callFault{{rejected}, {delayed}, nil}, make([][]callFault, hosts), 1e6)
		defer w.close()
		for _, e := range w.engines[:2] {
			_, err := e.Run(t.Context(), request("a", "k", 100*time.Millisecond))
			require.Equal(t, fault.NotRun{}, fault.VerdictOf(err))
		}
		time.Sleep(time.Second)
		_, err := w.engines[2].Run(t.Context(), request("b", "k", time.Second))
		require.NoError(t, err, "the delayed claim must not block the key")
	})
}

// Guards against a host that exceeds its share of the store's rate.
func TestHostKeepsItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(make([][]callFault, hosts), make([][]callFault, hosts), 60)
		defer w.close()
		ran := 0
		for i := range 1000 {
			if _, err := w.engines[0].Run(t.Context(), request("a", fmt.Sprintf("k%d", i), time.Second)); err == nil {
				ran++
			} else {
				require.Equal(t, fault.ReasonOverload, fault.ReasonOf(err))
			}
			time.Sleep(10 * time.Millisecond)
		}
		// 20 of the 60 writes a second for 10 s plus the burst, at 2 for each.
		require.InDelta(t, (20*10+storeCallBurst)/storeCallsPerRequest, ran, 2)
	})
}

// Guards against a lease call for each request, and against a request that
// fails because the store lost the lease.
func TestRequestsShareALease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster([][]callFault{{noFault, noFault, noFault, noFault, leaseLost}}, make([][]callFault, 1), 1e6)
		defer w.close()
		for i, grants := range []uint64{1, 1, 2} {
			_, err := w.engines[0].Run(t.Context(), request("a", fmt.Sprintf("k%d", i), time.Second))
			require.NoError(t, err)
			require.Equal(t, grants, w.memoryStore.grants)
		}
		time.Sleep(leaseUsePeriod)
		_, err := w.engines[0].Run(t.Context(), request("a", "k3", time.Second))
		require.NoError(t, err)
		require.Equal(t, uint64(3), w.memoryStore.grants)
	})
}
