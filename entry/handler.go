// Package entry is the callers' HTTP interface.
package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"hyssophub/config"
	"hyssophub/once"
	"hyssophub/query"
	"hyssophub/shard"
	"hyssophub/stats"
)

// Runner answers queries.
type Runner interface {
	Run(ctx context.Context, request query.Request) (query.Answer, error)
}

// Writer runs non-idempotent requests at most once.
type Writer interface {
	Once(ctx context.Context, request once.Request) (once.Result, error)
}

// Handler serves callers.
type Handler struct {
	runner Runner
	writer Writer
	config *config.Table
	stats  *stats.Metrics
	log    zerolog.Logger
	ready  func() bool
}

// NewHandler returns the callers' HTTP handler. ready tells the balancer
// whether to send callers here.
func NewHandler(runner Runner, writer Writer, configs *config.Table, instruments *stats.Metrics, log zerolog.Logger, ready func() bool) http.Handler {
	h := &Handler{runner: runner, writer: writer, config: configs, stats: instruments, log: log, ready: ready}
	router := chi.NewRouter()
	router.Post("/v1/query", h.query)
	router.Post("/v1/run", h.run)
	router.Get("/readyz", h.readyz)
	return router
}

func (h *Handler) readyz(w http.ResponseWriter, _ *http.Request) {
	if !h.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// unknownTenant stands for all names that the configuration does not know, so
// that callers cannot add label values to the metrics.
const unknownTenant = "unknown"

// labels returns the metric labels of a request and reports changes of zones
// to the metrics.
func (h *Handler) labels(operation stats.Operation, tenant string, class shard.Class) stats.Labels {
	view := h.config.View()
	h.stats.SetZonesOut(view.Value.Revision, view.Value.ZonesOut, time.Now())
	if _, ok := view.Tenant(tenant); !ok {
		tenant = unknownTenant
	}
	return stats.Labels{Operation: operation, Tenant: tenant, Class: class.String()}
}

// requestID takes over the caller's id for tracing or makes one.
func requestID(r *http.Request) string {
	if id := r.Header.Get("Request-Id"); id != "" && len(id) <= 64 {
		return id
	}
	return uuid.NewString()
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
