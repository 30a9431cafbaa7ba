// Package entry is the HTTP API for callers. It owns the API's JSON formats, the
// limits and default values of their fields, and the mapping of verdicts to HTTP
// statuses. Running the requests is left to QueryRunner and OnceRunner.
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

// QueryRunner answers queries.
type QueryRunner interface {
	Run(ctx context.Context, request query.Request) (query.Answer, error)
}

// OnceRunner runs each non-idempotent request at most once.
type OnceRunner interface {
	RunOnce(ctx context.Context, request once.Request) (once.Result, error)
}

// Handler decodes the requests of callers and encodes the answers.
type Handler struct {
	queries QueryRunner
	runs    OnceRunner
	config  *config.Table
	stats   *stats.Metrics
	log     zerolog.Logger
	ready   func() bool
}

// NewHandler returns the HTTP handler for callers. ready reports whether the load
// balancer may send requests to this host.
func NewHandler(queries QueryRunner, runs OnceRunner, configs *config.Table, metrics *stats.Metrics, log zerolog.Logger, ready func() bool) http.Handler {
	h := &Handler{queries: queries, runs: runs, config: configs, stats: metrics, log: log, ready: ready}
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

// unknownTenant is the metric label for every tenant that is not configured, so
// that callers cannot add label values to the metrics.
const unknownTenant = "unknown"

// requestLabels returns the metric labels of a request. It also updates the
// metrics of the availability zones that are out of service.
func (h *Handler) requestLabels(operation stats.Operation, tenant string, class shard.Class) stats.Labels {
	view := h.config.View()
	h.stats.SetZonesOut(view.Value.Revision, view.Value.ZonesOut, time.Now())
	if _, ok := view.Tenant(tenant); !ok {
		tenant = unknownTenant
	}
	return stats.Labels{Operation: operation, Tenant: tenant, Class: class.String()}
}

// requestID returns the caller's id of a request, which is used for tracing, or a
// new id if the caller's is missing or longer than 64 bytes.
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
