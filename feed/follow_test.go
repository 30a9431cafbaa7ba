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
)

// fakeSource is a Source whose answers a test sets. A call without a set answer
// blocks until its context ends.
type fakeSource struct {
	decoder
	mu    sync.Mutex
	load  func(exact bool) (Update, error)
	wait  func(after uint64) (Update, error)
	loads []bool
	waits []uint64
}

func (p *fakeSource) Load(ctx context.Context, exact bool) (Update, error) {
	p.mu.Lock()
	p.loads = append(p.loads, exact)
	load := p.load
	p.mu.Unlock()
	if load == nil {
		<-ctx.Done()
		return Update{}, ctx.Err()
	}
	return load(exact)
}

func (p *fakeSource) Wait(ctx context.Context, after uint64) (Update, error) {
	p.mu.Lock()
	p.waits = append(p.waits, after)
	wait := p.wait
	p.mu.Unlock()
	if wait == nil {
		<-ctx.Done()
		return Update{}, ctx.Err()
	}
	return wait(after)
}

// fakePeers are Peers whose answers a test sets.
type fakePeers struct {
	recordedPeers
	watch   bool
	seeds   []string
	newest  string
	changes map[string]Update
}

func (c *fakePeers) ShouldWatch(time.Time) bool          { return c.watch }
func (c *fakePeers) Seeds(time.Time) []string            { return c.seeds }
func (c *fakePeers) NewestPeer(time.Time) (string, bool) { return c.newest, c.newest != "" }

func (c *fakePeers) Changes(_ context.Context, address string, _ uint64) (Update, error) {
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
	syncer := NewSyncer(p, c, routing, instances, zerolog.Nop())
	syncer.Start()
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
		p := &fakeSource{load: func(bool) (Update, error) { return Update{}, errDown }}
		c := &fakePeers{seeds: []string{"gone", "there"}, changes: map[string]Update{
			"there": {Items: items("rules@3 7\nserver/x@5 one"), Revision: 5, Full: true},
		}}
		instances, routing := follow(t, p, c, time.Second)
		require.Equal(t, 1, instances.Size())
		require.EqualValues(t, 7, routing.View().Set.Version)
	})
}

// TestReloadAfterCompaction guards against an endless loop of loads: after a
// compaction the state must be loaded with exact set, because a cached state may be
// older than the compacted revision and lead to the same error again.
func TestReloadAfterCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakeSource{
			load: func(exact bool) (Update, error) {
				if exact {
					return Update{Items: items("rules@9 8"), Revision: 20}, nil
				}
				return Update{Items: items("rules@3 7"), Revision: 5}, nil
			},
		}
		p.wait = func(after uint64) (Update, error) {
			if after < 20 {
				return Update{}, ErrCompacted
			}
			time.Sleep(time.Second)
			return Update{Revision: after}, nil
		}
		_, routing := follow(t, p, &fakePeers{watch: true}, 3*time.Second)
		require.Equal(t, []bool{false, true}, p.loads)
		require.EqualValues(t, 8, routing.View().Set.Version)
	})
}

// TestFollowPeers guards against needless load on the store: a host that need not
// watch the store must not call it after it has caught up, and must still get
// changes from other hosts.
func TestFollowPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakeSource{
			load: func(bool) (Update, error) { return Update{Items: items("rules@3 7"), Revision: 5}, nil },
			wait: func(after uint64) (Update, error) { return Update{Revision: after}, nil },
		}
		c := &fakePeers{newest: "peer", changes: map[string]Update{"peer": {Items: items("rules@9 8"), Revision: 9}}}
		_, routing := follow(t, p, c, 10*time.Second)
		require.Len(t, p.loads, 1)
		require.Len(t, p.waits, 1)
		require.EqualValues(t, 8, routing.View().Set.Version)
	})
}

// TestStoreOutage guards against the loss of rules and backend servers during an
// outage of the store, and against calls to it without backoff.
func TestStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakeSource{
			load: func(bool) (Update, error) { return Update{Items: items("rules@3 7\nserver/x@5 one"), Revision: 5}, nil },
			wait: func(uint64) (Update, error) { return Update{}, errDown },
		}
		instances, routing := follow(t, p, &fakePeers{watch: true}, 30*time.Second)
		require.Equal(t, 1, instances.Size())
		require.EqualValues(t, 7, routing.View().Set.Version)
		require.Less(t, len(p.waits), 40)
	})
}
