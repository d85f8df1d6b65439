package settings

import "jacinthferry/core/clock"

// Home configures how this daemon uses the upstreams that it is the home of.
type Home struct {
	// Queue is the largest number of legs of one priority that wait for one upstream.
	Queue int `json:"queue"`
	// Warm is the number of consecutive successful answers that end an upstream's warm-up.
	Warm int `json:"warm"`
	// Floor prevents the starvation of routine legs: while urgent ones wait, every so many-th slot goes
	// to a routine leg; 0 gives them none.
	Floor int `json:"floor"`
	// Priority enables serving urgent legs before routine ones.
	Priority bool `json:"priority"`
	// Early enables refusing legs early that cannot meet their deadline.
	Early bool `json:"early"`
	// Fair enables serving senders in turn.
	Fair bool `json:"fair"`
	// Adapt enables the adaptive concurrency limit.
	Adapt bool `json:"adapt"`
	// Guard enables warming an upstream up again after a gap in what is known of it.
	Guard bool `json:"guard"`
	// Hold enables the hand-over between homes: a home claims an upstream before it sends there.
	Hold bool `json:"hold"`
	// Stale is how long nothing may be heard from an upstream before it is considered cold.
	Stale clock.Milli `json:"stale"`
	// Lag is the longest time that a membership change takes to reach every daemon.
	Lag clock.Milli `json:"lag"`
	// Grace is how long a former home continues to send while its successor has not claimed the
	// upstream.
	Grace clock.Milli `json:"grace"`
	// Longest is the longest time that a leg may take at an upstream.
	Longest clock.Milli `json:"longest"`
	// Margin is how long a leg can still run at an upstream after its deadline.
	Margin clock.Milli `json:"margin"`
	// Ask is the number of daemons that a new home asks to hand over an upstream.
	Ask int `json:"ask"`
	// Silent is the time without received bytes after which a connection with outstanding work is
	// closed, if a new connection to the same upstream gets an answer.
	Silent clock.Milli `json:"silent"`
	// Fresh is the longest time since the last received byte of a connection on which a non-idempotent
	// leg is sent.
	Fresh clock.Milli `json:"fresh"`
}

func defaultHome() Home {
	return Home{
		Queue: 256, Warm: 8, Floor: 8,
		Priority: true, Early: true, Fair: true, Adapt: true, Guard: true, Hold: true,
		Stale: 2 * clock.Second, Lag: 2 * clock.Second, Grace: 500 * clock.Millisecond, Longest: 2 * clock.Second,
		Margin: 250 * clock.Millisecond, Ask: 16,
		Silent: 1500 * clock.Millisecond, Fresh: clock.Second,
	}
}

func (h Home) check() []Fault {
	return nonNil(
		checkRange("home.queue", float64(h.Queue), 1, 1<<20),
		checkRange("home.warm", float64(h.Warm), 1, 1<<20),
		checkRange("home.floor", float64(h.Floor), 0, 1000),
		checkRange("home.stale", float64(h.Stale), 100, float64(clock.Hour)),
		checkRange("home.lag", float64(h.Lag), 100, float64(clock.Hour)),
		checkRange("home.grace", float64(h.Grace), 0, float64(clock.Minute)),
		checkRange("home.longest", float64(h.Longest), 1, float64(clock.Hour)),
		checkRange("home.margin", float64(h.Margin), 1, float64(clock.Minute)),
		checkRange("home.ask", float64(h.Ask), 1, 1<<12),
		checkRange("home.silent", float64(h.Silent), 100, 2000),
		checkRange("home.fresh", float64(h.Fresh), 1, float64(clock.Minute)),
	)
}
