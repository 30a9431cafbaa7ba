package peer

import (
	"encoding/binary"
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"hyssophub/canary"
	"hyssophub/feed"
	"hyssophub/flow"
	"hyssophub/gossip"
	"hyssophub/peer/peerpb"
	"hyssophub/quota"
	"hyssophub/relay"
	"hyssophub/shard"
	"hyssophub/store"
)

// filler sets every exported field of a value to a value of its own that is not zero.
type filler struct {
	t     *testing.T
	count int
	now   time.Time
	// unset are the fields that a message leaves out on purpose, as Type.Field.
	unset map[string]bool
}

func (f *filler) fill(v reflect.Value) {
	f.count++
	switch {
	case v.Type() == reflect.TypeFor[time.Time]():
		v.Set(reflect.ValueOf(f.now.Add(-time.Duration(f.count) * time.Second)))
		return
	case v.Type() == reflect.TypeFor[time.Duration]():
		v.SetInt(int64(f.count) * int64(time.Millisecond))
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			field := v.Type().Field(i)
			if field.IsExported() && !f.unset[v.Type().Name()+"."+field.Name] {
				f.fill(v.Field(i))
			}
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem())
	case reflect.Slice:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			v.SetBytes(binary.BigEndian.AppendUint32(nil, uint32(f.count)))
			return
		}
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range v.Len() {
			f.fill(v.Index(i))
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		f.fill(key)
		f.fill(value)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.String:
		v.SetString("text-" + time.Duration(f.count).String())
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(f.count))
	case reflect.Float64:
		v.SetFloat(float64(f.count))
	case reflect.Uint64:
		v.SetUint(uint64(f.count))
	default:
		f.t.Fatalf("no value for %s", v.Type())
	}
}

func filled[T any](t *testing.T, now time.Time, unset ...string) T {
	t.Helper()
	f := &filler{t: t, now: now, unset: make(map[string]bool)}
	for _, name := range unset {
		f.unset[name] = true
	}
	var value T
	f.fill(reflect.ValueOf(&value).Elem())
	return value
}

// recordingPermits passes on what a host receives.
type recordingPermits struct {
	asks          chan flow.Ask
	announcements chan flow.Announcement
}

func (r recordingPermits) Answer(_ string, asks []flow.Ask) []flow.Grant {
	r.asks <- asks[0]
	return nil
}

func (recordingPermits) Hear([]canary.Report) []canary.Report { return nil }

func (recordingPermits) Accept(uint64, []flow.Grant) {}

func (r recordingPermits) Tell(_ string, announced flow.Announcement) []flow.Announcement {
	r.announcements <- announced
	return nil
}

func (recordingPermits) AnswerClaims([]quota.Claim) []quota.Reply { return nil }

func (recordingPermits) AcceptReplies(string, []quota.Reply) []quota.Message { return nil }

// transmit encodes a message as bytes and decodes them.
func transmit[M proto.Message](t *testing.T, sent, received M) M {
	t.Helper()
	data, err := proto.Marshal(sent)
	require.NoError(t, err)
	require.NoError(t, proto.Unmarshal(data, received))
	return received
}

// TestMessagesCarryEveryField guards against a field that a conversion leaves out, so that
// another host acts on a part of the message only. A gathered request lost its body that
// way, and helpers sent servers another request than the client's.
func TestMessagesCarryEveryField(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	t.Run("collect request", func(t *testing.T) {
		sent := filled[relay.CollectRequest](t, now)
		// Times between hosts are in microseconds.
		require.Equal(t, sent, decodeCollectRequest(transmit(t, encodeCollectRequest(sent), &peerpb.CollectRequest{})))
	})
	t.Run("partial result", func(t *testing.T) {
		// Request, Tried and Held are for the log of the host that collects.
		sent := filled[relay.PartialResult](t, now, "MissingPart.Tried", "MissingPart.Held", "PartialResult.Request")
		require.Equal(t, sent, decodePartialResult(transmit(t, encodePartialResult(sent), &peerpb.CollectReply{})))
	})
	t.Run("changes", func(t *testing.T) {
		// The age of the check is rounded up to a time of the receiver.
		s := &stubHandler{update: filled[feed.Update](t, now, "Update.CheckedAt", "Era.Since")}
		c := NewRelayClient()
		defer c.Close()
		update, err := c.Changes(t.Context(), startHandler(t, s), store.Position{})
		require.NoError(t, err)
		require.Equal(t, s.update, update)
	})
	t.Run("grants", func(t *testing.T) {
		sent := filled[[]flow.Grant](t, now)
		received := transmit(t, &peerpb.Datagram{Grants: encodeGrants(sent, now)}, &peerpb.Datagram{})
		require.Equal(t, sent, decodeGrants(received.GetGrants(), now))
	})
	t.Run("asks and announcement", func(t *testing.T) {
		ask, said := filled[flow.Ask](t, now), filled[flow.Announcement](t, now, "Announcement.Addresses")
		asks, announcements := make(chan flow.Ask, 1), make(chan flow.Announcement, 1)
		receiver, err := ListenPermits("b", "127.0.0.1:0")
		require.NoError(t, err)
		receiver.Start(recordingPermits{asks: asks, announcements: announcements}, nil)
		defer func() { require.NoError(t, receiver.Close()) }()
		sender, err := ListenPermits("a", "127.0.0.1:0")
		require.NoError(t, err)
		defer func() { require.NoError(t, sender.Close()) }()
		address := receiver.conn.LocalAddr().String()
		require.NoError(t, sender.Send(&flow.Batch{Address: address, Number: 1, Asks: []flow.Ask{ask}}, now))
		received := <-asks
		// Ages are on the clocks of the two hosts.
		ask.Limit.SaidAt, received.Limit.SaidAt = now, now
		require.Equal(t, ask, received)
		sent := said
		sent.Addresses = []string{address}
		require.NoError(t, sender.Announce(sent))
		heard := <-announcements
		require.Len(t, heard.Limited, len(said.Limited))
		for i := range heard.Limited {
			heard.Limited[i].Limit.SaidAt = said.Limited[i].Limit.SaidAt
		}
		require.Equal(t, said, heard)
	})
	t.Run("batch", func(t *testing.T) {
		sent := filled[shard.Batch](t, now, "SubRequest.Deadline", "SubRequest.Class", "Batch.Class")
		for i := range sent.Subs {
			sent.Subs[i].Class, sent.Subs[i].Deadline = shard.Urgent, now.Add(time.Second)
		}
		sent.Class = shard.Urgent
		require.Equal(t, sent, decodeBatch(transmit(t, encodeBatch(sent, now), &peerpb.Batch{}), now))
	})
	t.Run("heartbeat", func(t *testing.T) {
		sent := filled[gossip.Heartbeat](t, now)
		require.Equal(t, sent, decodeGossip(transmit(t, encodeGossip(sent, now), &peerpb.Pulse{}), now))
	})
}
