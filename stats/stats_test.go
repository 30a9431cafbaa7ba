package stats

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

type fixedSources struct{}

func (fixedSources) StoreCalls() []StoreCalls {
	return []StoreCalls{{Kind: "watch", Total: 9, Pending: 1}}
}

func (fixedSources) Services() []Service {
	return []Service{{Tenant: "fees", Name: "invoicing", Servers: 2, Queued: 3, UsedSlots: 4, FreeSlots: 5}}
}

func (fixedSources) Host() Host {
	return Host{Revision: 8, ActiveRuns: 6, ZonesOut: map[string]bool{"a": true}}
}

// TestMetricsAreExposed guards against measurements that are missing from the
// exposed metrics, and against requests during a change of the zones in service
// that are missing from the metrics of zone changes.
func TestMetricsAreExposed(t *testing.T) {
	m, err := New()
	require.NoError(t, err)
	require.NoError(t, m.Observe(fixedSources{}))
	labels := Labels{Operation: OperationRun, Tenant: "fees", Class: "urgent"}
	now := time.Now()
	m.SetZonesOut(1, nil, now)
	m.RecordRefusal(labels, "not_run", "overload")
	m.SetZonesOut(2, []string{"a"}, now)
	m.RecordRefusal(labels, "not_run", "overload")
	m.RecordRun(labels, RunMeasurements{Duration: 30 * time.Millisecond, Calls: 2})
	m.RecordQuery(Labels{Operation: OperationQuery, Tenant: "fees", Class: "urgent"}, QueryMeasurements{Duration: time.Millisecond, Coverage: 1, Subrequests: 10, ExtraRequests: 1})
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, line := range []string{
		`hyssophub_query_duration_seconds_count{class="urgent",.*tenant="fees"} 1`,
		`hyssophub_query_coverage_count{.*} 1`,
		`hyssophub_subrequest_sent_total{.*} 10`,
		`hyssophub_subrequest_extra_total{.*} 1`,
		`hyssophub_run_duration_seconds_count{.*repeat="false",tenant="fees"} 1`,
		`hyssophub_run_store_calls_sum{.*} 2`,
		`hyssophub_request_verdicts_total{.*reason="overload",tenant="fees",verdict="not_run"} 2`,
		`hyssophub_zone_change_duration_seconds_count{.*} 2`,
		`hyssophub_zone_change_refused_total{.*} 1`,
		`hyssophub_store_calls_total{kind="watch".*} 9`,
		`hyssophub_store_active_calls{kind="watch".*} 1`,
		`hyssophub_owner_queue{.*service="invoicing".*} 3`,
		`hyssophub_owner_slots_used{.*} 4`,
		`hyssophub_zone_out{.*zone="a"} 1`,
		`hyssophub_config_revision{.*} 8`,
		`hyssophub_run_active_requests{.*} 6`,
	} {
		require.Regexp(t, line, w.Body.String())
	}
	require.NoError(t, m.Close())
}
