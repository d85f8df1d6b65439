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
	// Snapshot is the name of the snapshot held at the start.
	Snapshot string
	// Order is greater for newer snapshots.
	Order uint64
	// Total is the number of shards of the snapshot.
	Total int
	// Shards are those that this upstream holds.
	Shards []int
	// Slots is how many legs run concurrently at most.
	Slots int
	// Bears is how many legs the daemons may send concurrently while the upstream is cold. Those above are
	// counted, and run.
	Bears int
	// Warm is the number of completed legs after which the upstream is no longer cold.
	Warm int
	// Work is the service time of a leg.
	Work clock.Milli
	// Connections is how many connections may be open; 0 sets no limit.
	Connections int
	// Connect is the time from accepting a connection to the first read.
	Connect clock.Milli
	// Grace is the time after the start of a drain in which new legs are not counted as faults of the daemons.
	Grace clock.Milli
	// Seed makes the random choice of faults repeatable.
	Seed uint64
}

// Faults configure fault injection. The zero value injects none. Shares lie between 0 and 1.
type Faults struct {
	// Straggle is the share of legs that straggle.
	Straggle float64 `json:"straggle,omitempty"`
	// Factor is the factor by which the service time of stragglers is multiplied.
	Factor float64 `json:"factor,omitempty"`
	// Crash is the text that crashes the upstream when a request contains it; empty means none.
	Crash string `json:"crash,omitempty"`
	// Down is how long the upstream refuses connections after such a crash.
	Down clock.Milli `json:"down,omitempty"`
	// Late is the share of legs answered after their deadline, whether cancelled or not.
	Late float64 `json:"late,omitempty"`
	// Crossed is the share of legs that get the answer to an earlier request.
	Crossed float64 `json:"crossed,omitempty"`
	// Lag is how old the reported load can be.
	Lag clock.Milli `json:"lag,omitempty"`
	// Load is reported in place of the real load unless nil.
	Load *leg.Load `json:"load,omitempty"`
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
	// Fail is the share of legs that fail.
	Fail float64 `json:"fail,omitempty"`
	// Factor is the factor by which the service time of the other legs is multiplied; 0 means 1.
	Factor float64 `json:"factor,omitempty"`
}

// Counts are the counters of an Upstream. The daemons must never cause legs above the limit of a cold
// upstream, duplicate submits, legs after a drain, or excess connections.
type Counts struct {
	// Legs counts completed legs, submits included.
	Legs int `json:"legs"`
	// Submits counts submits that started to run.
	Submits int `json:"submits"`
	// Shed counts legs refused because no slot was free.
	Shed int `json:"shed"`
	// Over counts legs that arrived above the concurrency limit of a cold upstream.
	Over int `json:"over"`
	// Unwarned counts those of them that arrived before an answer or report could have told any daemon that
	// the upstream is cold.
	Unwarned int `json:"unwarned"`
	// Doubled counts submits that ran again under the same request ID.
	Doubled int `json:"doubled"`
	// After counts legs that arrived later than the grace time after the start of a drain.
	After int `json:"after"`
	// Crowded counts connections closed because they were above the limit.
	Crowded int `json:"crowded"`
	// Cancelled counts legs cancelled while running.
	Cancelled int `json:"cancelled"`
	// Expired counts legs whose deadline passed before or while they ran.
	Expired int `json:"expired"`
	// The following seven counters count the injected faults.
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
