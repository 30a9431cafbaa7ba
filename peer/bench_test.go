package peer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"hyssophub/feed"
	"hyssophub/peer/peerpb"
	"hyssophub/shard"
	"hyssophub/store"
)

// BenchmarkCatalogs measures the response to one List call by the number of
// backend servers that the called host owns, which is 7 at the design size. The
// response covers all of these servers, however many of their catalogs are out of
// date at the caller.
func BenchmarkCatalogs(b *testing.B) {
	for _, servers := range []int{7, 14, 55, 110} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			var catalogs []shard.Catalog
			for i := range servers {
				service := fmt.Sprintf("tenant-service-%04d", i)
				shards := []string{service + ".0", service + ".1"}
				catalogs = append(catalogs, shard.Catalog{Server: service + "-0", Service: service, Revision: 1 << 20, Versions: []shard.VersionShards{
					{Version: 20261203, All: shards, Shards: shards}, {Version: 20261204, All: shards, Shards: shards},
				}})
			}
			var size int
			b.ReportAllocs()
			for b.Loop() {
				data, err := proto.Marshal(encodeCatalogs(catalogs))
				require.NoError(b, err)
				var msg peerpb.Catalogs
				require.NoError(b, proto.Unmarshal(data, &msg))
				decodeCatalogs(&msg)
				size = len(data)
			}
			b.ReportMetric(float64(size), "B/answer")
		})
	}
}

// BenchmarkFullState measures the answer with the full state, which a host fetches at its
// start and after a change of era, by the number of registered backend servers, which is
// 4,400 at the design size.
func BenchmarkFullState(b *testing.B) {
	for _, servers := range []int{440, 4400} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			update := feed.Update{Position: store.Position{Era: 1, Revision: 1 << 20}, Full: true}
			for i := range servers {
				update.Items = append(update.Items, feed.Item{
					Key:      fmt.Sprintf("servers/i-%010x", i),
					Value:    fmt.Appendf(nil, `{"Service":"service-%04d","Addr":"10.%d.%d.%d:8000","Zone":"zone-%d","Version":"v1","Slots":2,"State":"ready","ColdLeftMs":0,"Seq":%d,"born":1765057000000}`, i/3, i>>16, i>>8&255, i&255, i%9, i),
					Position: store.Position{Era: 1, Revision: uint64(i + 1)},
				})
			}
			var size int
			b.ReportAllocs()
			for b.Loop() {
				data, err := proto.Marshal(encodeUpdate(update))
				require.NoError(b, err)
				var msg peerpb.ChangesReply
				require.NoError(b, proto.Unmarshal(data, &msg))
				decodeUpdate(&msg, time.Now())
				size = len(data)
			}
			b.ReportMetric(float64(size), "B/answer")
		})
	}
}
