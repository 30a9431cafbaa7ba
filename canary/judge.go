package canary

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// slowBuckets is the number of buckets above the median of the old version from which
	// on a time is slow: 2.8 times the median, or up to a bucket less.
	slowBuckets = 3
	// slowMargin is the time above that median below which no time is slow: the target
	// version has few connections, and opens a new one for many of its requests.
	slowMargin = 20 * time.Millisecond
	// moveBuckets is the number of further buckets for times during the move: the load on
	// the target version is then greater than that of the old version before, as far as
	// users come at the same time.
	moveBuckets = 2
	// minReference is the number of answers of the old version whose median is a reference.
	minReference = 6
	// stopEvidence is the likelihood ratio at which a version is bad, whenever it is
	// reached: a good version is then blamed with a probability of at most 1/200.
	stopEvidence = 200
	// finalEvidence is the ratio at the end of the observation. No more evidence comes
	// without exposure, and to complete a bad version costs more than to roll back a
	// good one.
	finalEvidence = 5
)

// ratios are the rates of bad outcomes at the target version, in multiples of that of the
// old version, against which equal rates are tested.
var ratios = [...]float64{4, 16}

// Evidence is the result of the test.
type Evidence struct {
	// Log is the natural logarithm of the likelihood ratio for a worse target version.
	Log float64
	// Stratum is the one with the greatest ratio. Bad outcomes of Count exchanges with
	// the target version, and OldBad of OldCount, are in it.
	Stratum  string
	Bad      int
	Count    int
	OldBad   int
	OldCount int
}

func (e Evidence) String() string {
	return fmt.Sprintf("%s: %d of %d bad, old version %d of %d, ratio %.3g", e.Stratum, e.Bad, e.Count, e.OldBad, e.OldCount, math.Exp(min(e.Log, 100)))
}

// sample counts exchanges with one server in a stratum.
type sample struct {
	server   string
	isTarget bool
	count    float64
	bad      float64
}

// totals are sums over all hosts.
type totals struct {
	sent, sentTarget int
	// good is the number of good answers of the target version.
	good int
}

// judge tests whether the target version has a higher rate of bad outcomes. servers is the
// number of servers of the target version.
func judge(rows []Row, servers int) Evidence {
	slowFrom := references(rows)
	strata := make(map[stratum][]sample)
	for _, r := range rows {
		// Sends of the move are compared with those of the old version before it.
		if !r.IsMove {
			addRow(strata, false, r, slowFrom)
			add(strata, stratum{kind: lostAnswers, group: r.Zone}, sample{server: r.Server, isTarget: r.IsTarget, count: float64(r.Answers + r.Lost), bad: float64(r.Lost)})
		}
		if r.IsMove == r.IsTarget {
			addRow(strata, true, r, slowFrom)
		}
	}
	var groups [kinds][2]int
	tests := make(map[stratum]Evidence, len(strata))
	for of, samples := range strata {
		if e, ok := test(samples, servers); ok {
			if float64(e.Bad) < of.minShare()*float64(e.Count) {
				e.Log = min(e.Log, 0)
			}
			tests[of] = e
			groups[of.kind][asIndex(of.isMove)]++
		}
	}
	best, sum, weights := Evidence{Log: math.Inf(-1)}, 0.0, 0.0
	for of, e := range tests {
		weight := weightOf[of.kind] / float64(groups[of.kind][asIndex(of.isMove)])
		weights += weight
		sum += weight * math.Exp(min(e.Log, maxLog))
		e.Stratum = of.String()
		if e.Log > best.Log || (e.Log == best.Log && e.Stratum < best.Stratum) {
			best = e
		}
	}
	if weights == 0 {
		return Evidence{}
	}
	best.Log = math.Log(sum / weights)
	return best
}

// kind is what is compared in a stratum.
type kind int

const (
	failures kind = iota
	failuresOfRoute
	times
	timesOfRoute
	lostAnswers
	kinds
)

// weightOf holds the weights of the kinds in the mean of the ratios; the strata of a kind
// share it. Most faults show on all routes.
var weightOf = [kinds]float64{failures: 0.3, failuresOfRoute: 0.15, times: 0.3, timesOfRoute: 0.15, lostAnswers: 0.1}

var kindNames = [kinds]string{failures: "failures", failuresOfRoute: "failures route=", times: "times", timesOfRoute: "times route=", lostAnswers: "lost zone="}

// stratum is a set of exchanges that are compared with each other.
type stratum struct {
	kind kind
	// group is the route or the zone.
	group  string
	isMove bool
}

func (s stratum) String() string {
	if s.isMove {
		return "move " + kindNames[s.kind] + s.group
	}
	return kindNames[s.kind] + s.group
}

// Least shares of slow or lost exchanges that speak against a version. Pauses and busy
// hosts make some times slow, and not at the same time for both versions. Sends of the
// move have no others beside them.
const (
	minSlowShare     = 0.15
	minSlowShareMove = 0.25
)

// minShare returns the least share of bad outcomes that speaks against a version.
func (s stratum) minShare() float64 {
	switch {
	case s.kind == failures || s.kind == failuresOfRoute:
		return 0
	case s.isMove:
		return minSlowShareMove
	default:
		return minSlowShare
	}
}

func asIndex(isMove bool) int {
	if isMove {
		return 1
	}
	return 0
}

// addRow adds a row to the strata of failures and times.
func addRow(strata map[stratum][]sample, isMove bool, r Row, slowFrom reference) {
	answers := sample{server: r.Server, isTarget: r.IsTarget, count: float64(r.Answers), bad: float64(r.Failed)}
	add(strata, stratum{kind: failures, isMove: isMove}, answers)
	add(strata, stratum{kind: failuresOfRoute, group: r.Route, isMove: isMove}, answers)
	from, ok := slowFrom.of(r.Key)
	if !ok {
		return
	}
	if isMove {
		from = min(Buckets-1, from+moveBuckets)
	}
	timed := sample{server: r.Server, isTarget: r.IsTarget}
	timed.addTimes(r.Tally, from)
	add(strata, stratum{kind: times, isMove: isMove}, timed)
	add(strata, stratum{kind: timesOfRoute, group: r.Route, isMove: isMove}, timed)
}

// addTimes counts the times of a tally. A wait that was given up counts only if it was
// slow already.
func (s *sample) addTimes(t Tally, slowFrom int) {
	for bucket, count := range t.Times {
		s.count += float64(count)
		if bucket >= slowFrom {
			s.bad += float64(count)
		}
	}
	for _, count := range t.Waits[slowFrom:] {
		s.count += float64(count)
		s.bad += float64(count)
	}
}

// path identifies exchanges whose times can be compared.
type path struct {
	route  string
	isNear bool
}

// reference holds the buckets from which on times are slow: by route and nearness, and by
// route only for paths on which the old version has few answers.
type reference struct {
	byPath  map[path]int
	byRoute map[string]int
}

func (r reference) of(key Key) (int, bool) {
	if from, ok := r.byPath[path{route: key.Route, isNear: key.IsNear}]; ok {
		return from, true
	}
	from, ok := r.byRoute[key.Route]
	return from, ok
}

// references returns the references from the times of the old version.
func references(rows []Row) reference {
	byPath, byRoute := make(map[path]Histogram), make(map[string]Histogram)
	for _, r := range rows {
		if r.IsTarget || r.IsMove {
			continue
		}
		key := path{route: r.Route, isNear: r.IsNear}
		onPath, onRoute := byPath[key], byRoute[r.Route]
		for i, count := range r.Times {
			onPath[i] += count
			onRoute[i] += count
		}
		byPath[key], byRoute[r.Route] = onPath, onRoute
	}
	ref := reference{byPath: make(map[path]int), byRoute: make(map[string]int)}
	for key, h := range byPath {
		if from, ok := h.slowFrom(); ok {
			ref.byPath[key] = from
		}
	}
	for route, h := range byRoute {
		if from, ok := h.slowFrom(); ok {
			ref.byRoute[route] = from
		}
	}
	return ref
}

// slowFrom returns the bucket from which on times are slow against those of a histogram.
func (h Histogram) slowFrom() (int, bool) {
	total, below := uint32(0), uint32(0)
	for _, count := range h {
		total += count
	}
	if total < minReference {
		return 0, false
	}
	median := 0
	for median < Buckets-1 && 2*(below+h[median]) < total {
		below += h[median]
		median++
	}
	atMedian := time.Duration(float64(firstBucket) * math.Pow(bucketFactor, float64(median)+0.5))
	return min(Buckets-1, max(median+slowBuckets, bucketOf(atMedian+slowMargin))), true
}

// maxLog bounds logarithms of ratios, so that sums of ratios stay finite.
const maxLog = 500

func add(strata map[stratum][]sample, of stratum, s sample) {
	list := strata[of]
	if at := slices.IndexFunc(list, func(o sample) bool { return o.server == s.server }); at >= 0 {
		list[at].count += s.count
		list[at].bad += s.bad
		return
	}
	strata[of] = append(list, s)
}

// test returns the evidence of one stratum, if both versions are in it. The server of each
// version with most bad outcomes is left out, because it may be that server's fault and
// not the version's.
func test(samples []sample, servers int) (Evidence, bool) {
	target, old := split(samples)
	if servers > 1 || len(target) > 1 {
		target = withoutWorst(target)
	}
	if len(old) > 1 {
		old = withoutWorst(old)
	}
	count, bad := sum(target)
	oldCount, oldBad := sum(old)
	e := Evidence{Bad: int(bad), Count: int(count), OldBad: int(oldBad), OldCount: int(oldCount)}
	if count == 0 || oldCount == 0 {
		return e, false
	}
	w := count / (count + oldCount)
	mean := 0.0
	for _, ratio := range ratios {
		mean += math.Exp(min(maxLog, bad*math.Log(ratio)-(bad+oldBad)*math.Log(1-w+w*ratio)))
	}
	e.Log = math.Log(mean / float64(len(ratios)))
	return e, true
}

func split(samples []sample) (target, old []sample) {
	for _, s := range samples {
		if s.isTarget {
			target = append(target, s)
		} else {
			old = append(old, s)
		}
	}
	return target, old
}

func withoutWorst(samples []sample) []sample {
	if len(samples) == 0 {
		return nil
	}
	worst := slices.IndexFunc(samples, func(s sample) bool {
		return s == slices.MaxFunc(samples, func(a, b sample) int {
			return cmp.Or(cmp.Compare(a.bad, b.bad), cmp.Compare(b.count, a.count), strings.Compare(a.server, b.server))
		})
	})
	return slices.Delete(slices.Clone(samples), worst, worst+1)
}

func sum(samples []sample) (count, bad float64) {
	for _, s := range samples {
		count += s.count
		bad += s.bad
	}
	return count, bad
}
