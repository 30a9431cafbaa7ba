package config_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hyssophub/codec"
	"hyssophub/config"
	"hyssophub/props"
	"hyssophub/store"
)

func TestMain(m *testing.M) { os.Exit(props.Main(m)) }

// unreliableStore is a store.KV in memory that answers after a delay and fails at
// random. A swap whose answer is lost takes effect at once, later or never.
type unreliableStore struct {
	store.KV
	// lossRate is the share of calls that fail, from 0 to 1.
	lossRate float64
	// down makes every read fail.
	down bool

	mu     sync.Mutex
	random *rand.Rand
	entry  store.Entry
	// history holds every value that was stored, by revision.
	history map[uint64]config.Value
}

// drawFault returns whether a call is lost and the delay of its answer.
func (m *unreliableStore) drawFault() (lost bool, delay time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.random.Float64() < m.lossRate, time.Duration(m.random.IntN(30)) * time.Millisecond
}

func (m *unreliableStore) Get(context.Context, string) (store.Entry, error) {
	lost, delay := m.drawFault()
	<-time.After(delay)
	m.mu.Lock()
	defer m.mu.Unlock()
	if lost || m.down {
		return store.Entry{}, store.ErrUnavailable
	}
	return m.entry, nil
}

func (m *unreliableStore) Swap(_ context.Context, _ string, revision uint64, value []byte, _ store.LeaseID) (store.Entry, error) {
	lost, delay := m.drawFault()
	if lost {
		// Half of the lost calls take effect after the caller's next read.
		time.AfterFunc(10*delay, func() { _, _ = m.swap(revision, value) })
		if delay/time.Millisecond%2 == 0 {
			_, _ = m.swap(revision, value)
		}
		return store.Entry{}, store.ErrUnknown
	}
	<-time.After(delay)
	return m.swap(revision, value)
}

func (m *unreliableStore) swap(revision uint64, data []byte) (store.Entry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.entry.Revision != revision {
		return m.entry, store.ErrConflict
	}
	m.entry = store.Entry{Revision: revision + 1 + uint64(m.random.IntN(3)), Value: data}
	value, err := codec.DecodeValue(data, m.entry.Revision)
	m.history[m.entry.Revision] = value
	return m.entry, err
}

func newUnreliableStore(random *rand.Rand, lossRate float64) *unreliableStore {
	return &unreliableStore{random: random, lossRate: lossRate, history: make(map[uint64]config.Value)}
}

// exampleManifest returns the manifest of examples/skane.json.
func exampleManifest(t require.TestingT) config.Manifest {
	data, err := os.ReadFile("../examples/skane.json")
	require.NoError(t, err)
	m, err := codec.DecodeManifest(data)
	require.NoError(t, err)
	require.Empty(t, config.CheckManifest(m))
	return m
}

// TestConcurrentChanges guards against two changes that are accepted from one
// revision, an accepted change that is lost, a wrong result after a lost answer,
// and tables that revert to an older value.
func TestConcurrentChanges(t *testing.T) {
	small := exampleManifest(t)
	small.Services = small.Services[:1]
	first, err := codec.EncodeValue(config.Value{Manifest: small})
	require.NoError(t, err)
	counts := make(map[string]int)
	rapid.Check(t, func(r *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 0))
		kv := newUnreliableStore(random, rapid.SampledFrom([]float64{0.1, 0.5}).Draw(r, "loss"))
		operators := rapid.IntRange(2, 5).Draw(r, "offices")
		changes := rapid.IntRange(1, 30).Draw(r, "changes")
		var results map[string]config.ChangeResult
		synctest.Test(t, func(t *testing.T) {
			_, err := kv.swap(0, first)
			require.NoError(t, err)
			results = runOperators(config.NewChanger(kv, codec.Config{}, 3*time.Second), operators, changes)
			// Swaps in flight may still take effect.
			<-time.After(time.Second)
		})
		checkResults(r, kv, results)
		for _, result := range results {
			counts[fmt.Sprintf("%T", result)]++
		}
	})
	t.Logf("results: %v", counts)
}

// runOperators runs operators that toggle zones concurrently, and returns the
// result of each change by its ID.
func runOperators(changer *config.Changer, operators, changes int) map[string]config.ChangeResult {
	var (
		mu      sync.Mutex
		running sync.WaitGroup
		results = make(map[string]config.ChangeResult)
	)
	for o := range operators {
		running.Go(func() {
			for c := range changes {
				zone := string(rune('a' + (o+c/2)%4))
				var edit config.Edit = config.ZoneOut{Zone: zone}
				if c%2 == 1 {
					edit = config.ZoneIn{Zone: zone}
				}
				id := fmt.Sprintf("%d/%d", o, c)
				result := changer.Change(context.Background(), config.ChangeRequest{ID: id, Author: fmt.Sprint(o), Edit: edit})
				mu.Lock()
				results[id] = result
				mu.Unlock()
			}
		})
	}
	running.Wait()
	return results
}

// checkResults compares the results with all values that the store held.
func checkResults(t *rapid.T, kv *unreliableStore, results map[string]config.ChangeResult) {
	acceptedAt := make(map[string]uint64)
	replaced := make(map[uint64]bool)
	table := config.NewTable()
	order := rapid.Permutation(slices.Sorted(maps.Keys(kv.history))).Draw(t, "order")
	for _, revision := range order {
		value := kv.history[revision]
		before := table.View().Value.Revision
		table.Accept(value)
		require.GreaterOrEqual(t, table.View().Value.Revision, before)
		if len(value.Changes) == 0 {
			continue
		}
		newest := value.Changes[len(value.Changes)-1]
		require.NotContains(t, acceptedAt, newest.ID, "applied twice")
		require.False(t, replaced[newest.From], "two winners from revision %d", newest.From)
		acceptedAt[newest.ID], replaced[newest.From] = revision, true
	}
	require.Equal(t, kv.entry.Revision, table.View().Value.Revision)
	for id, result := range results {
		switch r := result.(type) {
		case config.Accepted:
			require.Equal(t, r.Revision, acceptedAt[id], id)
		case config.Conflicted:
			require.NotContains(t, acceptedAt, id)
			require.Equal(t, r.Winner.Revision, acceptedAt[r.Winner.ID])
		case config.Refused, config.StoreUnavailable:
			require.NotContains(t, acceptedAt, id)
		case config.Pending:
		}
	}
}

// TestChangeResults guards against a change that is accepted from an outdated base
// revision, a value that is too large for the store, a repeated change that is
// applied twice, and a wrong result during a store outage.
func TestChangeResults(t *testing.T) {
	m := exampleManifest(t)
	synctest.Test(t, func(t *testing.T) {
		kv := newUnreliableStore(rand.New(rand.NewPCG(1, 1)), 0)
		changer := config.NewChanger(kv, codec.Config{}, time.Second)
		change := func(r config.ChangeRequest) config.ChangeResult { return changer.Change(t.Context(), r) }
		first := change(config.ChangeRequest{ID: "m", Author: "north", RequireBase: true, Edit: config.ReplaceManifest{Manifest: m}})
		require.Equal(t, config.Accepted{Revision: kv.entry.Revision}, first)
		revision := kv.entry.Revision

		out := config.ChangeRequest{ID: "z", Author: "south", RequireBase: true, Edit: config.ZoneOut{Zone: "a"}}
		require.Equal(t, config.Conflicted{Winner: config.Winner{Revision: revision, Author: "north", ID: "m"}}, change(out))
		out.Base = revision
		accepted := change(out)
		require.Equal(t, config.Accepted{Revision: kv.entry.Revision}, accepted)
		out.Repeat = true
		require.Equal(t, accepted, change(out))
		out.RequireBase = false
		require.IsType(t, config.Refused{}, change(out))

		refused := change(config.ChangeRequest{ID: "big", Edit: config.ReplaceManifest{Manifest: incompressibleManifest(2 * designServers)}})
		require.IsType(t, config.Refused{}, refused)
		require.Contains(t, refused.(config.Refused).Faults[0].Problem, "the store allows 1048576")

		kv.down = true
		require.IsType(t, config.StoreUnavailable{}, change(config.ChangeRequest{ID: "down", Edit: config.ZoneIn{Zone: "a"}}))
		out.RequireBase = true
		require.IsType(t, config.Pending{}, change(out))
	})
}

// designServers is the number of backend servers of the design size.
const designServers = 4400

// designManifest returns a manifest with nine zones and two servers for each
// service.
func designManifest(servers int) config.Manifest {
	m := config.Manifest{Name: "design", Tenants: []config.Tenant{{Name: "tenant"}}}
	for z := range 9 {
		m.Zones = append(m.Zones, config.Zone{Name: fmt.Sprintf("region-%d-zone-%d", z/3, z), Region: fmt.Sprintf("region-%d", z/3), Hosts: 74})
	}
	for i := range servers / 2 {
		name := fmt.Sprintf("tenant-service-%04d", i)
		s := config.Service{Name: name, Tenant: "tenant", Slots: 2, Connections: 25, Connect: 6 * time.Millisecond, Floor: 5, Warmup: time.Minute, Shards: []string{name + ".0", name + ".1"}}
		for r := range 2 {
			s.Servers = append(s.Servers, config.Server{Name: fmt.Sprintf("%s-%d", name, r), Zone: m.Zones[(i+r*4)%9].Name, Address: fmt.Sprintf("10.%d.%d.%d:8080", r, i/250, i%250)})
		}
		m.Services = append(m.Services, s)
	}
	return m
}

// incompressibleManifest returns a manifest whose names are random, so that its stored
// value is too large even though values are compressed.
func incompressibleManifest(servers int) config.Manifest {
	random := rand.New(rand.NewPCG(3, 3))
	name := func() string {
		const letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_"
		text := make([]byte, len(letters))
		for i := range text {
			text[i] = letters[random.IntN(len(letters))]
		}
		text[0] = 'a'
		return string(text)
	}
	m := designManifest(servers)
	for i := range m.Services {
		s := &m.Services[i]
		s.Name, s.Shards = name(), []string{name(), name(), name()}
		for j := range s.Servers {
			s.Servers[j].Name = name()
		}
	}
	return m
}

// TestDesignSizeFitsTheStore guards against a stored value of the design size that
// is larger than the store allows.
func TestDesignSizeFitsTheStore(t *testing.T) {
	change := config.Change{ID: "00000000-0000-0000-0000-000000000000", Author: "office", At: start, Note: "manifest design with 2200 services"}
	value, err := config.Apply(config.Value{}, config.ReplaceManifest{Manifest: designManifest(designServers)}, change)
	require.NoError(t, err)
	for len(value.Changes) < 64 {
		value.Changes = append(value.Changes, change)
	}
	data, err := codec.EncodeValue(value)
	require.NoError(t, err)
	require.LessOrEqual(t, len(data), store.MaxValueBytes)
	t.Logf("value of %d servers: %d bytes", designServers, len(data))
}

// BenchmarkFresh measures the check before each sub-request to another zone.
func BenchmarkFresh(b *testing.B) {
	table := config.NewTable()
	table.Accept(config.Value{Revision: 1, Manifest: designManifest(designServers)})
	for _, z := range table.View().Value.Manifest.Zones {
		table.RecordReport(z.Name, start, time.Time{})
	}
	for b.Loop() {
		if !table.Fresh(start) {
			b.Fatal("not fresh")
		}
	}
}

// BenchmarkCheckManifest measures the check of a manifest of the design size.
func BenchmarkCheckManifest(b *testing.B) {
	m := designManifest(designServers)
	for b.Loop() {
		if faults := config.CheckManifest(m); len(faults) > 0 {
			b.Fatal(faults)
		}
	}
}
