package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	rolloutSeeds = flag.Int("soak.rollouts", 0, "number of fresh seeds of roll-outs in addition to the kept ones")
	firstRollout = flag.Uint64("soak.rollout", 0, "first fresh seed of roll-outs; 0 derives it from the clock")
)

// keptRollouts are the seeds of roll-outs that run each time. In 202 a good version was
// rolled back: a server paused during the move, when times of the move were compared with
// those under the load before; in 610 the connections that all hosts open when the move
// begins were.
var keptRollouts = []uint64{202, 610}

// Bounds of the deployment on a roll-out.
const (
	exposureShare = 0.1
	exposureSlack = 50
	// rollbackTime is the time after the fiftieth bad answer within which a bad version
	// gets its last request, if nothing is disturbed.
	rollbackTime = 5 * time.Second
	maxBad       = 50
	// skewTime is the time by which a fault extends the bounds.
	skewTime = 15 * time.Second
)

// rollout is a roll-out in progress and what it is expected to come to.
type rollout struct {
	service  string
	kind     string
	isBad    bool
	old      []*server
	target   []*server
	ordered  time.Time
	duration time.Duration

	mu       sync.Mutex
	states   []string
	decided  time.Time
	openThen int
}

// TestRollouts guards against a bad version that gets too many requests or is completed, a
// good one that is rolled back, two verdicts, and requests that are lost when the old
// servers stop, with real processes, beside kills, frozen hosts, cuts and outages of the
// store.
func TestRollouts(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "hyssophub")
	build := exec.Command("go", "build", "-o", binary, "hyssophub/cmd/hyssophub")
	build.Stderr = os.Stderr
	require.NoError(t, build.Run())
	seeds := append([]uint64(nil), keptRollouts...)
	first := *firstRollout
	if first == 0 {
		first = uint64(time.Now().Unix())
	}
	for i := range *rolloutSeeds {
		seeds = append(seeds, first+uint64(i))
	}
	for _, seed := range seeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { runRollouts(t, binary, seed) })
	}
}

// joinTime is the time after which hosts that started take duties, with some to spare.
const joinTime = 6500 * time.Millisecond

func runRollouts(t *testing.T, binary string, seed uint64) {
	d := newDeployment(t, binary)
	o := &observations{nonIdempotent: make(map[string]int)}
	random := rand.New(rand.NewPCG(seed, 3))
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { d.runBalancer(ctx) })
	require.Eventually(t, func() bool { return d.allListed() }, 10*time.Second, 50*time.Millisecond, "all hosts report ready")
	for i := range clientCount {
		c := newClient(d, o, seed+uint64(i))
		group.Go(func() { c.run(ctx) })
	}
	sleep(joinTime)
	duration := time.Duration(12+random.IntN(10)) * time.Second
	rollouts := []*rollout{d.startRollout("single", random, duration), d.startRollout("shard-"+strconv.Itoa(random.IntN(shards)), random, duration)}
	d.store.mu.Lock()
	d.store.onStatus = func(service, state string) {
		for _, r := range rollouts {
			if r.service == service {
				r.record(state)
			}
		}
	}
	d.store.mu.Unlock()
	for _, r := range rollouts {
		r.ordered = d.store.put("op/rollout/"+r.service, map[string]any{"Service": r.service, "TargetVersion": "v2", "DurationS": duration.Seconds()})
	}
	f := &faultInjector{d: d, random: random}
	f.disturbRollouts(duration)
	sleep(time.Until(rollouts[0].ordered.Add(duration)))
	// What a fault delayed is done at the latest now.
	end := time.Now().Add(skewTime)
	for time.Now().Before(end) && (!rollouts[0].isDecided() || !rollouts[1].isDecided()) {
		sleep(100 * time.Millisecond)
	}
	sleep(2 * time.Second)
	cancel()
	group.Wait()
	sleep(2 * requestTimeout)
	disturbed := len(f.injected) > 0
	var faults []string
	for _, r := range rollouts {
		text, failures := r.check(disturbed)
		t.Logf("seed %d: %s; faults %v", seed, text, f.injected)
		faults = append(faults, failures...)
	}
	if !checkExecutions(d, o) || len(faults) > 0 {
		t.Errorf("seed %d violated a guarantee: %v\n%v\n%v", seed, faults, o.violations, d.executions.violations)
		saveLogs(t, d, seed)
	}
}

// startRollout starts servers of the version v2 beside the old ones, with a drawn fault.
func (d *deployment) startRollout(service string, random *rand.Rand, duration time.Duration) *rollout {
	r := &rollout{service: service, duration: duration}
	for _, s := range d.serverList() {
		if s.service == service {
			r.old = append(r.old, s)
		}
	}
	kinds := []string{"good", "good", "at-once", "later", "load", "route", "slow"}
	r.kind = kinds[random.IntN(len(kinds))]
	if r.kind == "route" && service != "single" {
		r.kind = "at-once"
	}
	r.isBad = r.kind != "good"
	share := 0.4 + 0.6*random.Float64()
	var fault versionFault = versionGood{}
	switch r.kind {
	case "at-once":
		fault = versionFails{share: share}
	case "later":
		fault = versionFails{share: share, from: time.Now().Add(time.Duration((0.2 + 0.4*random.Float64()) * float64(duration)))}
	case "load":
		fault = versionFails{share: share, minOpen: 1}
	case "route":
		fault = versionFails{share: share, path: pathOnce}
	case "slow":
		fault = versionSlow{share: share, by: time.Duration(3+random.IntN(4)) * 3 * executionTime}
	}
	for _, o := range r.old {
		s := d.addVersion(service, o.zone, "v2")
		s.trial.set(fault)
		r.target = append(r.target, s)
	}
	return r
}

// record records a status as the store accepts it. At the verdict complete, the old
// servers stop at once.
func (r *rollout) record(state string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.states = append(r.states, state)
	if state == "running" {
		return
	}
	r.decided = time.Now()
	if state != "complete" {
		return
	}
	for _, s := range r.old {
		r.openThen += s.trial.inProgress()
		go s.close()
	}
}

func (r *rollout) isDecided() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.decided.IsZero()
}

// disturbRollouts injects up to three faults of hosts and of the store while the
// roll-outs run.
func (f *faultInjector) disturbRollouts(duration time.Duration) {
	kinds := []struct {
		name   string
		inject func(time.Duration)
	}{
		{"kill", f.killHost},
		{"freeze", f.freezeHost},
		{"stop", f.stopHost},
		{"store", f.degradeStore},
		{"storepath", f.degradeStoreConn},
		{"cut", f.cutServers},
		{"pause", f.pauseServer},
	}
	for range f.random.IntN(4) {
		sleep(time.Duration(f.random.Int64N(int64(duration) / 3)))
		kind := kinds[f.random.IntN(len(kinds))]
		f.injected = append(f.injected, kind.name)
		kind.inject(time.Duration(500+f.random.IntN(4000)) * time.Millisecond)
	}
	f.group.Wait()
}

// cutServers drops the answers of all servers of a zone.
func (f *faultInjector) cutServers(duration time.Duration) {
	zone := zoneName(f.random.IntN(zones))
	for _, s := range f.d.serverList() {
		if s.zone == zone {
			s.proxy.setFault(proxyDropsReplies{})
			f.undoAfter(duration, func() { s.proxy.setFault(proxyHealthy{}) })
		}
	}
}

// check compares what the servers and the store saw with the bounds.
func (r *rollout) check(disturbed bool) (string, []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var failures []string
	fail := func(format string, args ...any) {
		failures = append(failures, r.service+": "+fmt.Sprintf(format, args...))
	}
	deadline := r.ordered.Add(r.duration)
	target, all := 0, 0
	var bad []time.Time
	for _, s := range r.target {
		target += s.trial.count(r.ordered, deadline)
		if early := s.trial.count(time.Time{}, r.ordered); early > 0 {
			fail("%d requests reached the target version before the order", early)
		}
		bad = append(bad, s.trial.read(&s.trial.bad)...)
	}
	for _, s := range r.old {
		all += s.trial.count(r.ordered, deadline)
	}
	all += target
	verdicts, verdict := 0, "none"
	for _, state := range r.states {
		if state != "running" {
			verdicts, verdict = verdicts+1, state
		}
	}
	if verdicts > 1 || (len(r.states) > 0 && r.states[0] != "running") {
		fail("statuses %v", r.states)
	}
	expected := "complete"
	if r.isBad {
		expected = "rolled_back"
	}
	if verdict != expected {
		fail("verdict %s on a version that is %s", verdict, r.kind)
	}
	if late := r.decided.Sub(deadline); late > 0 && !disturbed {
		fail("verdict %s after the deadline", late)
	}
	if r.isBad && float64(target) > exposureShare*float64(all)+exposureSlack {
		fail("%d of %d requests reached a bad version", target, all)
	}
	if r.isBad {
		r.checkStop(bad, disturbed, fail)
	}
	if verdict == "complete" && r.openThen > 0 && !disturbed {
		fail("%d requests in progress at old servers when they stopped", r.openThen)
	}
	return fmt.Sprintf("%s %s: %s after %s of %s, target %d (bad %d) of %d, %d in progress", r.service, r.kind, verdict,
		r.decided.Sub(r.ordered).Round(100*time.Millisecond), r.duration, target, len(bad), all, r.openThen), failures
}

// checkStop checks that a bad version gets no requests after its verdict, nor later than
// rollbackTime after its fiftieth bad answer.
func (r *rollout) checkStop(bad []time.Time, disturbed bool, fail func(string, ...any)) {
	allowed := rollbackTime
	if disturbed {
		allowed += skewTime
	}
	stop := r.decided.Add(allowed)
	if len(bad) >= maxBad {
		// The servers record one after the other.
		slices.SortFunc(bad, time.Time.Compare)
		stop = bad[maxBad-1].Add(allowed)
	}
	if r.decided.IsZero() && len(bad) < maxBad {
		return
	}
	late := 0
	for _, s := range r.target {
		late += s.trial.count(stop, time.Now())
	}
	if late > 0 {
		fail("%d requests reached a bad version %s after it was known", late, allowed)
	}
}
