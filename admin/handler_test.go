package admin

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"hyssophub/codec"
	"hyssophub/config"
	"hyssophub/store"
)

// fakeHost is an entry host with its store in memory and the handler under test.
type fakeHost struct {
	store.KV
	entry store.Entry
	swaps int
	// loseAnswers makes Swap return ErrUnknown, as if the store's answer were lost.
	loseAnswers bool
	table       *config.Table
	handler     http.Handler
}

// Get implements store.KV.
func (h *fakeHost) Get(context.Context, string) (store.Entry, error) { return h.entry, nil }

// Swap implements store.KV.
func (h *fakeHost) Swap(_ context.Context, key string, revision uint64, value []byte, _ store.LeaseID) (store.Entry, error) {
	h.swaps++
	if h.loseAnswers {
		return store.Entry{}, store.ErrUnknown
	}
	if h.entry.Revision != revision {
		return h.entry, store.ErrConflict
	}
	h.entry = store.Entry{Key: key, Revision: revision + 1, Value: value}
	decoded, err := codec.DecodeValue(value, h.entry.Revision)
	h.table.Accept(decoded)
	return h.entry, err
}

// View implements Host.
func (h *fakeHost) View() *config.View { return h.table.View() }

// Status implements Host.
func (h *fakeHost) Status(time.Time) Status {
	return Status{Host: "h1", Zone: "a", Revision: h.View().Value.Revision, Members: []string{"h1", "h2"}, Pending: []string{"x"}}
}

func newFakeHost(t *testing.T) *fakeHost {
	h := &fakeHost{table: config.NewTable()}
	tokens, err := ReadTokens("testdata/tokens.json")
	require.NoError(t, err)
	metrics := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprintln(w, "metrics") })
	changer := config.NewChanger(h, codec.Config{}, 50*time.Millisecond)
	h.handler = NewHandler(h, changer, tokens, metrics, zerolog.Nop())
	return h
}

// Guards against changes by requests without a valid token or with a malformed
// manifest, against wrong status codes, and against a change that is stored without
// the office that made it.
func TestRequests(t *testing.T) {
	h := newFakeHost(t)
	datadriven.RunTest(t, "testdata/requests", func(t *testing.T, d *datadriven.TestData) string {
		var token, path, lost string
		d.ScanArgs(t, "path", &path)
		d.MaybeScanArgs(t, "token", &token)
		d.MaybeScanArgs(t, "lost", &lost)
		h.loseAnswers = lost != ""
		body := d.Input
		if name, ok := strings.CutPrefix(body, "file "); ok {
			data, err := os.ReadFile(name)
			require.NoError(t, err)
			body = string(data)
		}
		if body == "oversized" {
			body = strings.Repeat(" ", maxBodyBytes+1)
		}
		request := httptest.NewRequest(strings.ToUpper(d.Cmd), path, strings.NewReader(body))
		if token != "" {
			request.Header.Set("Authorization", "Bearer "+token)
		}
		before := h.swaps
		recorder := httptest.NewRecorder()
		h.handler.ServeHTTP(recorder, request)
		answer := strings.TrimSpace(recorder.Body.String())
		if i := strings.Index(answer, `,"changes"`); i >= 0 {
			answer = answer[:i]
		}
		return fmt.Sprintf("%d, %t swap, revision %d\n%s\n", recorder.Code, h.swaps > before, h.entry.Revision, changeIDs.ReplaceAllString(answer, `"change":"ID"`))
	})
	changes := h.View().Value.Changes
	require.Equal(t, "north", changes[0].Author)
	require.Equal(t, "south", changes[1].Author)
}

// changeIDs matches the ids of changes, which are random.
var changeIDs = regexp.MustCompile(`"change":"[0-9a-f-]+"`)

// Guards against token files with empty names or with missing, short or shared
// tokens, which would let the wrong client in, and against tokens in error texts.
func TestDecodeTokens(t *testing.T) {
	for _, text := range []string{
		``, `[]`, `{"north":""}`, `{"north":"short"}`, `{"":"0123456789abcdef"}`,
		`{"north":"0123456789abcdef","south":"0123456789abcdef"}`,
	} {
		_, err := DecodeTokens([]byte(text))
		require.Error(t, err, text)
		require.NotContains(t, err.Error(), "0123456789abcdef")
	}
}
