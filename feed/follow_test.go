package feed

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"hyssophub/fleet"
	"hyssophub/flow"
	"hyssophub/rules"
	"hyssophub/store"
)

// fakeSource is a Source whose answers a test sets. A call without a set answer
// blocks until its context ends.
type fakeSource struct {
	decoder
	mu    sync.Mutex
	load  func() (Update, error)
	wait  func(after uint64) (Update, error)
	loads int
	waits []uint64
}

func (p *fakeSource) Load(ctx context.Context) (Update, error) {
	p.mu.Lock()
	p.loads++
	load := p.load
	p.mu.Unlock()
	if load == nil {
		<-ctx.Done()
		return Update{}, ctx.Err()
	}
	return load()
}

func (p *fakeSource) Wait(ctx context.Context, after uint64, _, _ time.Duration) (Answer, error) {
	p.mu.Lock()
	p.waits = append(p.waits, after)
	wait := p.wait
	p.mu.Unlock()
	if wait == nil {
		<-ctx.Done()
		return Answer{}, ctx.Err()
	}
	update, err := wait(after)
	return Answer{Update: update}, err
}

// fakePeers are Peers whose answers a test sets.
type fakePeers struct {
	recordedPeers
	watch bool
	first bool
	// together is set if all hosts start together.
	together bool
	seeds    []string
	// neighbours are the hosts of the own zone.
	neighbours []string
	newest     string
	changes    map[string]Update
}

func (c *fakePeers) ShouldWatch(time.Time) bool            { return c.watch }
func (c *fakePeers) Seeds(time.Time) []string              { return c.seeds }
func (c *fakePeers) Neighbours(time.Time) ([]string, bool) { return c.neighbours, c.first }
func (c *fakePeers) NewestPeer(time.Time) (string, bool)   { return c.newest, c.newest != "" }

func (c *fakePeers) Changes(_ context.Context, address string, _ store.Position) (Update, error) {
	update, ok := c.changes[address]
	if !ok {
		return Update{}, errors.New("no answer")
	}
	return update, nil
}

// follow runs a Syncer for a duration and returns its tables.
func follow(t *testing.T, p *fakeSource, c *fakePeers, duration time.Duration) (*fleet.Table, *rules.Table) {
	t.Helper()
	instances, routing := fleet.NewTable("a", flow.NewTable("self", time.Now())), rules.NewTable(0)
	syncer := NewSyncer(p, c, routing, instances, zerolog.Nop(), Options{})
	syncer.Start(c.together)
	time.Sleep(duration)
	syncer.Close()
	return instances, routing
}

var errDown = errors.New("down")

// TestStartWithoutStore guards against a host that stays without rules and backend
// servers because the store does not answer at its start: the full state must come
// from the first of the other hosts that answers.
func TestStartWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakeSource{load: func() (Update, error) { return Update{}, errDown }}
		c := &fakePeers{seeds: []string{"gone", "there"}, changes: map[string]Update{
			"there": {Items: items("rules@3 7\nserver/x@5 one"), Position: store.Position{Revision: 5}, Full: true},
		}}
		instances, routing := follow(t, p, c, time.Second)
		require.Equal(t, 1, instances.Size())
		require.EqualValues(t, 7, routing.View().Set.Version)
	})
}

// TestReloadAfterCompaction guards against a host that stays behind after a compaction:
// the full state must be loaded again, once, and from the store, because the hosts that
// it could ask may be as far behind.
func TestReloadAfterCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakeSource{}
		p.load = func() (Update, error) {
			if p.loads > 1 {
				return Update{Items: items("rules@9 8"), Position: store.Position{Revision: 20}}, nil
			}
			return Update{Items: items("rules@3 7"), Position: store.Position{Revision: 5}}, nil
		}
		p.wait = func(after uint64) (Update, error) {
			if after < 20 {
				return Update{}, ErrCompacted
			}
			time.Sleep(time.Second)
			return Update{Position: store.Position{Revision: after}}, nil
		}
		_, routing := follow(t, p, &fakePeers{watch: true}, 3*time.Second)
		require.Equal(t, 2, p.loads)
		require.EqualValues(t, 8, routing.View().Set.Version)
	})
}

// TestFollowPeers guards against needless load on the store: a host that need not
// watch the store must not call it after it has caught up, and must still get
// changes from other hosts.
func TestFollowPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakeSource{
			load: func() (Update, error) {
				return Update{Items: items("rules@3 7"), Position: store.Position{Revision: 5}}, nil
			},
			wait: func(after uint64) (Update, error) { return Update{Position: store.Position{Revision: after}}, nil },
		}
		c := &fakePeers{newest: "peer", changes: map[string]Update{"peer": {Items: items("rules@9 8"), Position: store.Position{Revision: 9}}}}
		_, routing := follow(t, p, c, 10*time.Second)
		require.Equal(t, 1, p.loads)
		require.Empty(t, p.waits)
		require.EqualValues(t, 8, routing.View().Set.Version)
	})
}

// TestStoreOutage guards against the loss of rules and backend servers during an
// outage of the store, and against calls to it without backoff.
func TestStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakeSource{
			load: func() (Update, error) {
				return Update{Items: items("rules@3 7\nserver/x@5 one"), Position: store.Position{Revision: 5}}, nil
			},
			wait: func(uint64) (Update, error) { return Update{}, errDown },
		}
		instances, routing := follow(t, p, &fakePeers{watch: true}, 30*time.Second)
		require.Equal(t, 1, instances.Size())
		require.EqualValues(t, 7, routing.View().Set.Version)
		require.Less(t, len(p.waits), 40)
	})
}

// TestStartFromNeighbours guards against hosts that all load the full state from the
// store when they start together, and against a restarted host that uses servers or
// rules again which the others have seen leave: it must rely on a neighbour only if that
// one has checked its state with the store, and take the newest state otherwise.
func TestStartFromNeighbours(t *testing.T) {
	const behind, current = "rules@3 7\nserver/x@5 one", "rules@9 8\nserver/y@8 one"
	for _, c := range []struct {
		name string
		// checked is the age of the neighbour's last check; negative means never.
		checked    time.Duration
		neighbours map[string]string
		isFirst    bool
		restart    bool
		storeDown  bool
		loads      int
		version    uint64
	}{
		{name: "checked neighbour", checked: time.Second, neighbours: map[string]string{"n": current}, loads: 0, version: 8},
		{name: "neighbour behind", checked: time.Minute, neighbours: map[string]string{"n": behind}, loads: 1, version: 8},
		{name: "neighbour never checked", checked: -1, neighbours: map[string]string{"n": behind}, loads: 1, version: 8},
		{name: "neighbours without a state", neighbours: map[string]string{"n": ""}, isFirst: true, loads: 1, version: 8},
		{name: "store down, hosts of different ages", checked: time.Minute, neighbours: map[string]string{"m": current, "n": behind}, storeDown: true, loads: 1, version: 8},
		{name: "restart", restart: true, checked: time.Second, neighbours: map[string]string{"n": behind}, loads: 1, version: 8},
		{name: "no neighbours", isFirst: true, loads: 1, version: 8},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &fakeSource{load: func() (Update, error) {
					if c.storeDown {
						return Update{}, errDown
					}
					return Update{Items: items(current), Position: store.Position{Revision: 9}}, nil
				}}
				peers := &fakePeers{first: c.isFirst, together: !c.restart, changes: make(map[string]Update)}
				for name, state := range c.neighbours {
					peers.neighbours, peers.seeds = append(peers.neighbours, name), append(peers.seeds, name)
					update := Update{Items: items(state), Full: true}
					for _, item := range update.Items {
						update.Position = store.Later(update.Position, item.Position)
					}
					if c.checked >= 0 {
						update.CheckedAt = time.Now().Add(-c.checked)
					}
					peers.changes[name] = update
				}
				_, routing := follow(t, p, peers, 4*time.Second)
				require.GreaterOrEqual(t, p.loads, c.loads)
				if !c.storeDown {
					require.Equal(t, c.loads, p.loads)
				}
				require.Equal(t, c.version, routing.View().Set.Version)
			})
		})
	}
}
