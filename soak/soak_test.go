// Package soak runs the real program as separate processes and injects faults
// from outside: signals, a faulty store, faulty backend servers, and proxies in
// front of both. It checks the guarantees of the tier against the answers that
// clients receive and the requests that backend servers execute.
package soak

import (
	"context"
	"flag"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	seedCount = flag.Int("soak.seeds", 0, "number of seeds to run in addition to the regression seeds")
	firstSeed = flag.Uint64("soak.first", 0, "first additional seed; 0 derives it from the clock")
	network   = flag.String("soak.net", "127.0", "first two numbers of the loopback addresses, so that two runs do not meet")
	faultTime = flag.Duration("soak.span", 8*time.Second, "time during which faults are injected for each seed")
)

// regressionSeeds run each time. A seed that failed is added here with a comment
// on its cause.
var regressionSeeds = []uint64{1}

const clientCount = 8

// loopback returns an address of the run: its first two numbers are those of the flag.
func loopback(rest string) string { return *network + "." + rest }

// TestSoak guards against lost, repeated or wrongly merged answers, requests to
// servers that have left, and a slow recovery while faults follow each other and
// overlap.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "hyssophub")
	build := exec.Command("go", "build", "-o", binary, "hyssophub/cmd/hyssophub")
	build.Stderr = os.Stderr
	require.NoError(t, build.Run())
	list := append([]uint64(nil), regressionSeeds...)
	start := *firstSeed
	if start == 0 {
		start = uint64(time.Now().Unix())
	}
	for i := range *seedCount {
		list = append(list, start+uint64(i))
	}
	for _, seed := range list {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { runSeed(t, binary, seed) })
	}
}

func runSeed(t *testing.T, binary string, seed uint64) {
	d := newDeployment(t, binary)
	o := &observations{nonIdempotent: make(map[string]int)}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { d.runBalancer(ctx) })
	require.Eventually(t, func() bool { return d.allListed() }, 10*time.Second, 50*time.Millisecond, "all hosts report ready")
	for i := range clientCount {
		c := newClient(d, o, seed+uint64(i))
		group.Go(func() { c.run(ctx) })
	}
	f := &faultInjector{d: d, random: rand.New(rand.NewPCG(seed, 0))}
	f.run(*faultTime)
	recovered := waitRecovered(d, o)
	cancel()
	group.Wait()
	// Wait for requests that are still in flight: backend servers may still run them.
	sleep(2 * requestTimeout)
	peak := 0
	for _, h := range d.hosts {
		peak = max(peak, h.checkMemory(d.executions))
	}
	t.Logf("seed %d: served %d (partial %d), refused %d, failed %d; %d MB at most; faults %v",
		seed, o.served.Load(), o.partial.Load(), o.refused.Load(), o.failed.Load(), peak>>20, f.injected)
	if !checkExecutions(d, o) || !recovered {
		t.Errorf("seed %d violated a guarantee: recovered %t\n%v\n%v", seed, recovered, o.violations, d.executions.violations)
		saveLogs(t, d, seed)
	}
}

// allListed reports whether the balancer lists all hosts.
func (d *deployment) allListed() bool {
	for _, h := range d.hosts {
		if !h.isListed() {
			return false
		}
	}
	return true
}

// recoveryLimit is the time after the last fault within which answers must be
// complete again: the target of the deployment.
const recoveryLimit = 12 * time.Second

// waitRecovered waits until twenty consecutive gathered answers are complete.
func waitRecovered(d *deployment, o *observations) bool {
	c := newClient(d, o, 0)
	defer c.http.CloseIdleConnections()
	complete := 0
	for end := time.Now().Add(recoveryLimit); time.Now().Before(end); sleep(20 * time.Millisecond) {
		if complete++; !c.gather() {
			complete = 0
		}
		if complete == 20 {
			return true
		}
	}
	return false
}

// checkExecutions compares the answers of non-idempotent requests with the
// executions on backend servers.
func checkExecutions(d *deployment, o *observations) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, status := range o.nonIdempotent {
		ran := d.executions.count(id + "/single")
		switch {
		case ran > 1:
			o.violations = append(o.violations, id+" ran "+strconv.Itoa(ran)+" times")
		case ran > 0 && (status == 503 || status == 429):
			o.violations = append(o.violations, id+" was refused as not run but ran")
		case ran == 0 && status == 200:
			o.violations = append(o.violations, id+" was answered with success but did not run")
		}
	}
	return len(o.violations) == 0 && len(d.executions.violations) == 0 && o.served.Load() > 0
}

// saveLogs copies the hosts' logs of a failed seed to the directory that the
// environment variable SOAK_KEEP names.
func saveLogs(t *testing.T, d *deployment, seed uint64) {
	dir := os.Getenv("SOAK_KEEP")
	if dir == "" {
		return
	}
	for _, h := range d.hosts {
		data, err := os.ReadFile(filepath.Join(h.dir, h.name+".log"))
		require.NoError(t, err)
		name := filepath.Join(dir, strconv.FormatUint(seed, 10)+"-"+h.name+".log")
		require.NoError(t, os.WriteFile(name, data, 0o600))
	}
}

// faultInjector injects faults in a random order that follows from the seed.
type faultInjector struct {
	d        *deployment
	random   *rand.Rand
	injected []string
	group    sync.WaitGroup
}

// run starts a fault every few hundred milliseconds; each lasts for up to some
// seconds, so that faults overlap. All faults have ended when run returns.
func (f *faultInjector) run(total time.Duration) {
	kinds := []struct {
		name   string
		inject func(time.Duration)
	}{
		{"kill", f.killHost},
		{"stop", f.stopHost},
		{"freeze", f.freezeHost},
		{"hangup", f.reloadHost},
		{"store", f.degradeStore},
		{"forget", f.compactStore},
		{"drill", f.drillStore},
		{"rules", f.writeRules},
		{"path", f.degradeServerConn},
		{"pause", f.pauseServer},
		{"shed", f.rejectRequests},
		{"garble", f.truncateAnswers},
		{"hostile", f.spoilAnswers},
		{"leave", f.drainServer},
		{"announce", f.announceLeaving},
		{"limit", f.limitServer},
		{"refuse", f.requestPause},
		{"storepath", f.degradeStoreConn},
	}
	for end := time.Now().Add(total); time.Now().Before(end); {
		kind := kinds[f.random.IntN(len(kinds))]
		duration := time.Duration(200+f.random.IntN(2000)) * time.Millisecond
		f.injected = append(f.injected, kind.name)
		kind.inject(duration)
		sleep(time.Duration(100+f.random.IntN(700)) * time.Millisecond)
	}
	f.group.Wait()
}

// host returns a random host.
func (f *faultInjector) host() *host { return f.d.hosts[f.random.IntN(len(f.d.hosts))] }

// server returns a random backend server.
func (f *faultInjector) server() *server {
	list := f.d.serverList()
	// The list comes from a map and has no fixed order, so the random number
	// selects an id.
	lowest := list[0]
	for _, s := range list {
		if s.id < lowest.id {
			lowest = s
		}
	}
	n := f.random.IntN(len(list))
	id := "i-" + strconv.Itoa(22002+2*n)
	for _, s := range list {
		if s.id == id {
			return s
		}
	}
	return lowest
}

// undoAfter undoes a fault after its duration.
func (f *faultInjector) undoAfter(duration time.Duration, undo func()) {
	f.group.Go(func() {
		sleep(duration)
		undo()
	})
}

// killHost kills a host, also a frozen one, and restarts it after the duration.
func (f *faultInjector) killHost(duration time.Duration) {
	h := f.host()
	h.checkMemory(f.d.executions)
	h.signal(syscall.SIGCONT)
	h.signal(syscall.SIGKILL)
	h.waitExit(time.Second)
	f.undoAfter(duration, func() { _ = h.start() })
}

// stopHost starts a planned stop of a host. The host must answer each request
// that it has read. It restarts once its process has exited.
func (f *faultInjector) stopHost(time.Duration) {
	h := f.host()
	h.checkMemory(f.d.executions)
	h.signal(syscall.SIGCONT)
	h.signal(syscall.SIGTERM)
	f.group.Go(func() {
		h.waitExit(8 * time.Second)
		_ = h.start()
	})
}

func (f *faultInjector) freezeHost(duration time.Duration) {
	h := f.host()
	h.signal(syscall.SIGSTOP)
	f.d.recordDisturbance()
	f.undoAfter(duration, func() {
		h.signal(syscall.SIGCONT)
		f.d.recordDisturbance()
	})
}

// reloadHost makes a host read its settings file again.
func (f *faultInjector) reloadHost(time.Duration) { f.host().signal(syscall.SIGHUP) }

func (f *faultInjector) degradeStore(duration time.Duration) {
	kinds := []storeFault{storeUnavailable{}, storeUnresponsive{}, storeSlow{}}
	f.d.store.setFault(kinds[f.random.IntN(len(kinds))])
	f.d.recordDisturbance()
	f.undoAfter(duration, func() {
		f.d.store.setFault(storeHealthy{})
		f.d.recordDisturbance()
	})
}

// drillStore makes the store go away for a moment and come back from a copy that is up to
// maxCopyAge old. What it has lost is written again up to rewriteDelay later.
func (f *faultInjector) drillStore(time.Duration) {
	f.d.store.setFault(storeUnavailable{})
	f.d.recordDisturbance()
	away := time.Duration(f.random.IntN(int(rewriteDelay)))
	age := time.Duration(f.random.IntN(int(maxCopyAge)))
	delay := time.Duration(f.random.IntN(int(rewriteDelay)))
	f.undoAfter(away, func() {
		f.d.store.drill(age)
		f.d.store.setFault(storeHealthy{})
		f.d.recordDisturbance()
		sleep(delay)
		f.d.store.rewrite()
		f.d.recordDisturbance()
	})
}

const (
	maxCopyAge   = 3 * time.Second
	rewriteDelay = 1500 * time.Millisecond
)

// compactStore makes watches from an earlier revision fail.
func (f *faultInjector) compactStore(time.Duration) { f.d.store.compact() }

func (f *faultInjector) writeRules(time.Duration) { f.d.writeRules() }

func (f *faultInjector) degradeProxy(p *proxy, duration time.Duration) {
	kinds := []proxyFault{proxyDelayed{}, proxyDropsReplies{}, proxyReset{}}
	p.setFault(kinds[f.random.IntN(len(kinds))])
	f.undoAfter(duration, func() { p.setFault(proxyHealthy{}) })
}

func (f *faultInjector) degradeServerConn(duration time.Duration) {
	f.degradeProxy(f.server().proxy, duration)
}

func (f *faultInjector) degradeStoreConn(duration time.Duration) {
	f.d.recordDisturbance()
	f.degradeProxy(f.d.storeProxy, duration)
	f.undoAfter(duration, f.d.recordDisturbance)
}

func (f *faultInjector) pauseServer(duration time.Duration) {
	s := f.server()
	s.paused.Store(true)
	f.undoAfter(duration, func() { s.paused.Store(false) })
}

func (f *faultInjector) rejectRequests(duration time.Duration) {
	s := f.server()
	s.rejecting.Store(true)
	f.undoAfter(duration, func() { s.rejecting.Store(false) })
}

// truncateAnswers makes a server announce more bytes than it sends.
func (f *faultInjector) truncateAnswers(duration time.Duration) {
	f.changeAnswers(answerTruncated{}, duration)
}

// spoilAnswers makes a server send answers that break off, come twice or never end.
func (f *faultInjector) spoilAnswers(duration time.Duration) {
	f.changeAnswers(hostileAnswers[f.random.IntN(len(hostileAnswers))], duration)
}

func (f *faultInjector) changeAnswers(fault answerFault, duration time.Duration) {
	s := f.server()
	s.setAnswers(fault)
	f.undoAfter(duration, func() { s.setAnswers(answerWhole{}) })
}

// announceLeaving makes a server say in its answers that it leaves, before its
// registration does, and adds a replacement at once.
func (f *faultInjector) announceLeaving(duration time.Duration) {
	s := f.server()
	if s.drainingSince.Load() > 0 || !s.leavingSince.CompareAndSwap(0, time.Now().UnixNano()) {
		return
	}
	f.d.addServer(s.service, s.zone)
	f.undoAfter(duration, func() { s.drainingSince.Store(f.d.register(s, "draining").UnixNano()) })
}

// limitServer makes a server name a rate limit. The bound on its requests holds while
// no host starts, is frozen or cut off, which faults of this soak do all the time;
// TestServerLimit checks it.
func (f *faultInjector) limitServer(duration time.Duration) {
	s := f.server()
	s.limit.set(1 + float64(f.random.IntN(50)))
	f.undoAfter(duration, func() { s.limit.set(0) })
}

// requestPause makes a server refuse requests and ask for a pause.
func (f *faultInjector) requestPause(duration time.Duration) { f.server().refusal.start(duration) }

// drainServer marks a server as draining and adds a replacement at once. The
// drained server goes on serving and records requests that arrive too late.
func (f *faultInjector) drainServer(time.Duration) {
	s := f.server()
	if s.drainingSince.Load() > 0 {
		return
	}
	f.d.addServer(s.service, s.zone)
	s.drainingSince.Store(f.d.register(s, "draining").UnixNano())
}
