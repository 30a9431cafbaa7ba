package admin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"hyssophub/codec"
	"hyssophub/config"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"
)

// maxBody is the largest manifest as text in bytes. Indented text is larger
// than the compact value that the store must hold.
const maxBody = 4 << 20

// Outcomes of a change in answers.
const (
	outcomeAccepted  = "accepted"
	outcomeRefused   = "refused"
	outcomeConflict  = "conflict"
	outcomePending   = "pending"
	outcomeUnreached = "unreached"
)

type wireOutcome struct {
	Outcome string `json:"outcome"`
	// Change is the id of the change, to repeat a pending one with.
	Change string `json:"change,omitempty"`
	// Revision is the accepted revision, the winner's, or for a pending change
	// the one that it was made from.
	Revision uint64      `json:"revision,omitempty"`
	Author   string      `json:"author,omitempty"`
	Faults   []wireFault `json:"faults,omitempty"`
	Error    string      `json:"error,omitempty"`
}

type wireFault struct {
	Place   string `json:"place"`
	Problem string `json:"problem"`
}

func (h *Handler) applyManifest(w http.ResponseWriter, r *http.Request) {
	manifest, ok := readManifest(w, r)
	if ok {
		h.change(w, r, config.ReplaceManifest{Manifest: manifest})
	}
}

func (h *Handler) zoneOut(w http.ResponseWriter, r *http.Request) {
	h.change(w, r, config.ZoneOut{Zone: chi.URLParam(r, "zone")})
}

func (h *Handler) zoneIn(w http.ResponseWriter, r *http.Request) {
	h.change(w, r, config.ZoneIn{Zone: chi.URLParam(r, "zone")})
}

func (h *Handler) change(w http.ResponseWriter, r *http.Request, edit config.Edit) {
	request, err := decodeChange(r)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, wireOutcome{Outcome: outcomeRefused, Error: err.Error()})
		return
	}
	request.Author = officeOf(r)
	request.Edit = edit
	result := h.changer.Change(r.Context(), request)
	status, outcome := encodeResult(result)
	outcome.Change = request.ID
	h.log.Info().Str("office", request.Author).Str("change", request.ID).Str("edit", config.DescribeEdit(edit)).
		Str("outcome", outcome.Outcome).Uint64("revision", outcome.Revision).Msg("change decided")
	writeJSON(w, status, outcome)
}

// decodeChange reads the guard and the id of a change from the query.
func decodeChange(r *http.Request) (config.ChangeRequest, error) {
	query := r.URL.Query()
	request := config.ChangeRequest{ID: query.Get("change"), Repeat: query.Has("change")}
	if query.Has("revision") {
		base, err := strconv.ParseUint(query.Get("revision"), 10, 64)
		if err != nil {
			return request, errors.New("revision is no whole number")
		}
		request.RequireBase, request.Base = true, base
	}
	if !request.Repeat {
		request.ID = uuid.NewString()
		return request, nil
	}
	if uuid.Validate(request.ID) != nil {
		return request, errors.New("change is no id of an earlier change")
	}
	return request, nil
}

func encodeResult(result config.ChangeResult) (int, wireOutcome) {
	switch r := result.(type) {
	case config.Accepted:
		return http.StatusOK, wireOutcome{Outcome: outcomeAccepted, Revision: r.Revision}
	case config.Refused:
		return http.StatusUnprocessableEntity, wireOutcome{Outcome: outcomeRefused, Faults: encodeFaults(r.Faults)}
	case config.Conflicted:
		return http.StatusConflict, wireOutcome{Outcome: outcomeConflict, Revision: r.Winner.Revision, Author: r.Winner.Author}
	case config.StoreUnavailable:
		return http.StatusServiceUnavailable, wireOutcome{Outcome: outcomeUnreached, Error: errorText(r.Err)}
	case config.Pending:
		return http.StatusAccepted, wireOutcome{Outcome: outcomePending, Revision: r.Base, Error: errorText(r.Err)}
	default:
		return http.StatusInternalServerError, wireOutcome{Outcome: outcomePending, Error: "unknown result"}
	}
}

func encodeFaults(faults []config.Fault) []wireFault {
	list := make([]wireFault, len(faults))
	for i, f := range faults {
		list[i] = wireFault(f)
	}
	return list
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// readManifest reads the body as a manifest, or answers that it is malformed
// or too large.
func readManifest(w http.ResponseWriter, r *http.Request) (config.Manifest, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		status := http.StatusBadRequest
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			status = http.StatusRequestEntityTooLarge
		}
		writeJSON(w, status, wireOutcome{Outcome: outcomeRefused, Error: err.Error()})
		return config.Manifest{}, false
	}
	manifest, err := codec.DecodeManifest(body)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, wireOutcome{Outcome: outcomeRefused, Error: err.Error()})
		return config.Manifest{}, false
	}
	return manifest, true
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
