package stats

import (
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAccountMetrics guards against metric names that differ from those on the operators'
// page, and against a time series for each of thousands of accounts.
func TestAccountMetrics(t *testing.T) {
	m, err := New()
	require.NoError(t, err)
	defer func() { require.NoError(t, m.Close()) }()
	metrics, err := m.NewAccountMetrics()
	require.NoError(t, err)
	for i := range 3 * maxAccountLabels {
		metrics.Record("account-"+strconv.Itoa(i), CapOver, time.Millisecond)
	}
	metrics.Record("account-0", CapWithin, time.Millisecond)
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/", nil))
	body := w.Body.String()
	require.Equal(t, maxAccountLabels+2, strings.Count(body, "hyssophub_account_requests_total{"))
	for _, name := range []string{"hyssophub_account_wait_seconds_bucket", `account="other"`, `account="account-0"`, `outcome="within"`} {
		require.Contains(t, body, name)
	}
}
