package rules

import "slices"

// rotor is a smooth weighted round robin: after any number of turns each
// service has had its share to within one turn.
type rotor struct {
	parts   []WeightedService
	credits []float64
	total   float64
}

// maxOffset bounds the turns by which hosts start apart.
const maxOffset = 16

func newRotor(split Split, seed uint64) *rotor {
	r := &rotor{parts: slices.Clone(split.Parts), credits: make([]float64, len(split.Parts))}
	for _, p := range r.parts {
		r.total += p.Weight
	}
	for range seed % maxOffset {
		r.next()
	}
	return r
}

func (r *rotor) matches(split Split) bool { return slices.Equal(r.parts, split.Parts) }

func (r *rotor) next() string {
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
