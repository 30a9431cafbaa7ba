package owner

import (
	"math"
	"time"

	"hyssophub/config"
)

// Health is the state of a backend server as its owner knows it. The interface
// is sealed.
type Health interface{ health() }

type (
	// Cold means that the server bears only the manifest's floor. A server of
	// which nothing is known is cold.
	Cold struct{}
	// Warming means that the server is on the ramp. Progress lies between 0
	// and 1.
	Warming struct{ Progress float64 }
	// Warm means that the server's slots alone limit its load.
	Warm struct{}
	// Draining means that the server leaves and takes no new work. Since is
	// the time of the last signal.
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
	// rampMargin stretches the interval between dispatches on the ramp, so
	// that jitter on the way cannot bring them closer than the server bears.
	rampMargin = 1.05
	// rampTopShare is the share of the full rate at which the ramp ends. Towards the
	// end the intervals are short against the jitter on the way, which would
	// bring requests above what a nearly warm server bears.
	rampTopShare = 0.7
	// rampMaxStep bounds the progress that one good reply proves. A server warms
	// up under load, so an idle gap is no progress.
	rampMaxStep = 500 * time.Millisecond
	// rampBackoff is the share of the progress that a bad reply leaves.
	rampBackoff = 0.5
	// drainingHold is how long a draining signal outweighs reports that deny it,
	// because the state endpoint can lag.
	drainingHold = 30 * time.Second
)

// LoadLimit is what a server in some state bears.
type LoadLimit struct {
	// Slots is the number of requests in progress.
	Slots int
	// Interval is the least time between two dispatches; zero means none.
	Interval time.Duration
}

// LoadLimitOf returns what a server of the service bears. Latency is the recent
// median service time or zero. The rate grows geometrically from the floor to
// a share of the rate that fills all slots, which stays below a linear warm-up.
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

// AdvanceRamp returns the state after a good reply that came the given time after
// the one before.
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

// BackOffRamp returns the state after a bad reply on the ramp.
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

// rampProgress returns the progress of a server on the ramp.
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
