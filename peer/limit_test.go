package peer

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRequestWithoutLength guards against a message whose memory is not known before it is
// read. It is refused as not run, with its connection.
func TestRequestWithoutLength(t *testing.T) {
	request := httptest.NewRequest(http.MethodPost, "/", strings.NewReader("body"))
	request.ContentLength = -1
	answer := httptest.NewRecorder()
	limitRequests(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		t.Error("the message is handled")
	})).ServeHTTP(answer, request)
	require.Equal(t, http.StatusServiceUnavailable, answer.Code)
	require.Equal(t, "close", answer.Header().Get("Connection"))
	require.Contains(t, answer.Body.String(), "not_run")
}
