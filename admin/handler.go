// Package admin is the HTTP API for administration, which is used by the offices
// of the operators. It owns the API's JSON formats and the tokens that identify
// the offices. The rules for changes and their storage are left to package config.
package admin

import (
	"context"
	"net/http"
	"time"

	"hyssophub/config"

	"github.com/go-chi/chi/v5"
	"github.com/rs/zerolog"
)

// Host is the entry host that the API describes.
type Host interface {
	// View returns the configuration that is in force on the host.
	View() *config.View
	// Status returns the state of the host at the time now.
	Status(now time.Time) Status
}

// Changer applies changes to the configuration.
type Changer interface {
	Change(ctx context.Context, request config.ChangeRequest) config.ChangeResult
}

// Handler serves the administration API.
type Handler struct {
	host    Host
	changer Changer
	tokens  Tokens
	log     zerolog.Logger
}

// NewHandler returns the handler of the administration API. Every path except
// /metrics requires a token.
func NewHandler(host Host, changer Changer, tokens Tokens, metrics http.Handler, log zerolog.Logger) http.Handler {
	h := &Handler{host: host, changer: changer, tokens: tokens, log: log}
	router := chi.NewRouter()
	router.Handle("/metrics", metrics)
	router.Route("/v1", func(r chi.Router) {
		r.Use(h.authenticate)
		r.Get("/manifest", h.showManifest)
		r.Put("/manifest", h.applyManifest)
		r.Post("/manifest/check", h.checkManifest)
		r.Get("/zones", h.listZones)
		r.Post("/zones/{zone}/out", h.zoneOut)
		r.Post("/zones/{zone}/in", h.zoneIn)
		r.Get("/status", h.status)
	})
	return router
}

// officeKey is the context key of the name of the office that sent a request.
type officeKey struct{}

// authenticate refuses requests without the token of an office. For all others it
// stores the name of the office in the request's context.
func (h *Handler) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		office, ok := h.tokens.Office(r)
		if !ok {
			h.log.Warn().Str("remote", r.RemoteAddr).Str("path", r.URL.Path).Msg("request without a valid token")
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeJSON(w, http.StatusUnauthorized, wireOutcome{Outcome: outcomeRefused, Error: "no valid token"})
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), officeKey{}, office)))
	})
}

func officeOf(r *http.Request) string {
	office, _ := r.Context().Value(officeKey{}).(string)
	return office
}
