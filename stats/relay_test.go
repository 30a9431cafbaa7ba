package stats

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRelayMetrics guards against metric names that differ from those on the
// operators' page. Routes must not be among the labels, whose values are bounded.
func TestRelayMetrics(t *testing.T) {
	m, err := New()
	require.NoError(t, err)
	defer func() { require.NoError(t, m.Close()) }()
	metrics, err := m.NewRouteMetrics(func() TierState { return TierState{Version: 7, Watching: true, Hosts: 9, Dropped: 3} })
	require.NoError(t, err)
	metrics.Record(RouteMeasurements{Gathered: true, Priority: 1, Outcome: OutcomePartial, Duration: 100 * time.Millisecond, Sends: 22, Hedges: 2, Helpers: 1, MissingParts: 1})
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/", nil))
	for _, name := range []string{
		"hyssophub_route_duration_seconds_bucket", "hyssophub_route_requests_total", "hyssophub_route_sends_total",
		"hyssophub_route_hedges_total", "hyssophub_route_helpers_total", "hyssophub_route_missing_total",
		"hyssophub_rules_version", "hyssophub_feed_revision", "hyssophub_feed_watching", "hyssophub_host_ready",
		"hyssophub_feed_age", "hyssophub_feed_in_doubt", "hyssophub_feed_malformed",
		"hyssophub_feed_failing", "hyssophub_feed_outages", "hyssophub_tier_searching", "hyssophub_tier_hosts", "hyssophub_tier_servers", "hyssophub_tier_cut_zones", "hyssophub_logs_dropped",
		`outcome="partial"`,
	} {
		require.Contains(t, w.Body.String(), name)
	}
}
