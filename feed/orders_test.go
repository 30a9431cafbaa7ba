package feed

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Times of TestAllOrders: a host starts at ordersLoad and reads a page each storeDelay.
// The changes and the disturbance come before, between and after the pages, and after the
// first watch.
const (
	ordersLoad  = 4 * time.Second
	ordersBound = 8 * time.Second
)

var (
	changeInstants      = []time.Duration{-time.Millisecond, 6 * time.Millisecond, 10 * time.Millisecond, 14 * time.Millisecond, 500 * time.Millisecond}
	disturbanceInstants = []time.Duration{-time.Millisecond, 12 * time.Millisecond, 500 * time.Millisecond}
)

// TestAllOrders guards against the same failures as TestRandomHistories, in all orders of
// three changes and one disturbance around the load of a host that restarts beside two
// others.
func TestAllOrders(t *testing.T) {
	changes := []string{"put server/one draining", "put server/two draining", "delete server/two", "put zone/z one"}
	disturbances := []string{"", "cut-watches", "drop-history", "refuse a1", "cut-off a1", "kill b1", "drill 1", "drill 3"}
	worlds := make(chan []string)
	var (
		mu     sync.Mutex
		failed []string
		wg     sync.WaitGroup
		count  int
	)
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for lines := range worlds {
				if violations := playOrder(t, lines); violations != followed {
					mu.Lock()
					failed = append(failed, strings.Join(lines, "\n")+"\n\n"+violations)
					mu.Unlock()
				}
			}
		})
	}
	for _, disturbance := range disturbances {
		for _, skipped := range changes {
			for _, order := range ordersOf(changes, skipped, disturbance) {
				worlds <- order
				count++
			}
		}
	}
	close(worlds)
	wg.Wait()
	t.Logf("%d worlds", count)
	if len(failed) > 0 {
		t.Fatalf("%d of %d worlds, the first:\n%s", len(failed), count, failed[0])
	}
}

// ordersOf returns the timelines in which all changes but one, and a disturbance if it is
// not empty, come at any of their instants.
func ordersOf(changes []string, skipped, disturbance string) [][]string {
	orders := [][]string{nil}
	for _, c := range changes {
		if c != skipped {
			orders = extend(orders, c, changeInstants)
		}
	}
	if disturbance != "" {
		orders = extend(orders, disturbance, disturbanceInstants)
	}
	return orders
}

// extend returns each order with an event at each instant.
func extend(orders [][]string, event string, instants []time.Duration) [][]string {
	var longer [][]string
	for _, order := range orders {
		for _, at := range instants {
			longer = append(longer, append(slices.Clone(order), fmt.Sprintf("%s %s", ordersLoad+at, event)))
		}
	}
	return longer
}

func playOrder(t *testing.T, lines []string) string {
	var violations string
	synctest.Test(t, func(t *testing.T) {
		w := &world{within: ordersBound, maxDeleted: maxDeletions}
		w.begin([]string{"a1@a", "b1@b", "b2@b"})
		for _, line := range []string{"1s put server/one one", "1s put server/two one", "2s kill a1"} {
			w.play(t, strings.Fields(line))
		}
		w.playSorted(t, append(lines, fmt.Sprintf("%s start a1@a", ordersLoad)))
		for _, line := range []string{"6s refuse", "6s cut-off"} {
			w.play(t, strings.Fields(line))
		}
		settle := ordersBound
		if !w.store.lastDrill().IsZero() {
			// Versions that a drill has lost stay in force until rewriteBound after it.
			settle += rewriteBound
		}
		time.Sleep(settle)
		w.checkEqual()
		violations = w.end()
	})
	return violations
}
