package canary

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	histories    = flag.Int("canary.histories", 30, "number of drawn histories")
	firstHistory = flag.Uint64("canary.first", 1, "seed of the first history")
)

// result is the outcome of a drawn history.
type result struct {
	kind    string
	isBad   bool
	verdict string
	excess  bool
	text    string
}

// goodKinds and badKinds name what is drawn for the target version.
var (
	goodKinds = []string{"quiet", "slow-old", "slow-new", "grey-old", "grey-new", "cut", "cold", "burst"}
	badKinds  = []string{"at-once", "later", "load", "route", "slow"}
)

// play plays one drawn history.
func play(seed uint64) result {
	random := rand.New(rand.NewPCG(seed, 2))
	zones := 3 + random.IntN(2)
	rate := []float64{8, 20, 40, 80}[random.IntN(4)]
	servers := []int{2, 3, 3, 3, 9}[random.IntN(5)]
	duration := time.Duration(12+random.IntN(34)) * time.Second
	w := newWorld(seed, 4+random.IntN(21), zones, rate)
	if random.IntN(2) == 0 {
		// Gathered requests reach a service from one host of each zone.
		w.senders = zones
	}
	w.addServers(oldName, servers, zones, time.Minute)
	w.run(2 * time.Second)
	w.addServers(newName, servers, zones, 0)
	ordered := w.now
	w.order(newName, duration)
	r := result{isBad: seed%2 == 0}
	portion := 0.2 + 0.8*random.Float64()
	isSlow := random.IntN(3) == 0
	slower := 1.0
	if isSlow {
		slower = 3 + 3*random.Float64()
	}
	share := random.Float64()
	at := time.Duration(share * 0.6 * float64(duration))
	if r.isBad {
		r.kind = badKinds[random.IntN(len(badKinds))]
		switch r.kind {
		case "at-once":
			w.setFault(newName, -1, badVersion(portion, slower, w.now, -1))
		case "later":
			w.setFault(newName, -1, badVersion(portion, slower, w.now.Add(at), -1))
		case "load":
			// The servers fail once the service gets twice its usual requests.
			w.after(at, func() {
				w.rate *= 2
				w.setFault(newName, -1, badVersion(portion, slower, w.now, -1))
			})
		case "route":
			w.setFault(newName, -1, badVersion(portion, slower, w.now, 0))
		case "slow":
			w.setFault(newName, -1, badVersion(0.5+0.5*random.Float64(), 3+3*random.Float64(), w.now, -1))
		}
	} else {
		r.kind = goodKinds[random.IntN(len(goodKinds))]
		one := random.IntN(servers)
		w.after(at, func() {
			switch r.kind {
			case "slow-old":
				w.setFault(oldName, one, slowBy(3+5*share))
			case "slow-new":
				w.setFault(newName, one, slowBy(3+5*share))
			case "grey-old":
				w.setFault(oldName, one, badVersion(portion, 1, w.now, -1))
			case "grey-new":
				w.setFault(newName, one, badVersion(portion, 1, w.now, -1))
			case "cut":
				w.cutZone = "z1"
				w.after(4*time.Second, func() { w.cutZone = "" })
			case "burst":
				w.rate *= 3
				w.after(4*time.Second, func() { w.rate /= 3 })
			}
		})
	}
	w.run(duration)
	r.verdict = NameOf(w.store.status.Stage)
	arrived, target := w.counts[oldName].arrived+w.counts[newName].arrived, w.counts[newName].arrived
	r.excess = r.isBad && float64(target) > 0.1*float64(arrived)+50
	if w.store.verdictAt.IsZero() {
		r.verdict = "none"
	}
	r.text = fmt.Sprintf("%s portion %.2f slower %.1f rate %g servers %d hosts %d senders %d duration %s, from %s: %s after %s, target %d (bad %d) of %d, %s",
		r.kind, portion, slower, rate, servers, len(w.nodes), w.senders, duration, at, r.verdict, w.store.verdictAt.Sub(ordered).Round(100*time.Millisecond), target, w.counts[newName].bad, arrived, w.reasons())
	return r
}

func (w *world) reasons() string {
	for _, n := range w.nodes {
		if len(n.logs) > 0 {
			return n.logs[len(n.logs)-1]
		}
	}
	return ""
}

// TestDrawnHistories guards against verdicts on the wrong version and against too many
// requests to a bad one, over drawn services, loads and faults. The bounds are the error
// rates of the design note.
func TestDrawnHistories(t *testing.T) {
	type tally struct{ played, wrong, late, excess int }
	kinds := make(map[string]*tally)
	results := make([]result, *histories)
	t.Run("play", func(t *testing.T) {
		const lanes = 3
		for lane := range lanes {
			t.Run(fmt.Sprint(lane), func(t *testing.T) {
				t.Parallel()
				for i := lane; i < len(results); i += lanes {
					results[i] = play(*firstHistory + uint64(i))
				}
			})
		}
	})
	wrong, played := 0, 0
	for i, r := range results {
		k := kinds[r.kind]
		if k == nil {
			k = &tally{}
			kinds[r.kind] = k
		}
		played++
		k.played++
		switch {
		case r.verdict == "none" || r.verdict == "observing":
			k.late++
		case (r.verdict == "rolled-back") != r.isBad:
			k.wrong++
		}
		if r.excess {
			k.excess++
		}
		if (r.verdict == "rolled-back") != r.isBad || r.excess {
			wrong++
			t.Logf("history %d: %s", *firstHistory+uint64(i), r.text)
		}
	}
	for _, name := range append(append([]string(nil), goodKinds...), badKinds...) {
		if k := kinds[name]; k != nil {
			t.Logf("%-10s played %d, wrong %d, no verdict %d, over the bound %d", name, k.played, k.wrong, k.late, k.excess)
		}
	}
	require.LessOrEqual(t, float64(wrong), 0.05*float64(played)+3)
}
