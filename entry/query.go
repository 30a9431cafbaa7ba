package entry

import (
	"net/http"
	"strconv"
	"time"

	"hyssophub/config"
	"hyssophub/fault"
	"hyssophub/query"
	"hyssophub/stats"
)

// Limits of a query.
const (
	maxServices  = 5000
	maxLimit     = 1000
	defaultLimit = 20
	// defaultTimeout applies to queries without a timeout.
	defaultTimeout = 200 * time.Millisecond
)

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

func (h *Handler) query(w http.ResponseWriter, r *http.Request) {
	request := query.Request{ID: requestID(r)}
	body, err := readBody(r)
	if err == nil {
		request, err = decodeQuery(body, request, h.config.View(), time.Now())
	}
	labels := h.requestLabels(stats.OperationQuery, request.Tenant, request.Class)
	if err != nil {
		h.writeError(w, request.ID, labels, err, nil)
		return
	}
	answer, err := h.queries.Run(r.Context(), request)
	if err != nil {
		h.writeError(w, request.ID, labels, err, &answer)
		return
	}
	h.stats.RecordQuery(labels, stats.QueryMeasurements{
		Duration:      answer.Took,
		Coverage:      answer.Coverage.Ratio(),
		Subrequests:   answer.Subs,
		ExtraRequests: answer.Extra,
	})
	h.log.Debug().Str("request", request.ID).Str("tenant", request.Tenant).Uint64("snapshot", uint64(answer.Snapshot)).
		Int("covered", answer.Coverage.Covered).Int("total", answer.Coverage.Total).Dur("took", answer.Took).Msg("query answered")
	writeJSON(w, http.StatusOK, encodeAnswer(answer))
}

// decodeQuery decodes a query and sets its deadline, counted from now. Its errors
// have the verdict NotRun.
func decodeQuery(body []byte, request query.Request, view *config.View, now time.Time) (query.Request, error) {
	var wire wireQuery
	if err := decodeStrict(body, &wire); err != nil {
		return request, err
	}
	request.Tenant, request.Services, request.Text = wire.Tenant, wire.Services, wire.Text
	request.MinCoverage = wire.Coverage
	request.Limit = wire.Limit
	if request.Limit == 0 {
		request.Limit = defaultLimit
	}
	var err error
	if request.Class, err = decodeClass(wire.Class, wire.Tenant, view); err != nil {
		return request, err
	}
	timeout, err := decodeTimeout(wire.Timeout, defaultTimeout)
	if err != nil {
		return request, err
	}
	request.Deadline = now.Add(timeout)
	switch {
	case request.Limit < 0 || request.Limit > maxLimit:
		return request, invalidField("limit", wire.Limit, "1 to "+strconv.Itoa(maxLimit))
	case len(wire.Services) > maxServices:
		return request, invalidField("services", len(wire.Services), "at most "+strconv.Itoa(maxServices)+" names")
	case wire.Coverage < 0 || wire.Coverage > 1:
		return request, invalidField("coverage", wire.Coverage, "0 to 1")
	}
	return request, nil
}

func encodeAnswer(a query.Answer) wireAnswer {
	w := wireAnswer{
		Request:  a.Request,
		Verdict:  fault.Ran{}.String(),
		Snapshot: uint64(a.Snapshot),
		Coverage: encodeCoverage(a.Coverage),
		Hits:     make([]wireHit, 0, len(a.Hits)),
		Took:     milliseconds(a.Took),
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

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
