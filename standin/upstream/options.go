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
	// ColdLimit is how many legs the daemons may send concurrently while the upstream is cold. Those above are
	// counted, and run.
	ColdLimit int
	// WarmupLegs is the number of completed legs after which the upstream is no longer cold.
	WarmupLegs int
	// ServiceTime is the service time of a leg.
	ServiceTime clock.Milli
	// MaxConnections is how many connections may be open; 0 sets no limit.
	MaxConnections int
	// ConnectDelay is the time from accepting a connection to the first read.
	ConnectDelay clock.Milli
	// DrainGrace is the time after the start of a drain in which new legs are not counted as faults of the daemons.
	DrainGrace clock.Milli
	// Seed makes the random choice of faults repeatable.
	Seed uint64
}

// Faults configure fault injection. The zero value injects none. Shares lie between 0 and 1.
type Faults struct {
	// StragglerShare is the share of legs that straggle.
	StragglerShare float64 `json:"straggle,omitempty"`
	// StragglerFactor is the factor by which the service time of stragglers is multiplied.
	StragglerFactor float64 `json:"factor,omitempty"`
	// CrashText is the text that crashes the upstream when a request contains it; empty means none.
	CrashText string `json:"crash,omitempty"`
	// CrashDowntime is how long the upstream refuses connections after such a crash.
	CrashDowntime clock.Milli `json:"down,omitempty"`
	// LateShare is the share of legs answered after their deadline, whether cancelled or not.
	LateShare float64 `json:"late,omitempty"`
	// MismatchedShare is the share of legs that get the answer to an earlier request.
	MismatchedShare float64 `json:"crossed,omitempty"`
	// LoadLag is how old the reported load can be.
	LoadLag clock.Milli `json:"lag,omitempty"`
	// FalseLoad is reported in place of the real load unless nil.
	FalseLoad *leg.Load `json:"load,omitempty"`
	// Rules fail or slow down the legs that match them.
	Rules []Rule `json:"rules,omitempty"`
}

// Rule fails or slows down the legs that match all of its conditions. An empty condition matches
// every leg.
type Rule struct {
	Version string `json:"version,omitempty"`
	// TextPrefix is the prefix of the text or body of the request.
	TextPrefix string `json:"route,omitempty"`
	// MinRunning is the least number of running legs, this one included.
	MinRunning int `json:"running,omitempty"`
	// MinAge is the least time since the rule was set.
	MinAge clock.Milli `json:"after,omitempty"`
	// FailureShare is the share of legs that fail.
	FailureShare float64 `json:"fail,omitempty"`
	// SlowdownFactor is the factor by which the service time of the other legs is multiplied; 0 means 1.
	SlowdownFactor float64 `json:"factor,omitempty"`
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
	// AboveColdLimit counts legs that arrived above the concurrency limit of a cold upstream.
	AboveColdLimit int `json:"over"`
	// BeforeColdReport counts those of them that arrived before an answer or report could have told any daemon that
	// the upstream is cold.
	BeforeColdReport int `json:"unwarned"`
	// DuplicateSubmits counts submits that ran again under the same request ID.
	DuplicateSubmits int `json:"doubled"`
	// AfterDrain counts legs that arrived later than the grace time after the start of a drain.
	AfterDrain int `json:"after"`
	// ExcessConnections counts connections closed because they were above the limit.
	ExcessConnections int `json:"crowded"`
	// Cancelled counts legs cancelled while running.
	Cancelled int `json:"cancelled"`
	// Expired counts legs whose deadline passed before or while they ran.
	Expired int `json:"expired"`
	// The following seven counters count the injected faults.
	Stragglers            int `json:"straggled"`
	Failed                int `json:"failed"`
	Slowed                int `json:"slowed"`
	Late                  int `json:"late"`
	Mismatched            int `json:"crossed"`
	Crashes               int `json:"crashes"`
	BlackholedConnections int `json:"silenced"`
	// OpenConnections is the current number of open connections.
	OpenConnections int `json:"open"`
}

// Add returns the sum of c and other.
func (c Counts) Add(other Counts) Counts { return c.addScaled(other, 1) }

// Sub returns the difference of c and an earlier other.
func (c Counts) Sub(other Counts) Counts { return c.addScaled(other, -1) }

func (c Counts) addScaled(other Counts, sign int) Counts {
	c.Legs += sign * other.Legs
	c.Submits += sign * other.Submits
	c.Shed += sign * other.Shed
	c.AboveColdLimit += sign * other.AboveColdLimit
	c.BeforeColdReport += sign * other.BeforeColdReport
	c.DuplicateSubmits += sign * other.DuplicateSubmits
	c.AfterDrain += sign * other.AfterDrain
	c.ExcessConnections += sign * other.ExcessConnections
	c.Cancelled += sign * other.Cancelled
	c.Expired += sign * other.Expired
	c.Stragglers += sign * other.Stragglers
	c.Failed += sign * other.Failed
	c.Slowed += sign * other.Slowed
	c.Late += sign * other.Late
	c.Mismatched += sign * other.Mismatched
	c.Crashes += sign * other.Crashes
	c.BlackholedConnections += sign * other.BlackholedConnections
	c.OpenConnections += sign * other.OpenConnections

	return c
}
