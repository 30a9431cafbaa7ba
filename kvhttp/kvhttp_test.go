package kvhttp

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssophub/fakes"
	"hyssophub/store"
)

func startStore(t *testing.T) (*fakes.Store, *Client) {
	platform, err := fakes.NewStore("")
	require.NoError(t, err)
	client := NewClient(platform.Address())
	client.watchWait = 50 * time.Millisecond
	t.Cleanup(func() {
		client.Close()
		require.NoError(t, platform.Close())
	})
	return platform, client
}

// Guards against a lost answer that is reported as a refusal. After a lost
// answer only a read of the key shows whether the write took effect.
func TestLostAnswerIsUnknown(t *testing.T) {
	platform, client := startStore(t)
	platform.SetFault(fakes.StoreFault{LoseReplyEvery: 1})
	_, err := client.Swap(t.Context(), "once/fees/k", 0, []byte("v"), 0)
	require.ErrorIs(t, err, store.ErrUnknown)
	_, err = client.GrantLease(t.Context(), time.Hour)
	require.ErrorIs(t, err, store.ErrUnknown)
	e, err := client.Get(t.Context(), "once/fees/k")
	require.NoError(t, err)
	require.Equal(t, "v", string(e.Value))
	platform.SetFault(fakes.StoreFault{Delay: time.Minute})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err = client.Swap(ctx, "once/fees/k", e.Revision, []byte("w"), 0)
	require.ErrorIs(t, err, store.ErrUnknown)
	platform.SetFault(fakes.StoreFault{Down: true})
	_, err = client.Swap(t.Context(), "once/fees/k", e.Revision, []byte("w"), 0)
	require.ErrorIs(t, err, store.ErrUnavailable)
}

// Guards against calls that are missing from the metrics, and against a fake
// platform that accepts more watches than its limit.
func TestCallsAreCounted(t *testing.T) {
	platform, client := startStore(t)
	platform.SetFault(fakes.StoreFault{MaxWatches: 1})
	done := make(chan error, 1)
	client.watchWait = 300 * time.Millisecond
	go func() {
		_, err := client.Watch(t.Context(), "config", 0)
		done <- err
	}()
	require.Eventually(t, func() bool { return platform.Calls()["watch"] == 1 }, time.Second, time.Millisecond)
	require.Equal(t, CallCount{Kind: "watch", Total: 1, Pending: 1}, client.CallCounts()[KindWatch])
	_, err := client.Watch(t.Context(), "config", 0)
	require.ErrorIs(t, err, store.ErrUnavailable)
	require.NoError(t, <-done)
	require.Equal(t, CallCount{Kind: "watch", Total: 2}, client.CallCounts()[KindWatch])
}

// Guards against a fake platform whose host list shows changes before the
// configured lag has passed.
func TestHostListLags(t *testing.T) {
	platform, client := startStore(t)
	platform.SetHosts([]fakes.Host{{Name: "entry-a", Kind: "entry", State: "live"}})
	platform.SetFault(fakes.StoreFault{HostListLag: time.Hour})
	hosts, err := client.List(t.Context())
	require.NoError(t, err)
	require.Empty(t, hosts)
	platform.SetFault(fakes.StoreFault{})
	hosts, err = client.List(t.Context())
	require.NoError(t, err)
	require.Equal(t, []store.HostInfo{{Name: "entry-a", Kind: store.KindEntry, State: store.HostLive}}, hosts)
}

// Guards against answers of the platform that crash the decoders, and against
// decoding errors other than store.ErrUnknown.
func FuzzDecode(f *testing.F) {
	f.Add("7", []byte(`[{"name":"entry-a","kind":"entry","zone":"a","state":"live"}]`))
	f.Add("-1", []byte(`{}`))
	f.Fuzz(func(t *testing.T, revision string, body []byte) {
		e, err := decodeEntry("k", answer{header: http.Header{headerRevision: {revision}}, body: body})
		if err != nil && (!errors.Is(err, store.ErrUnknown) || e.Revision != 0) {
			t.Fatalf("entry %+v with error %v", e, err)
		}
		if _, err := decodeHosts(body); err != nil && !errors.Is(err, store.ErrUnknown) {
			t.Fatalf("host list: %v", err)
		}
	})
}
