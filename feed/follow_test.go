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
	"hyssophub/rules"
)

// play is a source whose answers a test sets. Unset ones never come.
type play struct {
	source
	mu     sync.Mutex
	load   func(exact bool) (Update, error)
	wait   func(after uint64) (Update, error)
	loads  []bool
	waited []uint64
}

func (p *play) Load(ctx context.Context, exact bool) (Update, error) {
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

func (p *play) Wait(ctx context.Context, after uint64) (Update, error) {
	p.mu.Lock()
	p.waited = append(p.waited, after)
	wait := p.wait
	p.mu.Unlock()
	if wait == nil {
		<-ctx.Done()
		return Update{}, ctx.Err()
	}
	return wait(after)
}

// crew are other hosts that a test sets.
type crew struct {
	told
	watch   bool
	seeds   []string
	newest  string
	changes map[string]Update
}

func (c *crew) ShouldWatch(time.Time) bool          { return c.watch }
func (c *crew) Seeds(time.Time) []string            { return c.seeds }
func (c *crew) NewestPeer(time.Time) (string, bool) { return c.newest, c.newest != "" }

func (c *crew) Changes(_ context.Context, address string, _ uint64) (Update, error) {
	state, ok := c.changes[address]
	if !ok {
		return Update{}, errors.New("no answer")
	}
	return state, nil
}

func follow(t *testing.T, p *play, c *crew, span time.Duration) (*fleet.Table, *rules.Table) {
	t.Helper()
	instances, routing := fleet.NewTable("a", 0), rules.NewTable(0)
	k := NewSyncer(p, c, routing, instances, zerolog.Nop())
	k.Start()
	time.Sleep(span)
	k.Close()
	return instances, routing
}

var errDown = errors.New("down")

// TestStartWithoutStore guards a host that starts while the store refuses it: the
// state comes from the first of the other hosts that answers.
func TestStartWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &play{load: func(bool) (Update, error) { return Update{}, errDown }}
		c := &crew{seeds: []string{"gone", "there"}, changes: map[string]Update{
			"there": {Items: items("rules@3 7\nserver/x@5 one"), Revision: 5, Full: true},
		}}
		instances, routing := follow(t, p, c, time.Second)
		require.Equal(t, 1, instances.Size())
		require.EqualValues(t, 7, routing.View().Set.Version)
	})
}

// TestLostHistory guards against a circle: a copy that is older than the dropped
// history must not be read again.
func TestLostHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &play{
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
		_, routing := follow(t, p, &crew{watch: true}, 3*time.Second)
		require.Equal(t, []bool{false, true}, p.loads)
		require.EqualValues(t, 8, routing.View().Set.Version)
	})
}

// TestReliesOnOthers guards the store's rates: a host that need not follow the
// store asks it for nothing after it has caught up, and hears of changes.
func TestReliesOnOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &play{
			load: func(bool) (Update, error) { return Update{Items: items("rules@3 7"), Revision: 5}, nil },
			wait: func(after uint64) (Update, error) { return Update{Revision: after}, nil },
		}
		c := &crew{newest: "peer", changes: map[string]Update{"peer": {Items: items("rules@9 8"), Revision: 9}}}
		_, routing := follow(t, p, c, 10*time.Second)
		require.Len(t, p.loads, 1)
		require.Len(t, p.waited, 1)
		require.EqualValues(t, 8, routing.View().Set.Version)
	})
}

// TestStoreLost guards the state during an outage: nothing is given up, and the
// calls are spaced.
func TestStoreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &play{
			load: func(bool) (Update, error) { return Update{Items: items("rules@3 7\nserver/x@5 one"), Revision: 5}, nil },
			wait: func(uint64) (Update, error) { return Update{}, errDown },
		}
		instances, routing := follow(t, p, &crew{watch: true}, 30*time.Second)
		require.Equal(t, 1, instances.Size())
		require.EqualValues(t, 7, routing.View().Set.Version)
		require.Less(t, len(p.waited), 40)
	})
}
