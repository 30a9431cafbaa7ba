package rules

import "slices"

// rotation is a smooth weighted round robin: after any number of turns, the
// turns of each service differ from its weighted share by at most one.
type rotation struct {
	parts   []WeightedService
	credits []float64
	total   float64
}

// maxOffset is the number of different positions at which hosts start their
// rotations.
const maxOffset = 16

func newRotation(split Split, seed uint64) *rotation {
	r := &rotation{parts: slices.Clone(split.Parts), credits: make([]float64, len(split.Parts))}
	for _, p := range r.parts {
		r.total += p.Weight
	}
	for range seed % maxOffset {
		r.next()
	}
	return r
}

func (r *rotation) matches(split Split) bool { return slices.Equal(r.parts, split.Parts) }

func (r *rotation) next() string {
	if len(r.parts) == 0 {
		return ""
	}
	best := 0
	for i, p := range r.parts {
		r.credits[i] += p.Weight
		if r.credits[i] > r.credits[best] {
			best = i
		}
	}
	r.credits[best] -= r.total
	return r.parts[best].Service
}
