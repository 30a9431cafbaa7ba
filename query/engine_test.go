package query

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"hyssophub/config"
	"hyssophub/fault"
	"hyssophub/route"
	"hyssophub/shard"
)

// blockedTransport is a transport that returns no result until release is closed,
// even if the context is cancelled. It is also the directory, in which each
// server is owned by a host of the same name.
type blockedTransport struct{ release chan struct{} }

func (b blockedTransport) Submit(context.Context, string, shard.Batch) ([]shard.Result, error) {
	<-b.release
	return nil, fault.New(fault.MayHaveRun{}, fault.ReasonDeadline, "no answer")
}

// OwnerOf implements Directory.
func (b blockedTransport) OwnerOf(server string) (string, bool) { return server, true }

// TestDeadlineWithBusyWorkers guards against a query that ends after its deadline
// because every worker waits for an owner and the queue is full.
func TestDeadlineWithBusyWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		configs := config.NewTable()
		configs.Accept(config.Value{Revision: 1, Manifest: parseManifest("one x s1@a\ntwo y s2@a")})
		routes := route.NewTable("a")
		routes.UpdateCatalogs(parseCatalogs("s1 1 x x\ns2 1 y y"))
		transport := blockedTransport{release: make(chan struct{})}
		e := NewEngine(configs, routes, transport, transport, Options{Host: "h", Workers: 1, Queue: 3})
		start := time.Now()
		request := Request{ID: "q", Tenant: "t", Limit: 1, Deadline: start.Add(200 * time.Millisecond)}
		answer, err := e.Run(t.Context(), request)
		require.NoError(t, err)
		require.Equal(t, 200*time.Millisecond, time.Since(start))
		require.Equal(t, 2, answer.Coverage.Total)
		require.Equal(t, fault.ReasonDeadline, answer.Coverage.Missing[0].Reason)
		require.Zero(t, e.table.InProgress())
		close(transport.release)
		e.Close()
	})
}

// TestNoPlanByDeadline guards against an answer that lists nothing as missing,
// although no worker planned the query before its deadline.
func TestNoPlanByDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		configs := config.NewTable()
		configs.Accept(config.Value{Revision: 1, Manifest: parseManifest("one x s1@a")})
		routes := route.NewTable("a")
		routes.UpdateCatalogs(parseCatalogs("s1 1 x x"))
		transport := blockedTransport{release: make(chan struct{})}
		e := NewEngine(configs, routes, transport, transport, Options{Host: "h", Workers: 1, Queue: 8})
		request := Request{ID: "q", Tenant: "t", Limit: 1, Deadline: time.Now().Add(200 * time.Millisecond)}
		_, err := e.Run(t.Context(), request)
		require.NoError(t, err)
		request.Deadline = time.Now().Add(200 * time.Millisecond)
		_, err = e.Run(t.Context(), request)
		require.Equal(t, fault.NotRun{}, fault.VerdictOf(err))
		require.Equal(t, fault.ReasonOverload, fault.ReasonOf(err))
		close(transport.release)
		e.Close()
	})
}
