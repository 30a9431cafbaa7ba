// Package entry is the callers' HTTP interface.
package entry

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"hyssophub/config"
	"hyssophub/fault"
	"hyssophub/query"
	"hyssophub/shard"
	"hyssophub/stats"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"
	"github.com/rs/zerolog"
)

// Limits of a caller's request.
const (
	// maxBody is in bytes.
	maxBody      = 64 << 10
	maxServices  = 5000
	maxLimit     = 1000
	defaultLimit = 20
	// defaultTimeout applies to requests that name no deadline.
	defaultTimeout = 200 * time.Millisecond
	maxTimeout     = time.Minute
)

// Runner answers queries.
type Runner interface {
	Run(ctx context.Context, request query.Request) (query.Answer, error)
}

// Handler serves callers.
type Handler struct {
	runner Runner
	config *config.Table
	stats  *stats.Stats
	log    zerolog.Logger
	ready  func() bool
}

// NewHandler returns the callers' HTTP handler. ready tells the balancer
// whether to send callers here.
func NewHandler(runner Runner, configs *config.Table, instruments *stats.Stats, log zerolog.Logger, ready func() bool) http.Handler {
	h := &Handler{runner: runner, config: configs, stats: instruments, log: log, ready: ready}
	router := chi.NewRouter()
	router.Post("/v1/query", h.query)
	router.Get("/readyz", h.readyz)
	return router
}

type wireQuery struct {
	Tenant   string   `json:"tenant"`
	Services []string `json:"services"`
	Text     string   `json:"text"`
	Limit    int      `json:"limit"`
	Class    string   `json:"class"`
	// Timeout is in milliseconds.
	Timeout  *int64  `json:"timeout"`
	Coverage float64 `json:"coverage"`
}

type wireAnswer struct {
	Request  string       `json:"request"`
	Verdict  string       `json:"verdict"`
	Snapshot uint64       `json:"snapshot"`
	Coverage wireCoverage `json:"coverage"`
	Hits     []wireHit    `json:"hits"`
	// Took is in milliseconds.
	Took  float64 `json:"took"`
	Subs  int     `json:"subs"`
	Extra int     `json:"extra"`
}

type wireCoverage struct {
	Covered int           `json:"covered"`
	Total   int           `json:"total"`
	Missing []wireMissing `json:"missing"`
}

type wireMissing struct {
	Service string `json:"service"`
	Shard   string `json:"shard"`
	Reason  string `json:"reason"`
}

type wireHit struct {
	Key   string  `json:"key"`
	Score float64 `json:"score"`
	Text  string  `json:"text"`
}

type wireError struct {
	Request string `json:"request"`
	Verdict string `json:"verdict"`
	Reason  string `json:"reason"`
	Error   string `json:"error"`
	// Coverage is set where an answer's coverage was too low.
	Coverage *wireCoverage `json:"coverage,omitempty"`
}

func (h *Handler) query(w http.ResponseWriter, r *http.Request) {
	id := requestID(r)
	request, err := h.decode(r, id)
	if err != nil {
		h.refuse(w, request, err, nil)
		return
	}
	answer, err := h.runner.Run(r.Context(), request)
	if err != nil {
		h.refuse(w, request, err, &answer)
		return
	}
	h.stats.Query(request.Tenant, request.Class.String(), answer.Took, answer.Coverage.Ratio(), answer.Subs, answer.Extra)
	h.log.Debug().Str("request", id).Str("tenant", request.Tenant).Uint64("snapshot", uint64(answer.Snapshot)).
		Int("covered", answer.Coverage.Covered).Int("total", answer.Coverage.Total).Dur("took", answer.Took).Msg("query answered")
	writeJSON(w, http.StatusOK, encodeAnswer(answer))
}

// decode reads a query. All its errors mean that nothing ran.
func (h *Handler) decode(r *http.Request, id string) (query.Request, error) {
	request := query.Request{ID: id}
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, maxBody))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return request, fault.New(fault.NotRun{}, fault.ReasonTooLarge, "body exceeds %d bytes", maxBody)
		}
		return request, fault.New(fault.NotRun{}, fault.ReasonBadRequest, "body: %w", err)
	}
	return decodeQuery(body, request, h.config.View(), time.Now())
}

func decodeQuery(body []byte, request query.Request, view *config.View, now time.Time) (query.Request, error) {
	var wire wireQuery
	if err := decodeStrict(body, &wire); err != nil {
		return request, fault.New(fault.NotRun{}, fault.ReasonBadRequest, "body: %w", err)
	}
	request.Tenant, request.Services, request.Text = wire.Tenant, wire.Services, wire.Text
	class, ok := shard.ParseClass(wire.Class)
	if tenant, known := view.Tenant(wire.Tenant); known && wire.Class == "" {
		class = tenant.Class
	}
	request.Class = class
	request.Limit = wire.Limit
	if request.Limit == 0 {
		request.Limit = defaultLimit
	}
	request.MinCoverage = wire.Coverage
	timeout := defaultTimeout
	if wire.Timeout != nil {
		timeout = time.Duration(*wire.Timeout) * time.Millisecond
	}
	request.Deadline = now.Add(timeout)
	switch {
	case !ok:
		return request, badField("class", wire.Class, "urgent or routine")
	case request.Limit < 0 || request.Limit > maxLimit:
		return request, badField("limit", wire.Limit, "1 to "+strconv.Itoa(maxLimit))
	case len(wire.Services) > maxServices:
		return request, badField("services", len(wire.Services), "at most "+strconv.Itoa(maxServices)+" names")
	case wire.Coverage < 0 || wire.Coverage > 1:
		return request, badField("coverage", wire.Coverage, "0 to 1")
	case timeout > maxTimeout:
		return request, badField("timeout", *wire.Timeout, "at most "+strconv.FormatInt(maxTimeout.Milliseconds(), 10)+" ms")
	}
	return request, nil
}

func badField(field string, value any, allowed string) error {
	return fault.New(fault.NotRun{}, fault.ReasonBadRequest, "field %q is %v, allowed is %s", field, value, allowed)
}

func (h *Handler) refuse(w http.ResponseWriter, request query.Request, err error, answer *query.Answer) {
	tenant := request.Tenant
	if _, ok := h.config.View().Tenant(tenant); !ok {
		tenant = "unknown"
	}
	reason := fault.ReasonOf(err)
	h.stats.Refused(tenant, request.Class.String(), string(reason))
	h.log.Debug().Str("request", request.ID).Str("reason", string(reason)).Err(err).Msg("query refused")
	writeError(w, request.ID, err, answer)
}

func writeError(w http.ResponseWriter, id string, err error, answer *query.Answer) {
	body := wireError{
		Request: id,
		Verdict: fault.VerdictOf(err).String(),
		Reason:  string(fault.ReasonOf(err)),
		Error:   err.Error(),
	}
	var typed *fault.Error
	if errors.As(err, &typed) && typed.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt(int64((typed.RetryAfter+time.Second-1)/time.Second), 10))
	}
	if body.Reason == string(fault.ReasonCoverage) && answer != nil {
		coverage := encodeCoverage(answer.Coverage)
		body.Coverage = &coverage
	}
	writeJSON(w, statusOf(fault.ReasonOf(err)), body)
}

// statusOf maps a reason to an HTTP status.
func statusOf(reason fault.Reason) int {
	switch reason {
	case fault.ReasonBadRequest:
		return http.StatusBadRequest
	case fault.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case fault.ReasonUnknown:
		return http.StatusNotFound
	case fault.ReasonDeadline:
		return http.StatusRequestTimeout
	case fault.ReasonOverload:
		return http.StatusTooManyRequests
	case fault.ReasonDuplicate:
		return http.StatusConflict
	case fault.ReasonInternal:
		return http.StatusInternalServerError
	default:
		return http.StatusServiceUnavailable
	}
}

func (h *Handler) readyz(w http.ResponseWriter, _ *http.Request) {
	if !h.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func encodeAnswer(a query.Answer) wireAnswer {
	w := wireAnswer{
		Request:  a.Request,
		Verdict:  fault.Ran{}.String(),
		Snapshot: uint64(a.Snapshot),
		Coverage: encodeCoverage(a.Coverage),
		Hits:     make([]wireHit, 0, len(a.Hits)),
		Took:     float64(a.Took.Microseconds()) / 1000,
		Subs:     a.Subs,
		Extra:    a.Extra,
	}
	for _, hit := range a.Hits {
		w.Hits = append(w.Hits, wireHit(hit))
	}
	return w
}

func encodeCoverage(c query.Coverage) wireCoverage {
	w := wireCoverage{Covered: c.Covered, Total: c.Total, Missing: make([]wireMissing, 0, len(c.Missing))}
	for _, m := range c.Missing {
		w.Missing = append(w.Missing, wireMissing{Service: m.Service, Shard: m.Shard, Reason: string(m.Reason)})
	}
	return w
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
