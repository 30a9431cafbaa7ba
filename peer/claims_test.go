package peer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"hyssophub/peer/peerpb"
	"hyssophub/quota"
)

// claimRecorder answers claims with the given results and records what it receives.
type claimRecorder struct {
	permitRecorder
	results []quota.Result
	claims  chan quota.Claim
	replies chan quota.Reply
}

func (r claimRecorder) AnswerClaims(claims []quota.Claim) []quota.Reply {
	replies := make([]quota.Reply, 0, len(claims))
	for _, c := range claims {
		r.claims <- c
		if c.Back == 0 {
			replies = append(replies, quota.Reply{Number: c.Number, Result: r.results[c.Number]})
		}
	}
	return replies
}

func (r claimRecorder) AcceptReplies(_ string, replies []quota.Reply) []quota.Message {
	for _, reply := range replies {
		r.replies <- reply
	}
	return nil
}

// TestClaimsCrossTheNetwork guards against fields of claims and replies that are lost or
// changed between hosts: a wrong account, cap or number grants permits twice.
func TestClaimsCrossTheNetwork(t *testing.T) {
	results := []quota.Result{
		quota.Granted{Permits: 3},
		quota.Over{Wait: 250 * time.Millisecond},
		quota.Elsewhere{Owner: "other"},
		quota.Elsewhere{},
	}
	recorder := func() claimRecorder {
		return claimRecorder{permitRecorder: newPermitRecorder(), results: results, claims: make(chan quota.Claim, 8), replies: make(chan quota.Reply, 8)}
	}
	var sockets [2]*PermitSocket
	handlers := [2]claimRecorder{recorder(), recorder()}
	for i, name := range []string{"asking", "owner"} {
		socket, err := ListenPermits(name, "127.0.0.1:0")
		require.NoError(t, err)
		defer func() { require.NoError(t, socket.Close()) }()
		socket.Start(handlers[i], nil)
		sockets[i] = socket
	}
	address := sockets[1].conn.LocalAddr().String()
	for i, result := range results {
		claim := quota.Claim{
			Number: uint64(i), Want: 2, Hosts: 61,
			Cap: quota.Cap{Account: "water", Rate: 1.5, Burst: 18, Version: 7},
		}
		require.NoError(t, sockets[0].SendClaims([]quota.Message{{Host: "owner", Address: address, Claim: claim}}))
		require.Equal(t, claim, <-handlers[1].claims)
		require.Equal(t, quota.Reply{Number: uint64(i), Result: result}, <-handlers[0].replies)
	}
	back := quota.Claim{Cap: quota.Cap{Account: "water"}, Want: 1, Back: 2}
	require.NoError(t, sockets[0].SendClaims([]quota.Message{{Host: "owner", Address: address, Claim: back}}))
	require.Equal(t, back, <-handlers[1].claims)
}

// FuzzClaims guards against datagrams of another build or a damaged one that ask for
// impossible numbers of permits, or set an impossible cap.
func FuzzClaims(f *testing.F) {
	seed, err := proto.Marshal(&peerpb.Datagram{
		Host:    "a",
		Claims:  []*peerpb.Claim{encodeClaim(quota.Claim{Number: 1, Cap: quota.Cap{Account: "water", Rate: 1, Burst: 2, Version: 3}, Want: 1, Hosts: 61})},
		Replies: encodeReplies([]quota.Reply{{Number: 1, Result: quota.Granted{Permits: 1}}, {Result: quota.Over{Wait: time.Second}}}),
	})
	require.NoError(f, err)
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		var msg peerpb.Datagram
		if proto.Unmarshal(data, &msg) != nil {
			return
		}
		claims := decodeClaims(msg.GetClaims())
		for _, c := range claims {
			require.True(t, c.Cap.Rate >= 0 && c.Cap.Burst >= 0 && c.Cap.Account != "")
			require.True(t, c.Want >= 1 && c.Want <= maxWant && c.Back >= 0 && c.Back <= maxWant && c.Hosts <= maxHosts)
		}
		replies := decodeReplies(msg.GetReplies())
		require.Len(t, replies, len(msg.GetReplies()))
		now := time.Unix(1000, 0)
		table := quota.NewTable("self", quota.Bounds{Window: 5 * time.Second, Slack: 20}, now)
		table.Answer(claims, now)
		table.Accept(msg.GetHost(), replies, now)
	})
}
