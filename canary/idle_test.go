package canary

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssophub/fleet"
	"hyssophub/flow"
)

// TestIdleTableAllocatesNothing guards against a cost of each send in a deployment without
// roll-outs in progress, also one with verdicts of former ones.
func TestIdleTableAllocatesNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable("h", "z", 1, fleet.NewTable("z", flow.NewTable("h", now)))
	table.SetStatus(Status{Service: "other", Target: "v2", Stage: Complete{}, Revision: 3}, now)
	require.Zero(t, testing.AllocsPerRun(100, func() {
		_ = table.Versions()
		_ = table.Plan("s", now)
		table.End(table.Begin("s", "r", "i", "z", "v1", false, now), Served{})
	}))
}
