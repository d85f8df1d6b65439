package upstream

import (
	"jacinthferry/core/clock"
	"jacinthferry/core/leg"
)

// Options configure an Upstream.
type Options struct {
	Name        string
	Service     string
	Version     string
	Incarnation string
	// Snapshot is the name of the snapshot held at the start, Order its position in time (newer snapshots
	// have greater ones), Total its number of shards, and Shards those that this upstream holds.
	Snapshot string
	Order    uint64
	Total    int
	Shards   []int
	// Slots is how many legs run concurrently at most, and Bears how many the daemons may send
	// concurrently while the upstream is cold; more are only counted.
	Slots int
	Bears int
	// Warm is the number of completed legs after which the upstream is no longer cold.
	Warm int
	// Work is the service time of a leg.
	Work clock.Milli
	// Connections is how many connections may be open; 0 sets no limit. Connect is the time from
	// accepting a connection to the first read.
	Connections int
	Connect     clock.Milli
	// Grace is the time after a Drain or Out in which new legs are not counted in Counts.After.
	Grace clock.Milli
	// Seed makes the random choice of faults repeatable.
	Seed uint64
}

// Faults configure fault injection. The zero value injects none. Shares lie between 0 and 1.
type Faults struct {
	// Straggle is the share of legs whose service time is multiplied by Factor.
	Straggle float64 `json:"straggle,omitempty"`
	Factor   float64 `json:"factor,omitempty"`
	// Crash is the text that crashes the upstream when a request contains it; empty means none. Down is
	// how long it then refuses connections.
	Crash string      `json:"crash,omitempty"`
	Down  clock.Milli `json:"down,omitempty"`
	// Late is the share of legs answered after their deadline, whether cancelled or not, and Crossed the
	// share answered with the answer to an earlier request.
	Late    float64 `json:"late,omitempty"`
	Crossed float64 `json:"crossed,omitempty"`
	// Lag is how old the reported load can be. Load is reported in place of the real load unless nil.
	Lag  clock.Milli `json:"lag,omitempty"`
	Load *leg.Load   `json:"load,omitempty"`
	// Rules fail or slow down the legs that match them.
	Rules []Rule `json:"rules,omitempty"`
}

// Rule fails or slows down the legs that match all of its conditions. An empty condition matches
// every leg.
type Rule struct {
	Version string `json:"version,omitempty"`
	// Route is the prefix of the text or body of the request.
	Route string `json:"route,omitempty"`
	// Running is the least number of running legs, this one included.
	Running int `json:"running,omitempty"`
	// After is the least time since the rule was set.
	After clock.Milli `json:"after,omitempty"`
	// Fail is the share of legs that fail. The service time of the others is multiplied by Factor, unless
	// it is 0.
	Fail   float64 `json:"fail,omitempty"`
	Factor float64 `json:"factor,omitempty"`
}

// Counts are the counters of an Upstream. Over, Doubled, After and Crowded count what the daemons must
// never do.
type Counts struct {
	// Legs counts completed legs, submits included, and Submits the submits that started to run.
	Legs    int `json:"legs"`
	Submits int `json:"submits"`
	// Shed counts legs refused because no slot was free.
	Shed int `json:"shed"`
	// Over counts legs that arrived above the concurrency limit of a cold upstream, and Unwarned those of
	// them that arrived before an answer or report could have told any daemon that it is cold.
	Over     int `json:"over"`
	Unwarned int `json:"unwarned"`
	// Doubled counts submits that ran again under the same request ID.
	Doubled int `json:"doubled"`
	// After counts legs that arrived more than Options.Grace after a Drain or Out.
	After int `json:"after"`
	// Crowded counts connections closed because they were above the limit.
	Crowded int `json:"crowded"`
	// Cancelled counts legs cancelled while running, and Expired those whose deadline passed before or
	// while they ran.
	Cancelled int `json:"cancelled"`
	Expired   int `json:"expired"`
	// Straggled to Silenced count the injected faults.
	Straggled int `json:"straggled"`
	Failed    int `json:"failed"`
	Slowed    int `json:"slowed"`
	Late      int `json:"late"`
	Crossed   int `json:"crossed"`
	Crashes   int `json:"crashes"`
	Silenced  int `json:"silenced"`
	// Open is the current number of open connections.
	Open int `json:"open"`
}

// With returns the sum of c and other.
func (c Counts) With(other Counts) Counts { return c.addScaled(other, 1) }

// Without returns the difference of c and an earlier other.
func (c Counts) Without(other Counts) Counts { return c.addScaled(other, -1) }

func (c Counts) addScaled(other Counts, sign int) Counts {
	c.Legs += sign * other.Legs
	c.Submits += sign * other.Submits
	c.Shed += sign * other.Shed
	c.Over += sign * other.Over
	c.Unwarned += sign * other.Unwarned
	c.Doubled += sign * other.Doubled
	c.After += sign * other.After
	c.Crowded += sign * other.Crowded
	c.Cancelled += sign * other.Cancelled
	c.Expired += sign * other.Expired
	c.Straggled += sign * other.Straggled
	c.Failed += sign * other.Failed
	c.Slowed += sign * other.Slowed
	c.Late += sign * other.Late
	c.Crossed += sign * other.Crossed
	c.Crashes += sign * other.Crashes
	c.Silenced += sign * other.Silenced
	c.Open += sign * other.Open

	return c
}
