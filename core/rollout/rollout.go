package rollout

import (
	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
)

// Order is an operator's request to move a service to a version.
type Order struct {
	Service string
	Version string
	// Span is how long the move may take.
	Span clock.Milli
	// Revision is the store's revision of the order. Another order has another one.
	Revision int64
	// Seen is when this daemon learned of the order.
	Seen clock.Milli
}

// Progress is how far a move has come, as all daemons agree on it.
type Progress struct {
	Move catalog.Move
	// Seen is when this daemon learned of it.
	Seen clock.Milli
}

const (
	// trialPart is the part of a move's time during which the new version gets a small share of the
	// requests, and trialRest the time that is left for the rest of the move at least.
	trialPart = 0.65
	trialRest = 8 * clock.Second
	// shiftSpan is how long all requests go to the new version before the move is over: other daemons
	// learn of the step, and requests at the old version end.
	shiftSpan = 3 * clock.Second
)

// Next returns the progress that follows, and false while there is none. Current is the zero value
// before the first step, and bad says that the new version was found to be worse.
func Next(now clock.Milli, order Order, current Progress, bad bool) (Progress, bool) {
	step := func(stage catalog.Stage) (Progress, bool) {
		move := catalog.Move{Version: order.Version, Stage: stage, Order: order.Revision}

		return Progress{Move: move, Seen: now}, true
	}
	if current.Move.Order > order.Revision {
		// This daemon has yet to learn of the order that others follow.
		return current, false
	}
	if current.Move.Order < order.Revision {
		return step(catalog.Trial)
	}
	stage := current.Move.Stage
	switch {
	case stage.Final():
		return current, false
	case bad:
		return step(catalog.Back)
	case stage == catalog.Trial && now >= order.Seen+order.trial():
		return step(catalog.Shift)
	case stage == catalog.Shift && now >= current.Seen+shiftSpan:
		return step(catalog.Completed)
	default:
		return current, false
	}
}

// trial returns how long the new version is tried.
func (o Order) trial() clock.Milli { return max(0, min(trialPart*o.Span, o.Span-trialRest)) }
