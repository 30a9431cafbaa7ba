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

// stuck is a link whose owner never answers and ignores cancellation until it
// is released.
type stuck struct{ release chan struct{} }

func (s stuck) Submit(context.Context, string, shard.Batch) ([]shard.Result, error) {
	<-s.release
	return nil, fault.New(fault.MayHaveRun{}, fault.ReasonDeadline, "no answer")
}

// OwnerOf implements Directory.
func (s stuck) OwnerOf(server string) (string, bool) { return server, true }

// TestDeadlineWithBusyWorkers guards against a query that outlives its
// deadline because every worker waits for an owner and the queue is full.
func TestDeadlineWithBusyWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		configs := config.NewTable()
		configs.Accept(config.Value{Revision: 1, Manifest: readManifest("one x s1@a\ntwo y s2@a")})
		routes := route.NewTable("a")
		routes.UpdateCatalogs(readCatalogs("s1 1 x x\ns2 1 y y"))
		link := stuck{release: make(chan struct{})}
		e := NewEngine(configs, routes, link, link, Options{Host: "h", Workers: 1, Queue: 3})
		start := time.Now()
		request := Request{ID: "q", Tenant: "t", Limit: 1, Deadline: start.Add(200 * time.Millisecond)}
		answer, err := e.Run(t.Context(), request)
		require.NoError(t, err)
		require.Equal(t, 200*time.Millisecond, time.Since(start))
		require.Equal(t, 2, answer.Coverage.Total)
		require.Equal(t, fault.ReasonDeadline, answer.Coverage.Missing[0].Reason)
		require.Zero(t, e.table.InProgress())
		close(link.release)
		e.Close()
	})
}

// TestNoPlanByDeadline guards against an answer with an empty coverage, which
// lists nothing as missing, when no worker took up the query in time.
func TestNoPlanByDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		configs := config.NewTable()
		configs.Accept(config.Value{Revision: 1, Manifest: readManifest("one x s1@a")})
		routes := route.NewTable("a")
		routes.UpdateCatalogs(readCatalogs("s1 1 x x"))
		link := stuck{release: make(chan struct{})}
		e := NewEngine(configs, routes, link, link, Options{Host: "h", Workers: 1, Queue: 8})
		request := Request{ID: "q", Tenant: "t", Limit: 1, Deadline: time.Now().Add(200 * time.Millisecond)}
		_, err := e.Run(t.Context(), request)
		require.NoError(t, err)
		request.Deadline = time.Now().Add(200 * time.Millisecond)
		_, err = e.Run(t.Context(), request)
		require.Equal(t, fault.NotRun{}, fault.VerdictOf(err))
		require.Equal(t, fault.ReasonOverload, fault.ReasonOf(err))
		close(link.release)
		e.Close()
	})
}
