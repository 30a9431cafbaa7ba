package peer

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"hyssophub/canary"
	"hyssophub/flow"
	"hyssophub/peer/peerpb"
	"hyssophub/quota"
)

// permitRecorder grants what it is asked for and records the grants that it receives.
type permitRecorder struct {
	asked   chan []flow.Ask
	granted chan []flow.Grant
	told    chan flow.Announcement
	heard   chan []canary.Report
}

func newPermitRecorder() permitRecorder {
	return permitRecorder{asked: make(chan []flow.Ask, 8), granted: make(chan []flow.Grant, 8), told: make(chan flow.Announcement, 8), heard: make(chan []canary.Report, 8)}
}

func (r permitRecorder) Answer(_ string, asks []flow.Ask) []flow.Grant {
	r.asked <- asks
	grants := make([]flow.Grant, 0, len(asks))
	for _, a := range asks {
		grants = append(grants, flow.Grant{Server: a.Server, Limit: a.Limit, Permits: a.Want, Wait: 250 * time.Millisecond, Owner: "other"})
	}
	return grants
}

func (r permitRecorder) Tell(_ string, announced flow.Announcement) []flow.Announcement {
	r.told <- announced
	return nil
}

// Hear replies with the reports of the first host, so that both ways are covered.
func (r permitRecorder) Hear(reports []canary.Report) []canary.Report {
	r.heard <- reports
	if reports[0].Host != "asking" {
		return nil
	}
	return reports
}

func (r permitRecorder) Accept(_ uint64, grants []flow.Grant) { r.granted <- grants }

func listenPermits(t *testing.T, name string) (*PermitSocket, permitRecorder) {
	socket, err := ListenPermits(name, "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, socket.Close()) })
	handler := newPermitRecorder()
	socket.Start(handler, nil)
	return socket, handler
}

// TestPermitsCrossTheNetwork guards against fields of asks and grants that are lost or
// changed between hosts: a wrong server, start time or rate grants permits twice.
func TestPermitsCrossTheNetwork(t *testing.T) {
	asking, askingHandler := listenPermits(t, "asking")
	owner, ownerHandler := listenPermits(t, "owner")
	now := time.Now()
	ask := flow.Ask{
		Server:   flow.Server{ID: "s", StartMs: 1700000000123, Zone: "a"},
		Limit:    flow.Limit{Named: true, Rate: 24.5, SaidAt: now.Add(-300 * time.Millisecond)},
		ColdRate: 5,
		ColdTime: 2500 * time.Millisecond,
		Want:     3,
	}
	ended := flow.Ask{Server: flow.Server{ID: "e", Zone: "b"}, Limit: flow.Limit{SaidAt: now}}
	// A limit that was never named must not look like one that has just ended.
	never := flow.Ask{Server: flow.Server{ID: "n", Zone: "b"}}
	require.NoError(t, asking.Send(&flow.Batch{Address: owner.conn.LocalAddr().String(), Number: 7, Asks: []flow.Ask{ask, ended, never}}, now))
	asked := <-ownerHandler.asked
	require.Len(t, asked, 3)
	require.True(t, asked[2].Limit.SaidAt.Before(now.Add(-49*24*time.Hour)), "age of an answer that never came")
	require.Equal(t, ask.Server, asked[0].Server)
	require.True(t, asked[0].Limit.Named)
	require.InDelta(t, ask.Limit.Rate, asked[0].Limit.Rate, 0)
	require.WithinDuration(t, ask.Limit.SaidAt, asked[0].Limit.SaidAt, 100*time.Millisecond)
	require.False(t, asked[1].Limit.Named)
	require.InDelta(t, ask.ColdRate, asked[0].ColdRate, 0)
	require.Equal(t, ask.ColdTime, asked[0].ColdTime)
	require.Zero(t, asked[1].ColdTime)
	granted := <-askingHandler.granted
	require.Len(t, granted, 3)
	require.Equal(t, ask.Server, granted[0].Server)
	require.Equal(t, 3, granted[0].Permits)
	require.Equal(t, 250*time.Millisecond, granted[0].Wait)
	require.Equal(t, "other", granted[0].Owner)
	announced := flow.Announcement{Addresses: []string{owner.conn.LocalAddr().String()}, Relay: true, Leaving: []flow.Server{ended.Server}, Limited: []flow.ServerLimit{{Server: ask.Server, Limit: ask.Limit}}}
	require.NoError(t, asking.Announce(announced))
	told := <-ownerHandler.told
	require.Equal(t, announced.Leaving, told.Leaving)
	require.True(t, told.Relay)
	require.Len(t, told.Limited, 1)
	require.Equal(t, ask.Server, told.Limited[0].Server)
	require.InDelta(t, ask.Limit.Rate, told.Limited[0].Limit.Rate, 0)
}

// TestMalformedPermitsAreDropped guards against datagrams that end the process, or that
// grant permits without a server or at an impossible rate.
func TestMalformedPermitsAreDropped(t *testing.T) {
	owner, handler := listenPermits(t, "owner")
	conn, err := net.Dial("udp", owner.conn.LocalAddr().String())
	require.NoError(t, err)
	defer func() { require.NoError(t, conn.Close()) }()
	limit := &peerpb.Limit{Rate: -1}
	for _, msg := range []*peerpb.Datagram{
		{},
		{Asks: []*peerpb.Ask{{}, {Server: &peerpb.Server{Id: "s"}}, {Limit: limit, Server: &peerpb.Server{Id: "s"}}}},
		{Leaving: []*peerpb.Server{{}}},
		{Grants: []*peerpb.Grant{{}, {Server: &peerpb.Server{Id: "s"}, Limit: limit, Permits: 9}}},
	} {
		data, err := proto.Marshal(msg)
		require.NoError(t, err)
		_, err = conn.Write(data)
		require.NoError(t, err)
	}
	_, err = conn.Write([]byte{0xff, 0xff, 0xff})
	require.NoError(t, err)
	require.Empty(t, <-handler.asked)
	require.Empty(t, <-handler.granted)
	require.Empty(t, (<-handler.told).Leaving)
}

func (r permitRecorder) AnswerClaims([]quota.Claim) []quota.Reply { return nil }

func (r permitRecorder) AcceptReplies(string, []quota.Reply) []quota.Message { return nil }
