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

// testCodec replaces codec.Once, whose package imports this one.
type testCodec struct{}

type testValue struct{ Digest, State, Claim, Receipt string }

func (testCodec) Encode(s Record) ([]byte, error) {
	v := testValue{Digest: s.Digest, State: fmt.Sprintf("%T", s.State), Claim: s.State.claimID()}
	if done, ok := s.State.(Done); ok {
		v.Receipt = done.Receipt
	}
	return json.Marshal(v)
}

func (testCodec) Decode(data []byte) (Record, error) {
	var v testValue
	err := json.Unmarshal(data, &v)
	states := map[string]State{
		"once.Claimed":  Claimed{ClaimID: v.Claim},
		"once.Done":     Done{ClaimID: v.Claim, Receipt: v.Receipt},
		"once.Released": Released{ClaimID: v.Claim},
	}
	return Record{Digest: v.Digest, State: states[v.State]}, err
}

// cluster is a set of hosts that share one store.
type cluster struct {
	memory   *memoryStore
	backends *backends
	engines  []*Engine
	plans    []*faultPlan
}

func newCluster(stores, links [][]callFault, writesPerSecond float64) *cluster {
	c := &cluster{
		memory:   &memoryStore{entries: make(map[string]store.Entry)},
		backends: &backends{runs: make(map[string]int), keys: make(map[string]int)},
	}
	for i := range stores {
		p, q := &faultPlan{faults: stores[i]}, &faultPlan{faults: links[i]}
		l := &ownerLink{backends: c.backends, plan: q}
		configs, routes := tables()
		e := NewEngine(configs, routes, Ports{KV: kv{memory: c.memory, plan: p}, Codec: testCodec{}, Transport: l, Directory: l},
			Options{Host: fmt.Sprintf("host-%d", i), Workers: 4, Queue: 64, WritesPerSecond: writesPerSecond})
		l.deliver = e.Deliver
		c.engines = append(c.engines, e)
		c.plans = append(c.plans, p, q)
	}
	return c
}

func (c *cluster) close() {
	for _, e := range c.engines {
		e.Close()
	}
}

func request(id, key string, timeout time.Duration) Request {
	return Request{ID: id, Tenant: "fees", Service: "invoicing", Key: key, Text: "pay 40", Deadline: time.Now().Add(timeout)}
}

// scheduledRequest is one request of a schedule: it is sent to host after a
// pause. If stopHost is set, the host stops right after.
type scheduledRequest struct {
	host     int
	key      string
	pause    time.Duration
	timeout  time.Duration
	stopHost bool
}

type answer struct {
	id, key string
	result  Result
	err     error
}

const hostCount = 3

func drawFaults(t *rapid.T, label string) [][]callFault {
	gen := rapid.SliceOfN(rapid.IntRange(0, int(numFaults)-1), 0, 12)
	list := make([][]callFault, hostCount)
	for i := range list {
		for _, f := range gen.Draw(t, fmt.Sprintf("%s %d", label, i)) {
			list[i] = append(list[i], callFault(f))
		}
	}
	return list
}

func drawRequests(t *rapid.T) []scheduledRequest {
	requests := make([]scheduledRequest, rapid.IntRange(1, 12).Draw(t, "requests"))
	for i := range requests {
		requests[i] = scheduledRequest{
			host:     rapid.IntRange(0, hostCount-1).Draw(t, "host"),
			key:      rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key"),
			pause:    time.Duration(rapid.IntRange(0, 400).Draw(t, "after")) * time.Millisecond,
			timeout:  time.Duration(rapid.IntRange(1, 500).Draw(t, "timeout")) * time.Millisecond,
			stopHost: rapid.IntRange(0, 9).Draw(t, "kill") == 0,
		}
	}
	return requests
}

// runSchedule runs a schedule and returns all answers. The last requests are
// sent to every host after the faults have ended.
func (c *cluster) runSchedule(requests []scheduledRequest) []answer {
	var (
		mu      sync.Mutex
		answers []answer
		calls   sync.WaitGroup
	)
	send := func(e *Engine, id, key string, timeout time.Duration) {
		calls.Go(func() {
			result, err := e.Run(context.Background(), request(id, key, timeout))
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, answer{id: id, key: key, result: result, err: err})
		})
	}
	for i, s := range requests {
		time.Sleep(s.pause)
		send(c.engines[s.host], fmt.Sprintf("r%d", i), s.key, s.timeout)
		if s.stopHost {
			c.plans[2*s.host].stopHost()
			c.plans[2*s.host+1].stopHost()
		}
	}
	calls.Wait()
	time.Sleep(time.Minute)
	for _, p := range c.plans {
		p.clearFaults()
	}
	for i, e := range c.engines {
		for _, key := range []string{"k1", "k2"} {
			send(e, fmt.Sprintf("last-%d-%s", i, key), key, time.Second)
			calls.Wait()
		}
	}
	c.close()
	return answers
}

// Guards against a second run of a key, and against the verdict "not run" for a
// request that ran. The schedules contain lost connections, lost and delayed
// answers, stopped hosts and repeats through other hosts.
func TestAtMostOnceAndNoFalseNotRun(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		stores, links, requests := drawFaults(rt, "store"), drawFaults(rt, "link"), drawRequests(rt)
		var (
			c       *cluster
			answers []answer
		)
		synctest.Test(t, func(*testing.T) {
			c = newCluster(stores, links, 1e6)
			answers = c.runSchedule(requests)
		})
		for key, n := range c.backends.keys {
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
				if c.backends.runs[a.id] > 0 {
					rt.Fatalf("request %s ran and was answered %v", a.id, a.err)
				}
			case fault.Ran:
				if c.backends.keys[a.key] != 1 || a.result.Receipt != a.key+"/1" {
					rt.Fatalf("request %s: receipt %+v, %d runs", a.id, a.result, c.backends.keys[a.key])
				}
			}
		}
	})
}

// Guards against keys that stay claimed after a temporary failure of the store:
// once the store works again, a request for each key must run.
func TestStoreFaultsLeaveNoKeyClaimed(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		stores, requests := drawFaults(rt, "store"), drawRequests(rt)
		for i := range requests {
			requests[i].stopHost = false
		}
		var (
			c       *cluster
			answers []answer
		)
		synctest.Test(t, func(*testing.T) {
			c = newCluster(stores, make([][]callFault, hostCount), 1e6)
			answers = c.runSchedule(requests)
		})
		for _, a := range answers {
			if strings.HasPrefix(a.id, "last") && a.err != nil {
				rt.Fatalf("request %s for key %s: %v", a.id, a.key, a.err)
			}
		}
		if left := c.engines[0].InProgress() + c.engines[1].InProgress() + c.engines[2].InProgress(); left > 0 {
			rt.Fatalf("%d records left", left)
		}
	})
}

// Guards against repeats that are not answered with the recorded receipt,
// against more than two store calls for an undisturbed request, and against a
// key that is accepted with two different texts.
func TestRepeatThroughAnotherHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(make([][]callFault, hostCount), make([][]callFault, hostCount), 1e6)
		defer c.close()
		first, err := c.engines[0].Run(t.Context(), request("a", "k", time.Second))
		require.NoError(t, err)
		require.Equal(t, 2, first.StoreCalls)
		repeat, err := c.engines[1].Run(t.Context(), request("b", "k", time.Second))
		require.NoError(t, err)
		require.Equal(t, first.Receipt, repeat.Receipt)
		require.True(t, repeat.Repeat)
		other := request("c", "k", time.Second)
		other.Text = "pay 50"
		_, err = c.engines[2].Run(t.Context(), other)
		require.Equal(t, fault.ReasonConflict, fault.ReasonOf(err))
		require.Equal(t, fault.NotRun{}, fault.VerdictOf(err))
	})
}

// Guards against requests that run without a claim while the store is down or
// slow, and against a claim that takes effect after its request was refused and
// blocks the key.
func TestUnavailableStoreRefusesRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster([][]callFault{{rejected}, {delayed}, nil}, make([][]callFault, hostCount), 1e6)
		defer c.close()
		for _, e := range c.engines[:2] {
			_, err := e.Run(t.Context(), request("a", "k", 100*time.Millisecond))
			require.Equal(t, fault.NotRun{}, fault.VerdictOf(err))
		}
		time.Sleep(time.Second)
		_, err := c.engines[2].Run(t.Context(), request("b", "k", time.Second))
		require.NoError(t, err, "the delayed claim must not block the key")
	})
}

// Guards against a host that exceeds its share of the store's write rate.
func TestHostStaysWithinItsWriteRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(make([][]callFault, hostCount), make([][]callFault, hostCount), 60)
		defer c.close()
		ran := 0
		for i := range 1000 {
			if _, err := c.engines[0].Run(t.Context(), request("a", fmt.Sprintf("k%d", i), time.Second)); err == nil {
				ran++
			} else {
				require.Equal(t, fault.ReasonOverload, fault.ReasonOf(err))
			}
			time.Sleep(10 * time.Millisecond)
		}
		// The host may make 20 of the 60 store calls a second for 10 s plus the
		// burst, at storeCallsPerRequest for each request.
		require.InDelta(t, (20*10+storeCallBurst)/storeCallsPerRequest, ran, 2)
	})
}

// Guards against one lease call for each request, and against a request that
// fails because its lease has expired in the store.
func TestRequestsShareALease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster([][]callFault{{noFault, noFault, noFault, noFault, targetGone}}, make([][]callFault, 1), 1e6)
		defer c.close()
		for i, grants := range []uint64{1, 1, 2} {
			_, err := c.engines[0].Run(t.Context(), request("a", fmt.Sprintf("k%d", i), time.Second))
			require.NoError(t, err)
			require.Equal(t, grants, c.memory.grants)
		}
		time.Sleep(leaseUsePeriod)
		_, err := c.engines[0].Run(t.Context(), request("a", "k3", time.Second))
		require.NoError(t, err)
		require.Equal(t, uint64(3), c.memory.grants)
	})
}
