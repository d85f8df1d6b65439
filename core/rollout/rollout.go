package rollout

import (
	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
)

// Order is an operator's order to move a service to a new version.
type Order struct {
	Service string
	Version string
	// MaxDuration is how long the rollout may take.
	MaxDuration clock.Milli
	// Revision is the store's revision of the order, which is higher for a later order.
	Revision int64
	// Repeated is set if there was another order for the service before.
	Repeated bool
	// Seen is when this daemon learned of the order.
	Seen clock.Milli
}

// Progress is how far a rollout has come, as all daemons agree on it.
type Progress struct {
	Rollout catalog.Rollout
	// Seen is when this daemon learned of the stage.
	Seen clock.Milli
}

// Precedes reports whether p comes before other: it belongs to an earlier order, or to an earlier stage of the same
// order.
func (p Progress) Precedes(other Progress) bool {
	if p.Rollout.OrderRevision != other.Rollout.OrderRevision {
		return p.Rollout.OrderRevision < other.Rollout.OrderRevision
	}

	return p.Rollout.Stage.Precedes(other.Rollout.Stage)
}

const (
	// canaryFraction is the part of a rollout's time during which the new version gets a small share of
	// the requests, and minPostCanary the least time that is left for the rest of the rollout.
	canaryFraction = 0.65
	minPostCanary  = 8 * clock.Second
	// minPostVerdict is the least time that is left when a version is found healthy only after the canary's time:
	// for shiftDuration and the writes of the last steps.
	minPostVerdict = 5 * clock.Second
	// shiftDuration is how long all requests go to the new version before the rollout is completed:
	// meanwhile other daemons learn of the step, and requests at the old version end.
	shiftDuration = 3 * clock.Second
)

// Next returns the progress that follows current, or current and false while no step is due. Current is what
// Begin returned or a later progress, and verdict is what the answers of the new version show. A version whose
// answers are too few to tell stays a canary for longer and is rolled back when the time is up.
func Next(now clock.Milli, order Order, current Progress, verdict Verdict) (Progress, bool) {
	enter := func(stage catalog.Stage) (Progress, bool) {
		rollout := current.Rollout
		rollout.Stage = stage

		return Progress{Rollout: rollout, Seen: now}, true
	}
	if current.Rollout.OrderRevision != order.Revision {
		// This daemon has yet to learn of the newer order that others follow.
		return current, false
	}
	stage := current.Rollout.Stage
	switch {
	case stage.Final():
		return current, false
	case current.Rollout.IsStable(order.Version) && verdict != Healthy:
		return current, false
	case verdict == Regressed:
		return enter(catalog.RolledBack)
	case stage == catalog.Canary && verdict == Healthy && now >= order.Seen+order.canaryDuration():
		return enter(catalog.Shifted)
	case stage == catalog.Canary && now >= order.Seen+order.MaxDuration-minPostVerdict:
		return enter(catalog.RolledBack)
	case stage == catalog.Shifted && now >= current.Seen+shiftDuration:
		return enter(catalog.Completed)
	default:
		return current, false
	}
}

// canaryDuration returns how long the new version gets a small share of the requests only.
func (o Order) canaryDuration() clock.Milli {
	return max(0, min(canaryFraction*o.MaxDuration, o.MaxDuration-minPostCanary))
}
