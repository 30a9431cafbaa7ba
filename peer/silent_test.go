package peer

import (
	"context"
	"testing"
	"time"

	"hyssophub/fakes"
	"hyssophub/store"
)

// TestChangesAfterSilence guards against a host that waits for changes on silent connections,
// one after the other.
func TestChangesAfterSilence(t *testing.T) {
	server := fakes.NewSilentServer(NewRelayHandler(&stubHandler{}))
	defer server.Close()
	client := NewRelayClient()
	defer client.Close()
	server.CheckFresh(t, func(timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		_, err := client.Changes(ctx, server.Listener.Addr().String(), store.Position{})
		return err
	})
}
