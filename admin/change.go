package admin

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"hyssophub/codec"
	"hyssophub/config"
	"hyssophub/limits"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"
)

// maxBodyBytes is the largest size of a manifest in a request. The limit is higher
// than that of the value in the store, because indented text is larger than compact
// text.
const maxBodyBytes = 4 << 20

// Outcomes of a change as sent to clients of the API.
const (
	outcomeAccepted  = "accepted"
	outcomeRefused   = "refused"
	outcomeConflict  = "conflict"
	outcomePending   = "pending"
	outcomeUnreached = "unreached"
)

type wireOutcome struct {
	Outcome string `json:"outcome"`
	// Change is the id of the change. Sending a pending change again requires it.
	Change string `json:"change,omitempty"`
	// Revision is the new revision of an accepted change, the revision of the
	// other change after a conflict, or the base revision of a pending change.
	Revision uint64 `json:"revision,omitempty"`
	// Author is the office that made the other change after a conflict.
	Author string      `json:"author,omitempty"`
	Faults []wireFault `json:"faults,omitempty"`
	Error  string      `json:"error,omitempty"`
}

type wireFault struct {
	Place   string `json:"place"`
	Problem string `json:"problem"`
}

func (h *Handler) applyManifest(w http.ResponseWriter, r *http.Request) {
	manifest, ok := readManifest(w, r)
	if ok {
		h.handleChange(w, r, config.ReplaceManifest{Manifest: manifest})
	}
}

func (h *Handler) zoneOut(w http.ResponseWriter, r *http.Request) {
	h.handleChange(w, r, config.ZoneOut{Zone: chi.URLParam(r, "zone")})
}

func (h *Handler) zoneIn(w http.ResponseWriter, r *http.Request) {
	h.handleChange(w, r, config.ZoneIn{Zone: chi.URLParam(r, "zone")})
}

func (h *Handler) handleChange(w http.ResponseWriter, r *http.Request, edit config.Edit) {
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
		Str("outcome", outcome.Outcome).Uint64("revision", outcome.Revision).Msg("configuration change handled")
	writeJSON(w, status, outcome)
}

// decodeChange decodes the base revision and the id of a change from the query
// parameters. A change without an id gets a new one.
func decodeChange(r *http.Request) (config.ChangeRequest, error) {
	query := r.URL.Query()
	request := config.ChangeRequest{ID: query.Get("change"), Repeat: query.Has("change")}
	if query.Has("revision") {
		base, err := strconv.ParseUint(query.Get("revision"), 10, 64)
		if err != nil {
			return request, errors.New("revision is not an unsigned integer")
		}
		request.RequireBase, request.Base = true, base
	}
	if !request.Repeat {
		request.ID = uuid.NewString()
		return request, nil
	}
	if uuid.Validate(request.ID) != nil {
		return request, errors.New("change id is not a UUID")
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

// readManifest decodes the manifest in the body. If the body is malformed or too
// large, it answers the request with an error and returns false.
func readManifest(w http.ResponseWriter, r *http.Request) (config.Manifest, bool) {
	body, err := limits.ReadBody(w, r, maxBodyBytes)
	if err != nil {
		status := http.StatusBadRequest
		var (
			tooLarge *http.MaxBytesError
			refused  *limits.Refusal
		)
		switch {
		case errors.As(err, &refused):
			status = http.StatusServiceUnavailable
		case errors.Is(err, limits.ErrSlow):
			status = http.StatusRequestTimeout
		case errors.As(err, &tooLarge):
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
