package share

import (
	"math"
	"time"
)

// Bucket is a token bucket: the account of the permits that a host granted.
type Bucket struct {
	// Level is the number of permits that may be granted at the time At.
	Level float64
	At    time.Time
}

// roundingSlack is the part of a permit that may be missing for it to be granted.
const roundingSlack = 1e-6

// Refill adds the permits of the time since the last call, at a rate in permits a second,
// up to limit. It returns the number of whole permits. A new bucket is empty.
func (b *Bucket) Refill(rate, limit float64, now time.Time) float64 {
	if !b.At.IsZero() && now.After(b.At) {
		b.Level += now.Sub(b.At).Seconds() * rate
	}
	if b.At.IsZero() || now.After(b.At) {
		b.At = now
	}
	b.Level = min(b.Level, limit)
	return max(0, math.Floor(b.Level+roundingSlack))
}
