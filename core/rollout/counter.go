package rollout

import (
	"maps"
	"slices"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
)

const (
	// smoothing is the weight of a new sample in the exponentially weighted moving averages of the old
	// version.
	smoothing = 0.05
	// minSamples is how many good answers of the old version are needed to know its latency.
	minSamples = 5
	// slowFactor is the multiple of the old version's latency above which an answer counts as slow.
	slowFactor = 3
	// slowWeight is the part of a failure that a slow answer counts for. It is below 1 because healthy
	// upstreams pause now and then.
	slowWeight = 0.7
)

// Sample is how one leg to a service with a rollout went.
type Sample struct {
	Service string
	Route   string
	// Version is the version of the upstream that was asked.
	Version string
	OK      bool
	Latency clock.Milli
}

// Counts are the results of one route: the numbers of answers of the new version and of the old one, and
// how many of them count as failures. A slow answer counts as a part of a failure.
type Counts struct {
	New         int
	NewFailures float64
	Old         int
	OldFailures float64
}

// Add returns the sum of two counts.
func (c Counts) Add(o Counts) Counts {
	return Counts{c.New + o.New, c.NewFailures + o.NewFailures, c.Old + o.Old, c.OldFailures + o.OldFailures}
}

// maxTrials is how many trials of a service a Counter counts at a time.
const maxTrials = 4

// Counter counts the answers that one daemon gets from services with a rollout. It does so for each route,
// because a version may be bad on one route only. It is not safe for concurrent use.
type Counter struct {
	services map[string]map[int64]trialCounter
}

// trialCounter counts for one trial, by route.
type trialCounter map[string]*routeCounter

// routeCounter counts on one route. Latency is the average over the old version's good answers, of which
// there were samples.
type routeCounter struct {
	counts  Counts
	latency clock.Milli
	samples int
}

// NewCounter returns a counter without any answers.
func NewCounter() *Counter { return &Counter{services: make(map[string]map[int64]trialCounter)} }

// Add counts an answer of a service with a rollout, which may be an earlier one than that of the last answer. A stable
// version needs no trial, and versions that are withheld are not compared with.
func (c *Counter) Add(rollout catalog.Rollout, a Sample) {
	if rollout.IsStable(rollout.Version) || rollout.Withholds(a.Version) {
		return
	}
	r := c.trial(a.Service, rollout.TrialRevision).route(a.Route)
	if a.Version == rollout.Version {
		r.counts = r.counts.Add(Counts{New: 1, NewFailures: r.failureWeight(a)})

		return
	}
	r.counts = r.counts.Add(Counts{Old: 1, OldFailures: r.failureWeight(a)})
	r.addLatency(a)
}

// trial returns the counter of a trial and creates it if necessary, in place of the one that began first if there are
// too many.
func (c *Counter) trial(service string, id int64) trialCounter {
	trials := c.services[service]
	if trials == nil {
		trials = make(map[int64]trialCounter)
		c.services[service] = trials
	}
	if trials[id] == nil {
		if len(trials) == maxTrials {
			delete(trials, slices.Min(slices.Collect(maps.Keys(trials))))
		}
		trials[id] = make(trialCounter)
	}

	return trials[id]
}

// route returns the counter of a route and creates it if necessary.
func (t trialCounter) route(name string) *routeCounter {
	r := t[name]
	if r == nil {
		r = &routeCounter{}
		t[name] = r
	}

	return r
}

// Counts returns the counts of the trial of a service's rollout by route, or nil if there are none.
func (c *Counter) Counts(service string, rollout catalog.Rollout) map[string]Counts {
	t := c.services[service][rollout.TrialRevision]
	if t == nil {
		return nil
	}
	list := make(map[string]Counts, len(t))
	for name, r := range t {
		list[name] = r.counts
	}

	return list
}

// addLatency adds the latency of an answer of the old version to the average, if the answer is good.
func (r *routeCounter) addLatency(a Sample) {
	if !a.OK {
		return
	}
	if r.samples == 0 {
		r.latency = a.Latency
	}
	r.samples++
	r.latency += smoothing * (min(a.Latency, slowFactor*r.latency) - r.latency)
}

// failureWeight returns how much an answer counts as a failure, from 0 to 1.
func (r *routeCounter) failureWeight(a Sample) float64 {
	switch {
	case !a.OK:
		return 1
	case r.samples >= minSamples && a.Latency > slowFactor*r.latency:
		return slowWeight
	default:
		return 0
	}
}
