package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var accountSeed = flag.Uint64("soak.accounts", 1, "seed of TestAccounts")

// Bounds of the deployment on client accounts: a change binds from configTime after the
// store accepted it; within capWindow an account may send capExcess and capSlack beyond
// its cap.
const (
	configTime = 5 * time.Second
	capWindow  = 5 * time.Second
	capExcess  = 0.1
	capSlack   = 20
)

// accounts are the client accounts of a deployment, with what clients and backend servers
// saw of them.
type accounts struct {
	mu    sync.Mutex
	names []string
	rates map[string]float64
	// holders maps each key that a version ever held to its account, and removed to the
	// time when the store accepted the version without it.
	holders map[string]string
	removed map[string]time.Time
	added   map[string]time.Time
	// senders maps the ids of requests to their keys, and ran holds the times of the first
	// runs of an account's requests since its cap was changed.
	senders    map[string]string
	ran        map[string][]time.Time
	seen       map[string]bool
	since      map[string]time.Time
	violations []string
	// statuses counts the answers by account and status.
	statuses map[string]int
}

func newAccounts() *accounts {
	a := &accounts{
		names: []string{"water", "heat", "permits"}, rates: map[string]float64{"water": 2, "heat": 10, "permits": 60},
		holders: make(map[string]string), removed: make(map[string]time.Time), added: make(map[string]time.Time),
		senders: make(map[string]string), ran: make(map[string][]time.Time), seen: make(map[string]bool), since: make(map[string]time.Time), statuses: make(map[string]int),
	}
	for _, name := range a.names {
		for i := range 2 {
			a.holders[fmt.Sprintf("secret-%s-%d", name, i)] = name
		}
	}
	return a
}

// tenants returns the accounts as the rules hold them; nil if requests need none.
func (a *accounts) tenants() any {
	if a == nil {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	list := []any{}
	for _, name := range a.names {
		keys := []string{}
		for key, holder := range a.holders {
			if holder == name && a.removed[key].IsZero() {
				keys = append(keys, key)
			}
		}
		list = append(list, map[string]any{"Name": name, "ApiKeys": keys, "RatePerS": a.rates[name], "Burst": a.rates[name], "Priority": 1})
	}
	return list
}

// check records the run of a request on a backend server. It guards against keys that are
// passed on, accounts that the client chose, and requests without a valid key that run.
func (a *accounts) check(header http.Header, id string) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	key := a.senders[id]
	holder := a.holders[key]
	if got := header.Values("Tenant"); len(got) != 1 || got[0] != holder {
		a.violations = append(a.violations, fmt.Sprintf("request %s of account %q ran for %q", id, holder, got))
	}
	for name, values := range header {
		if text := strings.Join(values, ","); strings.Contains(text, "secret-") {
			a.violations = append(a.violations, fmt.Sprintf("request %s reached a server with a key in %s", id, name))
		}
	}
	if !a.seen[id] {
		a.seen[id] = true
		a.ran[holder] = append(a.ran[holder], time.Now())
	}
}

// send lets a client send one request with a random key: one that an account holds, one
// that was taken away, or one that no version ever held.
func (a *accounts) send(c *client) {
	id := c.newID()
	a.mu.Lock()
	key := fmt.Sprintf("secret-%s-%d", a.names[c.random.IntN(len(a.names))], c.random.IntN(2))
	if c.random.IntN(20) == 0 {
		key = "secret-unknown"
	}
	now := time.Now()
	isHeld := a.holders[key] != "" && a.removed[key].IsZero() && now.Sub(a.added[key]) > configTime
	isGone := a.holders[key] == "" || !a.removed[key].IsZero() && now.Sub(a.removed[key]) > configTime
	a.senders[id] = key
	a.mu.Unlock()
	c.key = key
	answer := c.send(http.MethodGet, pathSingle, id, nil)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.statuses[fmt.Sprintf("%s/%d", a.holders[key], answer.status)]++
	switch {
	case isGone && (answer.status == http.StatusOK || a.seen[id]):
		a.violations = append(a.violations, fmt.Sprintf("request %s with key %s ran", id, key))
	case isHeld && a.removed[key].IsZero() && answer.status == http.StatusUnauthorized:
		a.violations = append(a.violations, fmt.Sprintf("request %s with valid key %s was denied", id, key))
	}
}

// change takes a key away, gives it back, or changes a cap, and writes the rules.
func (a *accounts) change(d *deployment, random *rand.Rand) {
	a.mu.Lock()
	name := a.names[random.IntN(len(a.names))]
	key := fmt.Sprintf("secret-%s-%d", name, random.IntN(2))
	now := time.Now()
	switch {
	case random.IntN(2) == 0:
		a.check5s(name)
		a.rates[name] = []float64{1, 5, 40}[random.IntN(3)]
		a.ran[name], a.since[name] = nil, now
	case a.removed[key].IsZero():
		a.removed[key] = now
	default:
		a.added[key] = now
		delete(a.removed, key)
	}
	a.mu.Unlock()
	d.writeRules()
}

// check5s compares the runs of an account since its cap was changed with the cap, in each
// window that begins after the change binds.
func (a *accounts) check5s(name string) {
	rate := a.rates[name]
	allowed := (rate*capWindow.Seconds()+rate)*(1+capExcess) + capSlack
	from, first := a.since[name].Add(configTime), 0
	for i, at := range a.ran[name] {
		for first < i && (at.Sub(a.ran[name][first]) > capWindow || a.ran[name][first].Before(from)) {
			first++
		}
		if n := i - first + 1; !at.Before(from) && float64(n) > allowed {
			a.violations = append(a.violations, fmt.Sprintf("%d requests of account %s in %s, %g allowed", n, name, capWindow, allowed))
			return
		}
	}
}

// TestAccounts guards against keys that reach a backend server, accounts that a client
// chose, runs with a key that no version held or that was taken away, valid keys that are
// denied, and accounts that get more than their cap from all hosts together, while hosts
// are killed, stopped and restarted, and keys and caps change under load.
func TestAccounts(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "hyssophub")
	require.NoError(t, exec.Command("go", "build", "-o", binary, "hyssophub/cmd/hyssophub").Run())
	a := newAccounts()
	d := newDeployment(t, binary)
	d.accounts = a
	d.executions.accounts.Store(a)
	d.writeRules()
	o := &observations{nonIdempotent: make(map[string]int)}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	group.Go(func() { d.runBalancer(ctx) })
	require.Eventually(t, func() bool { return d.allListed() }, 10*time.Second, 50*time.Millisecond, "all hosts report ready")
	sleep(configTime)
	for i := range clientCount {
		c := newClient(d, o, *accountSeed+uint64(i))
		group.Go(func() {
			for ctx.Err() == nil {
				a.send(c)
				sleepContext(ctx, time.Duration(c.random.IntN(20))*time.Millisecond)
			}
		})
	}
	random := rand.New(rand.NewPCG(*accountSeed, 0))
	for end := time.Now().Add(2 * *faultTime); time.Now().Before(end); sleep(time.Duration(500+random.IntN(1500)) * time.Millisecond) {
		h := d.hosts[random.IntN(len(d.hosts))]
		switch random.IntN(4) {
		case 0:
			h.signal(syscall.SIGKILL)
		case 1:
			h.signal(syscall.SIGTERM)
		default:
			a.change(d, random)
			continue
		}
		h.waitExit(8 * time.Second)
		require.NoError(t, h.start())
	}
	cancel()
	group.Wait()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, name := range a.names {
		a.check5s(name)
	}
	t.Logf("seed %d: served %d, runs %d, answers %v", *accountSeed, o.served.Load(), len(a.seen), a.statuses)
	if len(a.violations)+len(o.violations) > 0 {
		saveLogs(t, d, *accountSeed)
	}
	require.Empty(t, a.violations)
	require.Empty(t, o.violations)
	require.Positive(t, o.served.Load())
}
