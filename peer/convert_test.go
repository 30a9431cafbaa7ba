package peer

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"hyssophub/fault"
	"hyssophub/peer/peerpb"
	"hyssophub/props"
	"hyssophub/shard"
)

func TestMain(m *testing.M) { os.Exit(props.Main(m)) }

func drawOutcome(t *rapid.T) shard.Outcome {
	switch rapid.IntRange(0, 2).Draw(t, "outcome") {
	case 0:
		o := shard.Answered{Receipt: rapid.String().Draw(t, "receipt"), Parts: []shard.PartialAnswer{}}
		for range rapid.IntRange(0, 3).Draw(t, "parts") {
			p := shard.PartialAnswer{Version: shard.Version(rapid.Uint64().Draw(t, "version")), Shard: rapid.String().Draw(t, "shard"), Hits: []shard.Hit{}}
			for range rapid.IntRange(0, 3).Draw(t, "hits") {
				p.Hits = append(p.Hits, shard.Hit{Key: rapid.String().Draw(t, "key"), Score: rapid.Float64().Draw(t, "score"), Text: rapid.String().Draw(t, "text")})
			}
			o.Parts = append(o.Parts, p)
		}
		return o
	case 1:
		return shard.Refused{Reason: fault.ReasonOverload, RetryAfter: time.Duration(rapid.IntRange(0, 1000).Draw(t, "after")) * time.Microsecond}
	default:
		verdict := rapid.SampledFrom([]fault.Verdict{fault.NotRun{}, fault.MayHaveRun{}, fault.Ran{}}).Draw(t, "verdict")
		return shard.Failed{Verdict: verdict, Reason: fault.ReasonConnection}
	}
}

// Guards against a result, above all its verdict, that changes in the encoding
// between hosts.
func TestResultsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var results []shard.Result
		for range rapid.IntRange(1, 4).Draw(t, "results") {
			results = append(results, shard.Result{
				SubID: rapid.Uint64().Draw(t, "sub"), Server: rapid.String().Draw(t, "server"), Outcome: drawOutcome(t), Took: time.Millisecond,
				Stats: shard.ServerStats{Server: "s", MedianLatency: time.Millisecond, TailLatency: time.Second, Queued: 1, Busy: 2, Free: 3, Usable: true, CatalogRevision: 4},
			})
		}
		data, err := proto.Marshal(encodeResults(results))
		require.NoError(t, err)
		var msg peerpb.Results
		require.NoError(t, proto.Unmarshal(data, &msg))
		require.Equal(t, results, decodeResults(&msg))
	})
}

// Guards against a deadline that is extended, or a field that is lost, in the
// encoding between hosts whose clocks differ.
func TestBatchRoundTrip(t *testing.T) {
	sent := time.Unix(1_000_000, 0)
	batch := shard.Batch{Sender: "host", Revision: 7, Class: shard.Urgent, Subs: []shard.SubRequest{{
		ID: 1, RequestID: "r", Tenant: "t", Service: "s", Server: "s-1", Version: 3, Shards: []string{"a"}, Text: "q", Limit: 5,
		Class: shard.Urgent, Deadline: sent.Add(80 * time.Millisecond), Write: true, IdempotencyKey: "k", Hedge: true,
	}}}
	data, err := proto.Marshal(encodeBatch(batch, sent))
	require.NoError(t, err)
	var msg peerpb.Batch
	require.NoError(t, proto.Unmarshal(data, &msg))
	received := sent.Add(time.Hour)
	got := decodeBatch(&msg, received)
	require.Equal(t, received.Add(80*time.Millisecond), got.Subs[0].Deadline)
	got.Subs[0].Deadline = batch.Subs[0].Deadline
	require.Equal(t, batch, got)
}

// FuzzResults guards against a message of a faulty host that crashes the receiver
// or is decoded into a result without an outcome.
func FuzzResults(f *testing.F) {
	seed, err := proto.Marshal(encodeResults([]shard.Result{{SubID: 1, Outcome: shard.Refused{Reason: fault.ReasonCold}}}))
	require.NoError(f, err)
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		var msg peerpb.Results
		if proto.Unmarshal(data, &msg) != nil {
			return
		}
		for _, r := range decodeResults(&msg) {
			require.NotNil(t, r.Outcome)
		}
	})
}
