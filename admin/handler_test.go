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

// bench is a handler over a store in memory.
type bench struct {
	store.KV
	entry   store.Entry
	swaps   int
	lost    bool
	table   *config.Table
	handler http.Handler
}

// Get implements store.KV.
func (b *bench) Get(context.Context, string) (store.Entry, error) { return b.entry, nil }

// Swap implements store.KV.
func (b *bench) Swap(_ context.Context, key string, revision uint64, value []byte, _ store.LeaseID) (store.Entry, error) {
	b.swaps++
	if b.lost {
		return store.Entry{}, store.ErrUnknown
	}
	if b.entry.Revision != revision {
		return b.entry, store.ErrConflict
	}
	b.entry = store.Entry{Key: key, Revision: revision + 1, Value: value}
	decoded, err := codec.DecodeValue(value, b.entry.Revision)
	b.table.Accept(decoded)
	return b.entry, err
}

// View implements Host.
func (b *bench) View() *config.View { return b.table.View() }

// Status implements Host.
func (b *bench) Status(time.Time) Status {
	return Status{Host: "h1", Zone: "a", Revision: b.View().Value.Revision, Members: []string{"h1", "h2"}, Pending: []string{"x"}}
}

func newBench(t *testing.T) *bench {
	b := &bench{table: config.NewTable()}
	tokens, err := ReadTokens("testdata/tokens.json")
	require.NoError(t, err)
	metrics := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprintln(w, "metrics") })
	changer := config.NewChanger(b, codec.JSON{}, 50*time.Millisecond)
	b.handler = NewHandler(b, changer, tokens, metrics, zerolog.Nop())
	return b
}

// Guards against requests without a valid token or with a malformed manifest
// that change something, wrong status codes, and a lost audit author.
func TestRequests(t *testing.T) {
	b := newBench(t)
	datadriven.RunTest(t, "testdata/requests", func(t *testing.T, d *datadriven.TestData) string {
		var token, path, lost string
		d.ScanArgs(t, "path", &path)
		d.MaybeScanArgs(t, "token", &token)
		d.MaybeScanArgs(t, "lost", &lost)
		b.lost = lost != ""
		body := d.Input
		if name, ok := strings.CutPrefix(body, "file "); ok {
			data, err := os.ReadFile(name)
			require.NoError(t, err)
			body = string(data)
		}
		if body == "oversized" {
			body = strings.Repeat(" ", maxBody+1)
		}
		request := httptest.NewRequest(strings.ToUpper(d.Cmd), path, strings.NewReader(body))
		if token != "" {
			request.Header.Set("Authorization", "Bearer "+token)
		}
		before := b.swaps
		recorder := httptest.NewRecorder()
		b.handler.ServeHTTP(recorder, request)
		answer := strings.TrimSpace(recorder.Body.String())
		if i := strings.Index(answer, `,"changes"`); i >= 0 {
			answer = answer[:i]
		}
		return fmt.Sprintf("%d, %t swap, revision %d\n%s\n", recorder.Code, b.swaps > before, b.entry.Revision, ids.ReplaceAllString(answer, `"change":"ID"`))
	})
	changes := b.View().Value.Changes
	require.Equal(t, "north", changes[0].Author)
	require.Equal(t, "south", changes[1].Author)
}

// ids are the random ids of changes.
var ids = regexp.MustCompile(`"change":"[0-9a-f-]+"`)

// Guards against token files that let an office in by accident.
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
