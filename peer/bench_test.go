package peer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"hyssophub/peer/peerpb"
	"hyssophub/shard"
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
