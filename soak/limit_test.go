package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// rateLimit is the rate limit that a server names in its answers, and the requests
// that it has received since.
type rateLimit struct {
	mu sync.Mutex
	// rate is in requests a second from all hosts together; zero names no limit.
	rate     float64
	since    time.Time
	arrivals []time.Time
}

// set makes the server name a limit, or none if the rate is zero.
func (l *rateLimit) set(rate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rate, l.since, l.arrivals = rate, time.Now(), nil
}

// record counts a request and adds the limit to its answer.
func (l *rateLimit) record(header http.Header) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rate == 0 {
		return
	}
	l.arrivals = append(l.arrivals, time.Now())
	header.Set("Server-Limit", strconv.FormatFloat(l.rate, 'f', -1, 64))
}

// Bounds of the deployment on the requests that a server with a rate limit receives:
// from limitNotice after it named the limit, at most limitFactor times the limit and
// limitSlack more within any limitWindow.
const (
	limitNotice = 4 * time.Second
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// excess returns the number of requests in the fullest window that holds no request
// before the given time, and the number that is allowed. A window that includes
// disturbances is left out by a later time.
func (l *rateLimit) excess(from time.Time) (most int, allowed float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if notice := l.since.Add(limitNotice); from.Before(notice) {
		from = notice
	}
	first := 0
	for i, at := range l.arrivals {
		for first < i && (l.arrivals[first].Before(from) || at.Sub(l.arrivals[first]) > limitWindow) {
			first++
		}
		if !at.Before(from) {
			most = max(most, i-first+1)
		}
	}
	return most, limitFactor*l.rate*limitWindow.Seconds() + limitSlack
}

// TestServerLimit guards against hosts that send more requests together to a server
// than the rate limit that it names in its answers, with first sends, hedges and
// parts that one host sends for another.
func TestServerLimit(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "hyssophub")
	require.NoError(t, exec.Command("go", "build", "-o", binary, "hyssophub/cmd/hyssophub").Run())
	d := newDeployment(t, binary)
	o := &observations{nonIdempotent: make(map[string]int)}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	group.Go(func() { d.runBalancer(ctx) })
	require.Eventually(t, func() bool { return d.allListed() }, 10*time.Second, 50*time.Millisecond, "all hosts report ready")
	for i := range clientCount {
		c := newClient(d, o, uint64(i))
		group.Go(func() { c.run(ctx) })
	}
	random := rand.New(rand.NewPCG(1, 1))
	limited := make(map[string]*rateLimit)
	for _, s := range d.serverList() {
		// One server of each pair, so that the others have room.
		if s.zone == zoneName(0) {
			s.limit.set(1 + float64(random.IntN(12)))
			limited[s.id] = &s.limit
		}
	}
	sleep(limitNotice + 2*limitWindow)
	for id, l := range limited {
		most, allowed := l.excess(time.Time{})
		t.Logf("server %s with limit %g: %d requests in %s, %g allowed", id, l.rate, most, limitWindow, allowed)
		require.LessOrEqual(t, float64(most), allowed, "server %s", id)
		require.Positive(t, most, "server %s with limit %g gets no requests", id, l.rate)
	}
	require.Zero(t, o.failed.Load(), "failed requests")
	require.Empty(t, o.violations)
}
