package peer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssophub/member"
)

// zoneHosts returns the hosts of an availability zone.
func zoneHosts(size int) []member.Host {
	hosts := make([]member.Host, size)
	for i := range hosts {
		address := fmt.Sprintf("10.4.%d.%d:7003", i/200, i%200)
		hosts[i] = member.Host{Name: fmt.Sprintf("entry-a-%03d", i), Zone: "zone-a", PeerAddr: address, HeartbeatAddr: address, Incarnation: 1772345678901 + uint64(i)}
	}
	return hosts
}

// Guards against fields that are lost in the encoding of a heartbeat, and against
// heartbeats that do not arrive over a real socket.
func TestHeartbeatsCarryAllFields(t *testing.T) {
	hosts := zoneHosts(3)
	a, err := ListenHeartbeats("127.0.0.1:0", "zone-a")
	require.NoError(t, err)
	b, err := ListenHeartbeats("127.0.0.1:0", "zone-a")
	require.NoError(t, err)
	got := make(chan member.Heartbeat, 1)
	b.Start(func(heartbeat member.Heartbeat) { got <- heartbeat }, nil)
	want := member.Heartbeat{
		From: hosts[0], Seq: 7, EchoIncarnation: 8, EchoSeq: 9, RecipientAlive: true, Epoch: 3, Revision: 4,
		ConfirmationAge: 20 * time.Millisecond, Leaving: true,
		Roster:      &member.Roster{Revision: 5, Epoch: 6, Members: []member.Member{{Host: hosts[1], Role: member.Standby}}},
		ZoneReports: []member.ZoneReport{{Zone: "zone-b", Age: time.Second, StoreReachable: true, NonOwners: []string{"x"}}},
	}
	require.NoError(t, a.Send(member.Host{Name: "b", Zone: "zone-a", HeartbeatAddr: b.Address()}, want))
	require.Equal(t, want, <-got)
	require.NoError(t, a.Close())
	require.NoError(t, b.Close())
}

// headerSize is the size of the IPv4 and UDP headers of a datagram, in bytes.
const headerSize = 28

// otherZones is the number of other availability zones at the design size.
const otherZones = 8

// benchTable returns the member table of a host in an availability zone whose
// hosts all own backend servers, with two hosts in each of the other zones.
func benchTable(hosts []member.Host, self int) (*member.Table, time.Time) {
	now := time.Now()
	t := member.NewTable(hosts[self], member.DefaultTiming())
	discovered := slices.Clone(hosts)
	for i := range 2 * otherZones {
		zone := fmt.Sprintf("zone-%d", i/2)
		discovered = append(discovered, member.Host{Name: fmt.Sprint(zone, "-", i), Zone: zone, PeerAddr: "10.9.0.1:7003", HeartbeatAddr: "10.9.0.1:7003"})
	}
	t.SetDiscoveredHosts(discovered)
	t.Tick(now)
	roster := member.Roster{Epoch: 4000, Revision: 1}
	for _, h := range hosts {
		roster.Members = append(roster.Members, member.Member{Host: h, Role: member.Active})
	}
	t.HandleRoster(1, roster, now)
	return t, now
}

// BenchmarkBeats measures one second of a host's heartbeats: the decisions and
// the encoding for sending and receiving, and the socket for sending.
func BenchmarkBeats(b *testing.B) {
	for _, size := range []int{3, 9, 27, 73} {
		// The first host is a watcher, the last one is not.
		for role, self := range map[string]int{"watcher": 0, "member": size - 1} {
			b.Run(fmt.Sprintf("hosts=%d/role=%s", size, role), func(b *testing.B) { benchHeartbeats(b, zoneHosts(size), self) })
		}
	}
}

func benchHeartbeats(b *testing.B, hosts []member.Host, self int) {
	sink, err := ListenHeartbeats("127.0.0.1:0", "zone-a")
	require.NoError(b, err)
	defer func() { require.NoError(b, sink.Close()) }()
	table, now := benchTable(hosts, self)
	var sent, received, bytes uint64
	seq := uint64(1 << 20)
	for b.Loop() {
		for range time.Second / member.TickInterval {
			now = now.Add(member.TickInterval)
			table.SetConfigStatus(member.ConfigStatus{Revision: 30000, ConfirmedAt: now.Add(-200 * time.Millisecond)})
			for _, action := range table.Tick(now) {
				send, ok := action.(member.SendHeartbeat)
				if !ok {
					continue
				}
				require.NoError(b, sink.Send(member.Host{Zone: send.To.Zone, HeartbeatAddr: sink.Address()}, send.Heartbeat))
				sent++
				// The heartbeat that the recipient sends in return has the same fields.
				seq++
				answer := send.Heartbeat
				answer.From = member.Host{Name: send.To.Name, Zone: send.To.Zone, Incarnation: send.To.Incarnation}
				answer.Seq, answer.EchoIncarnation, answer.EchoSeq = seq, hosts[self].Incarnation, send.Heartbeat.Seq
				answer.Roster, answer.ZoneReports = nil, nil
				if send.To.Zone != hosts[self].Zone {
					answer.ZoneReports = []member.ZoneReport{{Zone: send.To.Zone, StoreReachable: true}}
				}
				data, err := EncodeHeartbeat(answer)
				require.NoError(b, err)
				got, err := DecodeHeartbeat(data, "zone-a")
				require.NoError(b, err)
				table.HandleHeartbeat(got, now)
				received += uint64(len(data) + headerSize)
			}
		}
	}
	_, bytes = sink.Traffic()
	bytes += sent * headerSize
	b.ReportMetric(float64(bytes)/float64(sent), "B/beat")
	b.ReportMetric(float64(bytes+received)/float64(b.N), "B/s-both-ways")
}
