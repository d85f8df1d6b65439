package admit

import "jacinthferry/core/clock"

// Policy holds the settings that apply to every upstream of a daemon. Queues share one value, which
// must not be modified.
type Policy struct {
	// WarmupAnswers is the number of consecutive successful answers that end a cold start.
	WarmupAnswers int
	// MaxQueued is the maximum number of legs of one priority that wait for an upstream.
	MaxQueued int
	// Priority serves urgent legs before routine ones.
	Priority bool
	// RoutineInterval, if not 0, is the interval at which a slot is reserved for a routine leg while some wait:
	// with 4, every fourth slot. With 0, no slot is reserved.
	RoutineInterval int
	// EarlyRefusal refuses legs that would miss their deadline given the expected wait.
	EarlyRefusal bool
	// FairQueueing serves the flows of one priority in turn (fair queueing).
	FairQueueing bool
	// AdaptiveLimit enables the adaptive concurrency limit, which errors and slow answers lower and successful
	// answers raise.
	AdaptiveLimit bool
	// RewarmAfterGap marks an upstream cold again after a gap in what is known about it.
	RewarmAfterGap bool
	// OverrunMargin is how long past its deadline a leg can still run at the upstream.
	OverrunMargin clock.Milli
	// StaleAfter is the time without an answer or a report after which an upstream is considered cold.
	StaleAfter clock.Milli
}

// Limits are the concurrency limits of one upstream.
type Limits struct {
	// Slots is the number of legs that the upstream can run at once.
	Slots int
	// ColdLimit is the number of legs that the upstream can run at once while it is cold.
	ColdLimit int
}

// Item is a leg that requests a slot.
type Item struct {
	// Ticket identifies the leg within the queue.
	Ticket   uint64
	Deadline clock.Milli
	// Flow identifies the sender for which the leg is run; flows are served in turn.
	Flow   uint64
	Urgent bool
}
