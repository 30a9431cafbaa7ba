package canary

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestOneVerdict guards against two verdicts on one order, a verdict that is lost, and
// hosts that differ from it, over random histories of hosts that are killed, restarted,
// paused and cut off, of a store that is down, loses answers and executes calls late, and
// of orders that are replaced.
func TestOneVerdict(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 7).Draw(t, "hosts"), 3, 30)
		w.addServers(oldName, 3, 3, time.Minute)
		w.run(time.Second)
		w.addServers(newName, 3, 3, 0)
		isBad := rapid.Bool().Draw(t, "bad")
		if isBad {
			w.setFault(newName, -1, badVersion(1, 1, w.now, -1))
		}
		w.order(newName, 12*time.Second)
		known := w.store.order.Revision
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			w.fault(t)
			w.run(time.Duration(rapid.IntRange(100, 3000).Draw(t, "pause")) * time.Millisecond)
			w.checkVerdicts(t)
			if w.store.order.Revision != known {
				known = w.store.order.Revision
			}
		}
		w.heal()
		w.run(30 * time.Second)
		w.checkVerdicts(t)
		if len(w.store.verdicts) != 1 {
			t.Fatalf("%d verdicts after the faults ended: %s", len(w.store.verdicts), w.state())
		}
		verdict := w.store.verdicts[0]
		if _, isComplete := verdict.(Complete); isBad && isComplete {
			t.Fatalf("a version all of whose answers fail is complete")
		}
		for _, n := range w.nodes {
			for _, s := range n.table.Summaries(w.now) {
				if NameOf(s.Stage) != NameOf(verdict) {
					t.Fatalf("host %s is %s after the verdict %s", n.name, NameOf(s.Stage), NameOf(verdict))
				}
			}
		}
		barred := newName
		if _, isComplete := verdict.(Complete); isComplete {
			barred = oldName
		}
		before := w.counts[barred].arrived
		w.run(3 * time.Second)
		if w.counts[barred].arrived != before {
			t.Fatalf("version %s got requests after the verdict %s", barred, NameOf(verdict))
		}
	})
}

// fault applies a random fault.
func (w *world) fault(t *rapid.T) {
	n := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "host")]
	switch rapid.IntRange(0, 9).Draw(t, "fault") {
	case 0:
		n.up = false
	case 1:
		w.restart(n)
	case 2:
		n.isPaused = !n.isPaused
	case 3:
		n.cut = !n.cut
	case 4:
		n.offline = !n.offline
	case 5:
		w.store.down = !w.store.down
	case 6:
		w.store.loses = !w.store.loses
	case 7:
		w.order(newName, time.Duration(rapid.IntRange(6, 20).Draw(t, "duration"))*time.Second)
	default:
		// Two faults at once lie closer together without this one.
	}
	w.tellMembers()
}

// heal ends all faults.
func (w *world) heal() {
	for _, n := range w.nodes {
		if !n.up {
			w.restart(n)
		}
		n.isPaused, n.cut, n.offline = false, false, false
	}
	w.store.down, w.store.loses = false, false
	w.tellMembers()
}

func (w *world) checkVerdicts(t *rapid.T) {
	if len(w.store.verdicts) > 1 {
		t.Fatalf("%d verdicts on one order", len(w.store.verdicts))
	}
}
