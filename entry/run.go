package entry

import (
	"net/http"
	"strconv"
	"time"

	"hyssophub/config"
	"hyssophub/fault"
	"hyssophub/once"
	"hyssophub/stats"
)

// defaultRunTimeout applies to non-idempotent requests without a timeout. It
// leaves time for the store calls and a retry on another replica.
const defaultRunTimeout = 2 * time.Second

type wireRun struct {
	Tenant  string `json:"tenant"`
	Service string `json:"service"`
	Key     string `json:"key"`
	Text    string `json:"text"`
	Class   string `json:"class"`
	// Timeout is in milliseconds.
	Timeout *int64 `json:"timeout"`
}

type wireReceipt struct {
	Request string `json:"request"`
	Verdict string `json:"verdict"`
	Receipt string `json:"receipt"`
	// Repeat is true if the receipt is that of an earlier request with the same key.
	Repeat bool `json:"repeat"`
	// Took is in milliseconds.
	Took float64 `json:"took"`
}

func (h *Handler) run(w http.ResponseWriter, r *http.Request) {
	request := once.Request{ID: requestID(r)}
	body, err := readBody(r)
	if err == nil {
		request, err = decodeRun(body, request, h.config.View(), time.Now())
	}
	labels := h.requestLabels(stats.OperationRun, request.Tenant, request.Class)
	if err != nil {
		h.writeError(w, request.ID, labels, err, nil)
		return
	}
	result, err := h.runs.RunOnce(r.Context(), request)
	if err != nil {
		h.writeError(w, request.ID, labels, err, nil)
		return
	}
	h.stats.RecordRun(labels, stats.RunMeasurements{Duration: result.Took, Calls: result.StoreCalls, Repeat: result.Repeat})
	h.log.Debug().Str("request", request.ID).Str("tenant", request.Tenant).Str("key", request.Key).
		Bool("repeat", result.Repeat).Int("calls", result.StoreCalls).Dur("took", result.Took).Msg("request ran")
	writeJSON(w, http.StatusOK, wireReceipt{
		Request: result.Request,
		Verdict: fault.Ran{}.String(),
		Receipt: result.Receipt,
		Repeat:  result.Repeat,
		Took:    milliseconds(result.Took),
	})
}

// decodeRun decodes a non-idempotent request and sets its deadline, counted from
// now. Its errors have the verdict NotRun.
func decodeRun(body []byte, request once.Request, view *config.View, now time.Time) (once.Request, error) {
	var wire wireRun
	if err := decodeStrict(body, &wire); err != nil {
		return request, err
	}
	request.Tenant, request.Service, request.Key, request.Text = wire.Tenant, wire.Service, wire.Key, wire.Text
	var err error
	if request.Class, err = decodeClass(wire.Class, wire.Tenant, view); err != nil {
		return request, err
	}
	if !once.ValidKey(wire.Key) {
		return request, invalidField("key", strconv.Quote(wire.Key), "1 to "+strconv.Itoa(once.MaxKeyBytes)+" letters, digits or characters of ._:-")
	}
	timeout, err := decodeTimeout(wire.Timeout, defaultRunTimeout)
	if err != nil {
		return request, err
	}
	request.Deadline = now.Add(timeout)
	return request, nil
}
