package peer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssophub/canary"
)

// TestReportsCrossTheNetwork guards against fields of reports on roll-outs that are lost
// or changed between hosts: a verdict then rests on other counts than those of the hosts.
func TestReportsCrossTheNetwork(t *testing.T) {
	asking, askingHandler := listenPermits(t, "asking")
	owner, ownerHandler := listenPermits(t, "owner")
	for _, stage := range stages {
		report := canary.Report{
			Host: "asking", Incarnation: 7, Service: "s", Target: "v2", Revision: 11, Age: 2500 * time.Millisecond,
			Stage: stage, Reason: "failures", Open: 3, Senders: 4,
			Rows: []canary.Row{{
				Key:   canary.Key{Server: "i1", Zone: "a", IsTarget: true, Route: "r", IsNear: true, IsMove: true},
				Tally: canary.Tally{Sent: 9, Answers: 8, Failed: 3, Lost: 1, Times: canary.Histogram{0, 5, 1}, Waits: canary.Histogram{canary.Buckets - 1: 2}},
			}},
		}
		require.NoError(t, asking.TellRollout(canary.Tell{Addresses: []string{owner.conn.LocalAddr().String()}, Report: report}))
		require.Equal(t, []canary.Report{report}, <-ownerHandler.heard)
		reply := <-askingHandler.heard
		require.Equal(t, "owner", reply[0].Host)
		require.Equal(t, report.Rows, reply[0].Rows)
	}
}
