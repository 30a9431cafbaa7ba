// Package admin is the administration API for the operators' offices.
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
	// View returns the configuration in force on the host.
	View() *config.View
	// Status describes the host at a time.
	Status(now time.Time) Status
}

// Changer makes changes of the configuration.
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

// NewHandler returns the handler of the administration API. Only metrics can
// be read without a token.
func NewHandler(host Host, changer Changer, tokens Tokens, metrics http.Handler, log zerolog.Logger) http.Handler {
	h := &Handler{host: host, changer: changer, tokens: tokens, log: log}
	router := chi.NewRouter()
	router.Handle("/metrics", metrics)
	router.Route("/v1", func(r chi.Router) {
		r.Use(h.authorize)
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

type officeKey struct{}

// authorize refuses requests without an office's token and passes the office
// on in the context.
func (h *Handler) authorize(next http.Handler) http.Handler {
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
