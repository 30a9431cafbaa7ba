package entry

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"hyssophub/config"
	"hyssophub/fault"
	"hyssophub/once"
	"hyssophub/query"
	"hyssophub/shard"
	"hyssophub/stats"
)

// fakeRunner returns the same result and error for every request and counts the
// calls.
type fakeRunner struct {
	err   error
	calls int
}

func (s *fakeRunner) Run(_ context.Context, r query.Request) (query.Answer, error) {
	s.calls++
	return query.Answer{Request: r.ID, Snapshot: 7, Coverage: query.Coverage{
		Covered: 1, Total: 2, Missing: []query.Missing{{Service: "invoicing", Shard: "s2", Reason: fault.ReasonDown}},
	}, Hits: []shard.Hit{{Key: "s1-0", Score: 0.5, Text: "plot 7"}}, Took: 3 * time.Millisecond, Subs: 2}, s.err
}

func (s *fakeRunner) RunOnce(_ context.Context, r once.Request) (once.Result, error) {
	s.calls++
	return once.Result{Request: r.ID, Receipt: "fee-1/" + r.Key + "/1", Took: 5 * time.Millisecond, StoreCalls: 2}, s.err
}

func testConfig() *config.Table {
	configs := config.NewTable()
	configs.Accept(config.Value{Revision: 1, Manifest: config.Manifest{
		Tenants:  []config.Tenant{{Name: "fees", Class: shard.Urgent}},
		Services: []config.Service{{Name: "invoicing", Tenant: "fees"}},
	}})
	return configs
}

// Guards against a response whose status or body does not show the verdict, and
// against a malformed request that is passed to the runners.
func TestReplies(t *testing.T) {
	datadriven.RunTest(t, "testdata/replies", func(t *testing.T, d *datadriven.TestData) string {
		metrics, err := stats.New()
		require.NoError(t, err)
		defer func() { require.NoError(t, metrics.Close()) }()
		runner := &fakeRunner{err: scriptedError(t, d)}
		handler := NewHandler(runner, runner, testConfig(), metrics, zerolog.Nop(), func() bool { return true })
		body := d.Input
		if d.HasArg("pad") {
			body += strings.Repeat(" ", maxBodyBytes)
		}
		r := httptest.NewRequest(http.MethodPost, "/v1/"+d.Cmd, strings.NewReader(body))
		r.Header.Set("Request-Id", "r1")
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		after := w.Header().Get("Retry-After")
		if after != "" {
			after = " retry-after=" + after
		}
		return fmt.Sprintf("%d calls=%d%s\n%s", w.Code, runner.calls, after, w.Body.String())
	})
}

func scriptedError(t *testing.T, d *datadriven.TestData) error {
	if !d.HasArg("verdict") {
		return nil
	}
	var verdict, reason string
	d.ScanArgs(t, "verdict", &verdict)
	d.ScanArgs(t, "reason", &reason)
	err := fault.New(fault.ParseVerdict(verdict), fault.Reason(reason), "scripted")
	var after int
	d.MaybeScanArgs(t, "after", &after)
	err.RetryAfter = time.Duration(after) * time.Millisecond
	return err
}

// Guards against a query that is accepted with values outside their limits, and
// against decoding errors without the verdict NotRun.
func FuzzDecodeQuery(f *testing.F) {
	f.Add([]byte(`{"tenant":"fees","services":["invoicing"],"text":"a","limit":5,"class":"urgent","timeout":100,"coverage":0.5}`))
	f.Add([]byte(`{"timeout":9223372036854775807}`))
	view, now := testConfig().View(), time.Now()
	f.Fuzz(func(t *testing.T, body []byte) {
		r, err := decodeQuery(body, query.Request{}, view, now)
		if err != nil {
			require.Equal(t, fault.ReasonBadRequest, fault.ReasonOf(err))
			require.Equal(t, fault.NotRun{}, fault.VerdictOf(err))
			return
		}
		require.True(t, r.Limit > 0 && r.Limit <= maxLimit && len(r.Services) <= maxServices)
		require.True(t, r.MinCoverage >= 0 && r.MinCoverage <= 1 && r.Class < shard.ClassCount)
		require.False(t, r.Deadline.Before(now) || r.Deadline.After(now.Add(maxTimeout)))
	})
}

// Guards against a non-idempotent request that is accepted without a valid key,
// and against decoding errors without the verdict NotRun.
func FuzzDecodeRun(f *testing.F) {
	f.Add([]byte(`{"tenant":"fees","service":"invoicing","key":"k-1","text":"pay 40","timeout":1000}`))
	f.Add([]byte(`{"tenant":"fees","key":"../config","timeout":-1}{}`))
	view, now := testConfig().View(), time.Now()
	f.Fuzz(func(t *testing.T, body []byte) {
		r, err := decodeRun(body, once.Request{}, view, now)
		if err != nil {
			require.Equal(t, fault.ReasonBadRequest, fault.ReasonOf(err))
			require.Equal(t, fault.NotRun{}, fault.VerdictOf(err))
			return
		}
		require.True(t, once.ValidKey(r.Key) && r.Class < shard.ClassCount)
		require.False(t, r.Deadline.Before(now) || r.Deadline.After(now.Add(maxTimeout)))
	})
}
