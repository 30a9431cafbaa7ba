package owner

import (
	"math"
	"time"

	"hyssophub/config"
)

// Health is the owner's assessment of a backend server. The interface is
// sealed.
type Health interface{ health() }

type (
	// Cold means that the server can take only one request at a time, at the
	// rate of the manifest's floor. A server without known state is cold.
	Cold struct{}
	// Warming means that the rate of the server is being ramped up. Progress is
	// between 0 and 1.
	Warming struct{ Progress float64 }
	// Warm means that only the number of slots limits the server's load.
	Warm struct{}
	// Draining means that the server is shutting down and accepts no new work.
	// LastSignal is the time of the latest draining signal.
	Draining struct{ LastSignal time.Time }
	// Unreachable means that the server refused a connection.
	Unreachable struct{}
)

func (Cold) health()        {}
func (Warming) health()     {}
func (Warm) health()        {}
func (Draining) health()    {}
func (Unreachable) health() {}

const (
	// rampMargin lengthens the interval between dispatches on the ramp, so that
	// network jitter cannot bring requests closer together than the server can
	// handle.
	rampMargin = 1.05
	// rampTopShare is the fraction of the full rate at which the ramp ends.
	// Near the end the intervals are short compared with network jitter, which
	// would bring more requests than a nearly warm server can handle.
	rampTopShare = 0.7
	// rampMaxStep limits the progress that one good reply adds. A server warms
	// up only under load, so idle time is no progress.
	rampMaxStep = 500 * time.Millisecond
	// rampBackoff is the fraction of the progress that remains after a bad
	// reply.
	rampBackoff = 0.5
	// drainingHold is how long a draining signal takes precedence over state
	// reports without draining, because the state endpoint can lag.
	drainingHold = 30 * time.Second
)

// LoadLimit is the load that a server can take in its current health state.
type LoadLimit struct {
	// Slots is the maximum number of requests in progress.
	Slots int
	// Interval is the minimum time between two dispatches; zero means no
	// minimum.
	Interval time.Duration
}

// LoadLimitOf returns the load limit of a server of the service. Latency is the
// recent median service time, or zero if unknown. On the ramp the rate grows
// geometrically from the floor to rampTopShare of the rate that fills all
// slots; this stays below a linear warm-up.
func LoadLimitOf(health Health, service *config.Service, latency time.Duration) LoadLimit {
	switch h := health.(type) {
	case Warm:
		return LoadLimit{Slots: service.Slots}
	case Warming:
		floor := float64(max(1, service.Floor))
		top := floor
		if latency > 0 {
			top = max(floor, rampTopShare*float64(service.Slots)/latency.Seconds())
		}
		rate := floor * math.Pow(top/floor, h.Progress)
		return LoadLimit{Slots: 1 + int(h.Progress*float64(service.Slots-1)), Interval: interval(rate)}
	case Cold:
		return LoadLimit{Slots: 1, Interval: interval(float64(max(1, service.Floor)))}
	default:
		return LoadLimit{}
	}
}

func interval(rate float64) time.Duration {
	return time.Duration(rampMargin / rate * float64(time.Second))
}

// AdvanceRamp returns the health after a good reply that arrived the given gap
// after the previous good reply.
func AdvanceRamp(health Health, gap, warmup time.Duration) Health {
	progress, onRamp := rampProgress(health)
	if !onRamp {
		return health
	}
	if warmup > 0 {
		progress += float64(min(gap, rampMaxStep)) / float64(warmup)
	} else {
		progress = 1
	}
	if progress >= 1 {
		return Warm{}
	}
	return Warming{Progress: progress}
}

// BackOffRamp returns the health after a bad reply on the ramp.
func BackOffRamp(health Health) Health {
	w, ok := health.(Warming)
	if !ok {
		return health
	}
	if w.Progress *= rampBackoff; w.Progress < 0.01 {
		return Cold{}
	}
	return w
}

// rampProgress returns the progress of a server on the ramp, and false if the
// server is not on it.
func rampProgress(health Health) (float64, bool) {
	switch h := health.(type) {
	case Cold:
		return 0, true
	case Warming:
		return h.Progress, true
	default:
		return 0, false
	}
}
