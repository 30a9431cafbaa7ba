package limits

import (
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssophub/intake"
)

// measuredBody is a body without a length. It measures what was allocated until its end.
type measuredBody struct {
	left      int
	table     *intake.Table
	before    runtime.MemStats
	allocated uint64
	reserved  int64
}

func (m *measuredBody) Read(p []byte) (int, error) {
	n := min(m.left, len(p))
	if m.left -= n; m.left > 0 || n > 0 {
		return n, nil
	}
	var now runtime.MemStats
	runtime.ReadMemStats(&now)
	m.allocated, m.reserved = now.TotalAlloc-m.before.TotalAlloc, m.table.Counts().Memory
	return 0, io.EOF
}

func (m *measuredBody) Close() error { return nil }

// TestBodyTakesWhatItReserves guards against a body without a length that takes more memory
// than the account knows of, while it is read and once it is whole.
func TestBodyTakesWhatItReserves(t *testing.T) {
	const slack = 64 << 10
	for _, size := range []int{1, step - 1, step, 100_000, 1_000_000, 3_000_000, 1 << 22} {
		table := intake.NewTable(intake.Limits{Memory: 1 << 24, Stall: time.Second, Window: time.Minute, Least: 1})
		m := &measuredBody{left: size, table: table}
		handler := (&Limiter{Table: table, Weight: 1}).Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := ReadBody(w, r, 1<<22)
			require.NoError(t, err)
			require.Len(t, body, size)
			require.EqualValues(t, size, table.Counts().Memory, "bytes reserved for a whole body of %d bytes", size)
		}))
		request := httptest.NewRequest(http.MethodPost, "/", m)
		request.ContentLength = -1
		runtime.ReadMemStats(&m.before)
		handler.ServeHTTP(httptest.NewRecorder(), request)
		require.LessOrEqual(t, m.allocated, uint64(m.reserved+slack), "bytes allocated for a body of %d bytes", size)
		require.Zero(t, table.Counts().Memory, "memory is given back")
	}
}
