package soak

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
)

var crowdSeeds = flag.Uint64("soak.crowds", 0, "number of drawn crowds to play in addition to the kept ones; their first seed is that of -soak.first")

const (
	// A drawn crowd has drawnEvents events, one in each drawnGap, of at most drawnClients.
	drawnEvents  = 8
	drawnGap     = 400 * time.Millisecond
	drawnFreeze  = 300 * time.Millisecond
	drawnClients = 300
)

// play plays the crowds of the seeds that the script names, and of those that the flag adds.
func (c *crowd) play(t *testing.T, d *datadriven.TestData) {
	var seeds []uint64
	d.ScanArgs(t, "seeds", &seeds)
	for i := range *crowdSeeds {
		seeds = append(seeds, *firstSeed+i)
	}
	for _, seed := range seeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { c.playSeed(t, rand.New(rand.NewPCG(seed, 0))) })
	}
}

// playSeed starts some hosts, of which each gets a crowd, and ends each by a planned stop
// while its crowd goes on.
func (c *crowd) playSeed(t *testing.T, r *rand.Rand) {
	memory, files := []int{80, 120, 184}[r.IntN(3)], []int{200, 1000, 4100}[r.IntN(3)]
	first := &crowd{kinds: c.kinds, over: make(chan struct{})}
	first.start(t, memory, files, 1<<20)
	crowds := []*crowd{first}
	for i := range r.IntN(4) {
		crowds = append(crowds, first.another(t, i))
	}
	for range drawnEvents {
		x := crowds[r.IntN(len(crowds))]
		switch r.IntN(8) {
		case 0:
			x.host.signal(syscall.SIGHUP)
		case 1:
			x.host.signal(syscall.SIGSTOP)
			sleep(drawnFreeze)
			x.host.signal(syscall.SIGCONT)
		case 2:
			x.deployment.writeRules()
		default:
			x.repeatDrawn(r)
		}
		sleep(drawnGap)
	}
	for _, x := range crowds {
		x.check(t, memory, files)
		x.host.signal(syscall.SIGTERM)
		require.True(t, x.host.waitExit(answerTime), "the process ends")
		require.NoError(t, x.host.start())
		x.check(t, memory, files)
		x.endRepeats()
	}
}

// another starts one more host of the deployment.
func (c *crowd) another(t *testing.T, i int) *crowd {
	h := &host{name: fmt.Sprintf("host-0-%d", 1+i), ip: loopback(fmt.Sprintf("20.%d", 2+i)), zone: c.host.zone, dir: c.host.dir, binary: c.host.binary, memory: c.host.memory, descriptors: c.host.descriptors}
	x := &crowd{kinds: c.kinds, over: make(chan struct{}), deployment: c.deployment}
	x.launch(t, h, []string{c.host.address(portPeer)})
	return x
}

// repeatDrawn adds clients that come again, of some kinds, on one listener.
func (c *crowd) repeatDrawn(r *rand.Rand) {
	kinds := slices.Sorted(maps.Keys(c.kinds))
	r.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	listeners := slices.Sorted(maps.Keys(ports))
	c.startRepeats(listeners[r.IntN(len(listeners))], 1+r.IntN(drawnClients), 1+r.IntN(100), kinds[:1+r.IntN(len(kinds))])
}
