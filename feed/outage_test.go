package feed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRemovalTimes guards against times that do not add up: a silent connection to the store
// must be replaced before its silence counts as an outage, and a removal must be in force in
// time on hosts that hear of it late because the watcher of their zone is lost.
func TestRemovalTimes(t *testing.T) {
	const (
		// lostWatcherTime is the time after which a host of a small zone no longer takes
		// the watcher of its zone for live.
		lostWatcherTime = 1300 * time.Millisecond
		// callTime is the time of a call on a fresh connection, and that of the news over
		// the hosts of a zone.
		callTime = 300 * time.Millisecond
	)
	require.LessOrEqual(t, noticeTime+callTime, minExpirySilence)
	require.LessOrEqual(t, noticeTime+callTime, drainTime-drainMargin)
	require.LessOrEqual(t, lostWatcherTime+notifyTimeout+callTime, drainTime-drainMargin)
	require.Less(t, renewalGrace, minExpirySilence)
}
