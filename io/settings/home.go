package settings

import "jacinthferry/core/clock"

// Home configures how this daemon uses the upstreams that it is the home of.
type Home struct {
	// MaxQueued is the largest number of legs of one priority that wait for one upstream.
	MaxQueued int `json:"queue"`
	// WarmupAnswers is the number of consecutive successful answers that end an upstream's warm-up.
	WarmupAnswers int `json:"warm"`
	// RoutineInterval prevents the starvation of routine legs: while urgent ones wait, every so many-th slot goes
	// to a routine leg; 0 gives them none.
	RoutineInterval int `json:"floor"`
	// Priority enables serving urgent legs before routine ones.
	Priority bool `json:"priority"`
	// EarlyRefusal enables refusing legs early that cannot meet their deadline.
	EarlyRefusal bool `json:"early"`
	// FairQueueing enables serving senders in turn.
	FairQueueing bool `json:"fair"`
	// AdaptiveLimit enables the adaptive concurrency limit.
	AdaptiveLimit bool `json:"adapt"`
	// RewarmAfterGap enables warming an upstream up again after a gap in what is known of it.
	RewarmAfterGap bool `json:"guard"`
	// Handover enables the hand-over between homes: a home claims an upstream before it sends there.
	Handover bool `json:"hold"`
	// StaleAfter is how long nothing may be heard from an upstream before it is considered cold.
	StaleAfter clock.Milli `json:"stale"`
	// MembershipLag is the longest time that a membership change takes to reach every daemon.
	MembershipLag clock.Milli `json:"lag"`
	// HandoverGrace is how long a former home continues to send while its successor has not claimed the
	// upstream.
	HandoverGrace clock.Milli `json:"grace"`
	// MaxLegDuration is the longest time that a leg may take at an upstream.
	MaxLegDuration clock.Milli `json:"longest"`
	// OverrunMargin is how long a leg can still run at an upstream after its deadline.
	OverrunMargin clock.Milli `json:"margin"`
	// HandoverPeers is the number of daemons that a new home asks to hand over an upstream.
	HandoverPeers int `json:"ask"`
	// SilenceTimeout is the time without received bytes after which a connection with outstanding work is
	// closed, if a new connection to the same upstream gets an answer.
	SilenceTimeout clock.Milli `json:"silent"`
	// MaxIdleForSubmit is the longest time since the last received byte of a connection on which a non-idempotent
	// leg is sent.
	MaxIdleForSubmit clock.Milli `json:"fresh"`
}

func defaultHome() Home {
	return Home{
		MaxQueued: 256, WarmupAnswers: 8, RoutineInterval: 8,
		Priority: true, EarlyRefusal: true, FairQueueing: true, AdaptiveLimit: true, RewarmAfterGap: true, Handover: true,
		StaleAfter: 2 * clock.Second, MembershipLag: 2 * clock.Second, HandoverGrace: 500 * clock.Millisecond,
		MaxLegDuration: 2 * clock.Second,
		OverrunMargin:  250 * clock.Millisecond, HandoverPeers: 16,
		SilenceTimeout: 1500 * clock.Millisecond, MaxIdleForSubmit: clock.Second,
	}
}

func (h Home) check() []Fault {
	return nonNil(
		checkRange("home.queue", float64(h.MaxQueued), 1, 1<<20),
		checkRange("home.warm", float64(h.WarmupAnswers), 1, 1<<20),
		checkRange("home.floor", float64(h.RoutineInterval), 0, 1000),
		checkRange("home.stale", float64(h.StaleAfter), 100, float64(clock.Hour)),
		checkRange("home.lag", float64(h.MembershipLag), 100, float64(clock.Hour)),
		checkRange("home.grace", float64(h.HandoverGrace), 0, float64(clock.Minute)),
		checkRange("home.longest", float64(h.MaxLegDuration), 1, float64(clock.Hour)),
		checkRange("home.margin", float64(h.OverrunMargin), 1, float64(clock.Minute)),
		checkRange("home.ask", float64(h.HandoverPeers), 1, 1<<12),
		checkRange("home.silent", float64(h.SilenceTimeout), 100, 2000),
		checkRange("home.fresh", float64(h.MaxIdleForSubmit), 1, float64(clock.Minute)),
	)
}
