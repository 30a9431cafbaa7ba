package peer

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"hyssophub/flow"
	"hyssophub/gossip"
	"hyssophub/peer/peerpb"
	"hyssophub/relay"
	"hyssophub/store"
)

// FuzzGossip guards against heartbeats that make the decoder or the host table panic,
// or that replace the local host's own record.
func FuzzGossip(f *testing.F) {
	now := time.Unix(1000, 0)
	sound, err := proto.Marshal(encodeGossip(gossip.Heartbeat{
		Sender: gossip.Record{Host: gossip.Host{Name: "b1", Zone: "b", HeartbeatAddress: "10.0.0.1:1", Weight: 400, Position: store.Position{Revision: 7}}, LastSeen: now},
		Others: []gossip.Record{{Host: gossip.Host{Name: "a1", Zone: "a"}, LastSeen: now, StoreContact: now}},
	}, now))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(sound)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		var msg peerpb.Pulse
		if proto.Unmarshal(data, &msg) != nil {
			return
		}
		table := gossip.NewTable(gossip.Host{Name: "self", Zone: "a"}, now)
		for i := range 3 {
			at := now.Add(time.Duration(i) * time.Second)
			table.Receive(decodeGossip(&msg, at), at)
			table.Expire(at)
			table.ShouldWatch(at)
			table.NewestHost(at)
			table.NextRound(at, nil)
			table.Announcement(at)
		}
		if self := table.Self(); self.Name != "self" || self.Zone != "a" {
			t.Fatalf("own record replaced by %+v", self)
		}
	})
}

// FuzzCollect guards against messages of collections that make the decoders panic or
// allocate more than their own size warrants.
func FuzzCollect(f *testing.F) {
	request, err := proto.Marshal(encodeCollectRequest(testRequest()))
	if err != nil {
		f.Fatal(err)
	}
	reply, err := proto.Marshal(encodePartialResult(relay.PartialResult{
		Records: []byte("r"), Token: 3, Parts: []relay.CollectedPart{{Index: 1, Seal: "s"}}, Missing: []relay.MissingPart{{Index: 0, PossibleRuns: 1}},
	}))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(request)
	f.Add(reply)
	f.Fuzz(func(t *testing.T, data []byte) {
		var request peerpb.CollectRequest
		if proto.Unmarshal(data, &request) == nil {
			r := decodeCollectRequest(&request)
			if len(r.Services) > len(data) || r.Message == nil {
				t.Fatalf("%d services from %d bytes", len(r.Services), len(data))
			}
		}
		var reply peerpb.CollectReply
		if proto.Unmarshal(data, &reply) == nil {
			c := decodePartialResult(&reply)
			if len(c.Parts)+len(c.Missing) > len(data) {
				t.Fatalf("%d parts from %d bytes", len(c.Parts)+len(c.Missing), len(data))
			}
		}
	})
}

// FuzzPermits guards against datagrams about permits that make the decoders or the table
// panic, or that grant an impossible number of permits.
func FuzzPermits(f *testing.F) {
	now := time.Unix(1000, 0)
	server := &peerpb.Server{Id: "s", Start: 1, Zone: "a"}
	limit := &peerpb.Limit{Rate: 24, Age: 100}
	for _, msg := range []*peerpb.Datagram{
		{Host: "a1", Number: 1, Asks: []*peerpb.Ask{{Server: server, Limit: limit, Want: 3, Cold: 5, Left: 1000}}},
		{Host: "a1", Number: 1, Grants: []*peerpb.Grant{{Server: server, Limit: limit, Permits: 2, Wait: 100, Owner: "a1"}}},
		{Host: "a1", Leaving: []*peerpb.Server{server}, Limited: []*peerpb.Ask{{Server: server, Limit: limit}}, Relay: true},
	} {
		data, err := proto.Marshal(msg)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var msg peerpb.Datagram
		if proto.Unmarshal(data, &msg) != nil {
			return
		}
		table := flow.NewTable("self", now.Add(-time.Minute))
		table.SetMembers([]flow.Member{{Name: "self", Zone: "a", Live: true, Joined: true}, {Name: "a1", Zone: "a", Address: "a1", Live: true}}, now)
		for i := range 3 {
			at := now.Add(time.Duration(i) * time.Second)
			for _, g := range first(table.Answer(msg.GetHost(), decodeAsks(msg.GetAsks(), at), at)) {
				if g.Permits < 0 || g.Permits > maxWant {
					t.Fatalf("%d permits", g.Permits)
				}
			}
			table.Accept(msg.GetNumber(), decodeGrants(msg.GetGrants(), at), at)
			table.Tell(msg.GetHost(), decodeAnnouncement(&msg, at), at)
			table.Asks(at)
			table.Announcements()
			table.SetMembers(nil, at)
		}
	})
}

func first(grants []flow.Grant, _ []flow.Change) []flow.Grant { return grants }
