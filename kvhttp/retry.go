package kvhttp

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"hyssophub/store"
)

// Bounds of the pause between two attempts of a read.
const (
	minPause = 20 * time.Millisecond
	maxPause = time.Second
)

// Retry repeats a read until it succeeds, or until attempts are used up or the
// context ends, and then returns the last error. The pause doubles and half of
// it is random, so that the hosts of a fleet do not return in step after an
// outage. Only for calls without effect; a write whose answer was lost needs
// a decision from its value.
func Retry[T any](ctx context.Context, attempts int, read func(ctx context.Context) (T, error)) (T, error) {
	pause := minPause
	for i := 1; ; i++ {
		value, err := read(ctx)
		if err == nil || i >= attempts || !retriable(err) {
			return value, err
		}
		timer := time.NewTimer(pause/2 + rand.N(pause))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return value, err
		}
		pause = min(2*pause, maxPause)
	}
}

func retriable(err error) bool {
	return errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrUnknown)
}
