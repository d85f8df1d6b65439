package testbed

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"jacinthferry/core/clock"
)

// StepKind is a kind of step.
type StepKind string

// The kinds of steps: planned ones, which are work of operators, and faults.
const (
	// Steps that act on the process of a daemon.
	Kill  StepKind = "kill"
	Pause StepKind = "pause"
	Term  StepKind = "term"
	Away  StepKind = "away"
	Hup   StepKind = "hup"
	// Steps that act on the connections between a daemon and the store.
	StoreCut     StepKind = "store-cut"
	StoreOneWay  StepKind = "store-one-way"
	StoreRefuse  StepKind = "store-refuse"
	StoreSilence StepKind = "store-silence"
	StoreReset   StepKind = "store-reset"
	// Steps that act on the store.
	StoreDown StepKind = "store-down"
	StoreHang StepKind = "store-hang"
	StoreSlow StepKind = "store-slow"
	StoreLost StepKind = "store-lost"
	// Steps that act on the connections between callers and a daemon.
	FrontDelay   StepKind = "front-delay"
	FrontReset   StepKind = "front-reset"
	FrontSilence StepKind = "front-silence"
	FrontOneWay  StepKind = "front-one-way"
	// Steps that act on an upstream and the connections to it.
	Crash       StepKind = "crash"
	Reborn      StepKind = "reborn"
	Reuse       StepKind = "reuse"
	Freeze      StepKind = "freeze"
	Slow        StepKind = "slow"
	Fail        StepKind = "fail"
	Lose        StepKind = "lose"
	Garble      StepKind = "garble"
	LinkReset   StepKind = "link-reset"
	LinkSilence StepKind = "link-silence"
	LinkDelay   StepKind = "link-delay"
	// Work of operators.
	Replace  StepKind = "replace"
	Config   StepKind = "config"
	Reshard  StepKind = "reshard"
	ZoneOut  StepKind = "zone-out"
	MoveGood StepKind = "move-good"
	MoveBad  StepKind = "move-bad"
	// MoveBack orders a bad version, and soon after that the version that runs.
	MoveBack StepKind = "move-back"
)

var (
	plannedKinds = []StepKind{Term, Term, Away, Hup, Replace, Replace, Config, Config, Reshard, ZoneOut, MoveGood, MoveBad}
	faultKinds   = []StepKind{
		Kill, Pause, StoreCut, StoreOneWay, StoreRefuse, StoreSilence, StoreReset, StoreDown, StoreHang, StoreSlow,
		StoreLost, FrontDelay, FrontReset, FrontSilence, FrontOneWay, Crash, Reborn, Reuse, Freeze, Slow, Fail, Lose,
		Garble, LinkReset, LinkSilence, LinkDelay,
	}
)

// Step is a fault or a planned change at a point in time.
type Step struct {
	At   clock.Milli
	Kind StepKind
	// Target selects among the possible targets of the kind. The step lasts for the time below it.
	Target   int
	Duration clock.Milli
}

const (
	// minSteps and maxSteps bound the number of steps of a plan. A series counts once.
	minSteps = 4
	maxSteps = 10
	// seriesShare is the share of steps that are repeated as a series of seriesLength steps.
	seriesShare  = 0.3
	seriesLength = 3
	// minDuration and maxDuration bound the duration of a step.
	minDuration = 300 * clock.Millisecond
	maxDuration = 5 * clock.Second
	// moveBackEvery is the number of bad moves of which one is ordered back, where the seed determines the kinds.
	moveBackEvery = 4
	// targetLimit exceeds the number of targets of any kind.
	targetLimit = 1000
)

// StepKinds returns all kinds of steps. A kind occurs more than once if plans pick it more often.
func StepKinds() []StepKind { return slices.Concat(plannedKinds, faultKinds, []StepKind{MoveBack}) }

// NewPlan returns the steps of a seed, sorted by their start, which lies within the period except for
// later steps of a series. If kinds is empty, the seed determines whether the plan has planned
// work, faults or both.
func NewPlan(seed uint64, period clock.Milli, kinds []StepKind) []Step {
	random := rand.New(rand.NewPCG(seed, seed))
	drawn := len(kinds) == 0
	if drawn {
		allKinds := slices.Concat(plannedKinds, faultKinds)
		kinds = [][]StepKind{plannedKinds, faultKinds, allKinds, allKinds}[seed%4]
	}
	var steps []Step
	for range minSteps + random.IntN(maxSteps-minSteps+1) {
		s := Step{
			At: clock.Milli(random.Float64()) * period, Kind: kinds[random.IntN(len(kinds))], Target: random.IntN(targetLimit),
			Duration: minDuration + clock.Milli(random.Float64())*(maxDuration-minDuration),
		}
		if drawn && s.Kind == MoveBad && s.Target%moveBackEvery == 1 {
			s.Kind = MoveBack
		}
		count := 1
		if random.Float64() < seriesShare {
			count = seriesLength
		}
		gap := 100 + clock.Milli(random.Float64())*clock.Second
		for i := range count {
			s.At += clock.Milli(min(i, 1)) * gap
			s.Target += i
			steps = append(steps, s)
		}
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })

	return onlyFirst(steps, MoveGood, MoveBad, MoveBack, Reshard)
}

// onlyFirst keeps only the first step of mutually exclusive kinds and moves it to the start, since
// such steps take long.
func onlyFirst(steps []Step, kinds ...StepKind) []Step {
	var out []Step
	found := false
	for _, s := range steps {
		if slices.Contains(kinds, s.Kind) {
			if found {
				continue
			}
			found = true
			s.At = 0
			out = slices.Insert(out, 0, s)

			continue
		}
		out = append(out, s)
	}

	return out
}
