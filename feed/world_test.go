package feed

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/rs/zerolog"

	"hyssophub/fleet"
	"hyssophub/flow"
	"hyssophub/gossip"
	"hyssophub/props"
	"hyssophub/rules"
	"hyssophub/store"
)

// TestFollowStore plays the timelines in testdata/follow with several hosts and one
// store, in virtual time. Their comments name the failures that they guard against. Each
// change must be in the tables of all hosts within a bound.
func TestFollowStore(t *testing.T) {
	datadriven.Walk(t, "testdata/follow", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var output string
			within, hosts := props.Duration(t, d, "within"), props.Text(t, d, "hosts")
			synctest.Test(t, func(t *testing.T) {
				w := &world{within: within, maxDeleted: maxDeletions}
				if d.HasArg("keep") {
					w.keep = props.Text(t, d, "keep")
				}
				w.begin(strings.Split(hosts, ","))
				for _, line := range strings.Split(d.Input, "\n") {
					w.play(t, strings.Fields(line))
				}
				output = w.end()
			})
			return output
		})
	})
}

// world is a store and the hosts that follow it. within, keep and maxDeleted are set
// before begin.
type world struct {
	start  time.Time
	within time.Duration
	store  *fakeStore
	// maxDeleted is the number of deletions that a host keeps for others.
	maxDeleted int
	// keep is a server that no host may remove once it has it.
	keep string
	// checks are the checks of changes in progress.
	checks sync.WaitGroup

	mu    sync.Mutex
	hosts map[string]*worldHost
	// cutOff holds the hosts that no other host reaches.
	cutOff map[string]bool
	// intended holds what the operator and the backend servers wrote last.
	intended map[string]Item
	// violations are the failed checks.
	violations []string
}

// begin starts the store and the hosts, given as NAME@ZONE.
func (w *world) begin(hosts []string) {
	w.start, w.hosts, w.cutOff, w.intended = time.Now(), make(map[string]*worldHost), make(map[string]bool), make(map[string]Item)
	w.store = &fakeStore{items: make(map[string]Item), revision: 1, wake: make(chan struct{}), cut: make(chan struct{}), silent: make(chan struct{}), refused: make(map[string]bool)}
	w.write(items("rules@0 1\nserver/base@0 one"))
	for _, h := range hosts {
		w.startHost(h, true)
	}
}

// play waits for the time of a line "TIME COMMAND ARGUMENT..." and executes it.
func (w *world) play(t *testing.T, line []string) {
	if len(line) == 0 {
		return
	}
	at, err := time.ParseDuration(line[0])
	if err != nil {
		t.Fatalf("%v: %v", line, err)
	}
	time.Sleep(time.Until(w.start.Add(at)))
	switch command, args := line[1], line[2:]; command {
	case "put":
		w.write(items(args[0] + "@0 " + args[1]))
	case "delete":
		w.write(items("-" + strings.Join(args, "@0\n-") + "@0"))
	case "cut-watches":
		w.store.cutWatches()
	case "silence":
		w.store.silence()
	case "refuse":
		w.store.refuse(args...)
	case "limit":
		w.store.setLimit(t, args[0])
	case "drop-history":
		w.store.dropHistory()
	case "kill":
		w.killHost(args[0])
	case "start":
		w.startHost(args[0], false)
	case "cut-off":
		w.setCutOff(args)
	case "drill":
		w.drill(t, args[0])
	case "wait":
	default:
		t.Fatalf("unknown command %s", command)
	}
}

// playSorted plays lines in the order of their times; lines of one time keep their order.
func (w *world) playSorted(t *testing.T, lines []string) {
	at := func(line string) time.Duration {
		d, _ := time.ParseDuration(strings.Fields(line)[0])
		return d
	}
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b string) int { return cmp.Compare(at(a), at(b)) })
	for _, line := range lines {
		w.play(t, strings.Fields(line))
	}
}

// write writes items to the store and begins to check that the hosts follow.
func (w *world) write(list []Item) {
	w.mu.Lock()
	for _, item := range list {
		w.intended[item.Key] = item
		for _, h := range w.hosts {
			delete(h.lost, item.Key)
		}
	}
	w.mu.Unlock()
	written := w.store.write(list)
	at := time.Now()
	w.checks.Go(func() {
		time.Sleep(w.within)
		// While the store refuses calls, hosts cannot follow it.
		for end := w.store.lastRefusal().Add(w.within); time.Now().Before(end); end = w.store.lastRefusal().Add(w.within) {
			time.Sleep(time.Until(end))
		}
		// A host that cannot tell whether the store has lost a version or the operators have
		// replaced it waits for rewriteBound.
		for time.Since(w.store.lastDrill()) < rewriteBound+w.within && slices.ContainsFunc(written, w.isHeld) {
			time.Sleep(holdPoll)
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, item := range written {
			if !w.store.isNewest(item) {
				continue
			}
			for _, name := range slices.Sorted(maps.Keys(w.hosts)) {
				h := w.hosts[name]
				if time.Since(h.started) >= w.within && !w.cutOff[name] && !h.has(item) {
					w.violations = append(w.violations, fmt.Sprintf("%s lacks %s of %s", name, formatItem(item), at.Sub(w.start)))
				}
			}
		}
	})
}

// followed is the result of a timeline without violations.
const followed = "all hosts followed"

// checkEqual records the differences between the tables of the hosts and the store.
func (w *world) checkEqual() {
	list := w.store.content()
	w.mu.Lock()
	hosts := slices.Collect(maps.Values(w.hosts))
	w.mu.Unlock()
	for _, h := range hosts {
		for _, item := range list {
			// Versions of an earlier era that the store has lost are no longer in force.
			item.Position.Era = w.store.present().Era
			if !h.has(item) {
				w.violate("%s differs from %s at the end", h.name, formatItem(item))
			}
		}
	}
}

// end waits for the checks, stops the hosts and returns the violations.
func (w *world) end() string {
	w.checks.Wait()
	for _, name := range slices.Collect(maps.Keys(w.hosts)) {
		w.killHost(name)
	}
	if len(w.violations) == 0 {
		return followed
	}
	slices.Sort(w.violations)
	return strings.Join(w.violations, "\n")
}

func (w *world) setCutOff(names []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cutOff = make(map[string]bool)
	for _, name := range names {
		w.cutOff[name] = true
	}
}

// worldHost is a host. It implements Peers and, for its own Syncer, Source.
type worldHost struct {
	decoder
	world   *world
	name    string
	started time.Time
	table   *gossip.Table
	fleet   *fleet.Table
	rules   *rules.Table
	syncer  *Syncer
	ctx     context.Context
	cancel  context.CancelFunc
	done    sync.WaitGroup
	wake    chan struct{}
	// lost holds the changes in force on the host that the store has lost and that were
	// not written again. The lock of the world guards it.
	lost map[string]Item
	// kept is set if the host had the server to keep at the last check, and seen holds
	// the newest version of each item that it had.
	kept bool
	seen map[string]store.Position
}

// startHost starts a host given as NAME@ZONE.
func (w *world) startHost(host string, together bool) {
	name, zone, _ := strings.Cut(host, "@")
	now := time.Now()
	h := &worldHost{world: w, name: name, started: now, wake: make(chan struct{}, 1), rules: rules.NewTable(0), seen: make(map[string]store.Position), lost: make(map[string]Item)}
	h.fleet = fleet.NewTable(zone, flow.NewTable(name, now))
	h.table = gossip.NewTable(gossip.Host{Name: name, Zone: zone, Address: name, HeartbeatAddress: name, Weight: 400, Incarnation: uint64(now.UnixNano())}, now)
	h.syncer = NewSyncer(h, h, h.rules, h.fleet, zerolog.Nop(), Options{})
	h.syncer.history.maxDeleted = w.maxDeleted
	h.ctx, h.cancel = context.WithCancel(context.Background())
	w.mu.Lock()
	w.hosts[name] = h
	w.mu.Unlock()
	h.done.Go(h.sendHeartbeats)
	h.syncer.Start(together)
}

func (w *world) killHost(name string) {
	w.mu.Lock()
	h := w.hosts[name]
	delete(w.hosts, name)
	w.mu.Unlock()
	h.cancel()
	h.syncer.Close()
	h.done.Wait()
}

// reach returns a host that another one reaches, or nil.
func (w *world) reach(from, to string) *worldHost {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cutOff[from] || w.cutOff[to] {
		return nil
	}
	return w.hosts[to]
}

func (h *worldHost) sendHeartbeats() {
	for h.ctx.Err() == nil {
		now := time.Now()
		h.table.Expire(now)
		var seeds []string
		h.world.mu.Lock()
		seeds = slices.Collect(maps.Keys(h.world.hosts))
		h.world.mu.Unlock()
		h.send(h.table.NextRound(now, seeds))
		h.checkKept(now)
		h.checkComplete(now)
		h.checkLost(now)
		timer := time.NewTimer(h.table.Interval(now))
		select {
		case <-timer.C:
		case <-h.wake:
			h.send(h.table.Announcement(time.Now()))
		case <-h.ctx.Done():
		}
		timer.Stop()
	}
}

// checkKept records the first time at which the host has removed the server to keep.
func (h *worldHost) checkKept(now time.Time) {
	kept := slices.ContainsFunc(h.fleet.Instances(), func(i fleet.Instance) bool { return i.ID == h.world.keep })
	if h.kept && !kept {
		h.world.violate("%s removed server/%s by %s", h.name, h.world.keep, now.Sub(h.world.start))
	}
	h.kept = kept
}

// checkComplete records a change that the host claims to know and does not, and an item
// that it holds in an older version than before.
func (h *worldHost) checkComplete(now time.Time) {
	h.syncer.mu.Lock()
	defer h.syncer.mu.Unlock()
	known := h.syncer.history
	claimed := known.position
	claimed.Revision = max(claimed.Revision, h.syncer.progress)
	newest, deletedLater := make(map[string]Item), make(map[string]bool)
	for _, item := range h.world.store.changesOf(claimed.Era) {
		item.Position.Era = claimed.Era
		if !item.Position.IsAfter(claimed) {
			newest[item.Key] = item
		}
		deletedLater[item.Key] = item.Position.IsAfter(claimed) && (item.Deleted || deletedLater[item.Key])
	}
	for key, item := range newest {
		held, ok := known.items[key]
		// A page that is read later may lack an item that has been deleted since.
		if lost, isLost := known.lost[key]; isLost {
			held = lost
		}
		isRightlyGone := (!ok || held.Deleted) && (item.Deleted || deletedLater[key])
		if item.Position.IsAfter(held.Position) && !isRightlyGone {
			h.world.violate("%s claims %s without %s at %s", h.name, claimed, formatItem(item), now.Sub(h.world.start))
		}
	}
	for key, position := range h.seen {
		// A host that did not know a version which the store has lost learns it from others.
		if held, ok := known.items[key]; ok && position.IsAfter(store.Later(held.Position, known.lost[key].Position)) {
			h.world.violate("%s replaced %s@%s by @%s at %s", h.name, key, position, held.Position, now.Sub(h.world.start))
		}
	}
	for key, item := range known.items {
		h.seen[key] = store.Later(h.seen[key], item.Position)
	}
}

func (w *world) violate(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

func (h *worldHost) send(round []gossip.Datagram) {
	for _, d := range round {
		for _, to := range d.To {
			if other := h.world.reach(h.name, to); other != nil && other != h {
				other.receive(d.Heartbeat)
			}
		}
	}
}

func (h *worldHost) receive(heartbeat gossip.Heartbeat) {
	h.send([]gossip.Datagram{h.table.Receive(heartbeat, time.Now())})
	if _, ok := h.NewestPeer(time.Now()); ok {
		h.syncer.Notify()
	}
}

// has reports whether the tables of the host hold an item, or a newer state.
func (h *worldHost) has(item Item) bool {
	kind, name, _ := strings.Cut(item.Key, "/")
	view := h.rules.View()
	switch kind {
	case "rules":
		version, _ := strconv.ParseUint(string(item.Value), 10, 64)
		return view != nil && view.Set.Version >= version
	case "zone":
		return view != nil && view.OutZones[name] == !item.Deleted
	default:
		instances := h.fleet.Instances()
		at := slices.IndexFunc(instances, func(i fleet.Instance) bool { return i.ID == name })
		return item.Deleted == (at < 0) && (at < 0 || !item.Position.IsAfter(instances[at].Position))
	}
}

func (h *worldHost) ShouldWatch(now time.Time) bool { return h.table.ShouldWatch(now) }
func (h *worldHost) NewestPeer(now time.Time) (string, bool) {
	host, ok := h.table.NewestHost(now)
	return host.Address, ok
}
func (h *worldHost) Seeds(now time.Time) []string { return h.table.Addresses(now) }
func (h *worldHost) Neighbours(now time.Time) ([]string, bool) {
	var list []string
	isFirst := true
	for _, other := range h.table.AvailableHosts(h.table.Self().Zone, now) {
		list, isFirst = append(list, other.Address), isFirst && h.name < other.Name
	}
	return list, isFirst
}
func (h *worldHost) CheckedAt(p store.Position) time.Time     { return h.table.CheckedAt(p) }
func (h *worldHost) Suspect(address string, now time.Time)    { h.table.SuspectAddress(address, now) }
func (h *worldHost) Idle(position store.Position) uint64      { return h.table.Idle(position) }
func (h *worldHost) Load(ctx context.Context) (Update, error) { return h.world.store.load(ctx, h.name) }

func (h *worldHost) LastContact() time.Time { return h.table.LastContact() }
func (h *worldHost) AddHost(string)         {}
func (h *worldHost) IsStoreFailing() bool   { return h.table.IsStoreFailing() }
func (h *worldHost) StoreReturned(silence time.Duration) time.Time {
	return h.table.StoreReturned(silence)
}

func (h *worldHost) ReportStore(failing bool, returned time.Time) {
	h.table.UpdateSelf(func(r *gossip.Record) { r.StoreFailing, r.StoreReturned = failing, returned })
}

func (h *worldHost) Wait(ctx context.Context, after uint64, wait, timeout time.Duration) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	update, err := h.world.store.watch(ctx, h.name, after, wait)
	return Answer{Update: update}, err
}

func (h *worldHost) Announce() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

func (h *worldHost) ReportApplied(position store.Position, idle uint64, watching bool, contact time.Time) {
	h.table.UpdateSelf(func(r *gossip.Record) {
		r.Position, r.Idle, r.Watching = position, idle, watching
		if !contact.IsZero() {
			r.StoreContact = contact
		}
	})
}

func (h *worldHost) Changes(_ context.Context, address string, after store.Position) (Update, error) {
	time.Sleep(time.Millisecond)
	other := h.world.reach(h.name, address)
	if other == nil {
		return Update{}, errors.New("no answer")
	}
	return other.syncer.ChangesAfter(after), nil
}
