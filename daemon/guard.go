package daemon

import (
	"errors"
	"net/http"
	"runtime/debug"

	"hyssophub/work"
)

// reportPanic logs and counts a panic, which ended only the request or the job in
// which it occurred.
func (r *Relay) reportPanic(p work.Panic) {
	r.panics.Add(1)
	r.log.Error().Interface("panic", p.Value).Bytes("stack", p.Stack).Msg("request or job ended by a panic")
}

// recoverPanics returns a handler whose panics are reported. The client gets no
// answer, because part of one may be written already: its connection is closed.
func recoverPanics(report func(work.Panic), handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			value := recover()
			if value == nil {
				return
			}
			if err, ok := value.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				report(work.Panic{Value: value, Stack: debug.Stack()})
			}
			panic(http.ErrAbortHandler)
		}()
		handler.ServeHTTP(w, r)
	})
}
