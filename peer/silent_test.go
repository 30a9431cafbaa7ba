package peer

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssophub/fakes"
	"hyssophub/store"
)

// TestChangesAfterSilence guards against a host that waits for changes on silent connections,
// one after the other.
func TestChangesAfterSilence(t *testing.T) {
	const calls = 2
	var arrived sync.WaitGroup
	arrived.Add(calls)
	handler := NewRelayHandler(&stubHandler{})
	var started sync.Map
	server := fakes.NewSilentServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, isLater := started.LoadOrStore(r.RemoteAddr, true); !isLater {
			arrived.Done()
			arrived.Wait()
		}
		handler.ServeHTTP(w, r)
	}))
	defer server.Close()
	client := NewRelayClient()
	defer client.Close()
	var group sync.WaitGroup
	for range calls {
		group.Go(func() {
			_, err := client.Changes(t.Context(), server.Address(), store.Position{})
			require.NoError(t, err)
		})
	}
	group.Wait()
	server.Silence()
	arrived.Add(1)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := client.Changes(ctx, server.Address(), store.Position{})
	require.Error(t, err)
	_, err = client.Changes(t.Context(), server.Address(), store.Position{})
	require.NoError(t, err)
}
