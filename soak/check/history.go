// Package check judges what callers and upstreams saw while the system was under faults.
package check

import (
	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/platform"
	"jacinthferry/standin/registered"
)

// Ask is one try of a caller.
type Ask struct {
	ID string
	// Daemon is the one that was asked, and Route the route that the caller meant.
	Daemon string
	Route  catalog.Route
	Method string
	Target string
	Body   string
	// Left is how long the caller waits from Sent on.
	Left  clock.Milli
	Sent  clock.Milli
	Ended clock.Milli
	// Gone is set when the caller gave up at Ended, before its deadline.
	Gone bool
	// Unconnected is set when no connection could be opened.
	Unconnected bool
	// Answer is nil when none came, and Broken when it could not be read.
	Answer *platform.CallerAnswer
	Broken bool
}

// status returns the status that the caller got, or 0.
func (a *Ask) status() int {
	if a.Answer == nil || a.Broken {
		return 0
	}

	return a.Answer.Status
}

// Config is a configuration, in force from the instant at which the store took it.
type Config struct {
	At     clock.Milli
	Routes []catalog.Route
}

// route returns the route of that name, or nil.
func (c *Config) route(name string) *catalog.Route {
	for i := range c.Routes {
		if c.Routes[i].Name == name {
			return &c.Routes[i]
		}
	}

	return nil
}

// Trouble is a time in which a daemon, or all of them when Daemon is empty, cannot be held to bounds
// in time.
type Trouble struct {
	Daemon string
	What   string
	From   clock.Milli
	To     clock.Milli
}

// Out is an upstream that was told to get no more requests, or a zone's.
type Out struct {
	Upstream string
	Zone     string
	At       clock.Milli
	// Until is when the zone came back, or 0.
	Until clock.Milli
}

// Move is an order to move a service to a version.
type Move struct {
	Service  string
	Version  string
	Bad      bool
	At       clock.Milli
	Deadline clock.Milli
	// Outcome is what the operators were told at the end.
	Outcome catalog.Stage
}

// Stop is a planned stop of a daemon: from the signal to the end of the process.
type Stop struct {
	Daemon string
	From   clock.Milli
	To     clock.Milli
	// Back is when the daemon was started again, or 0.
	Back clock.Milli
	Exit int
}

// Listing is an answer of the directory of a daemon.
type Listing struct {
	At      clock.Milli
	Daemon  string
	Daemons []string
}

// Log is what is judged.
type Log struct {
	Bounds   Bounds
	Asks     []Ask
	Runs     []registered.Run
	Configs  []Config
	Troubles []Trouble
	// Upsets are times in which upstreams did wrong, so that requests may fail.
	Upsets   []Trouble
	Outs     []Out
	Moves    []Move
	Stops    []Stop
	Listings []Listing
	// Ends are the ends of processes that nobody ordered.
	Ends []Trouble
	// Healed is when the last fault was over, and End when the callers stopped.
	Healed clock.Milli
	End    clock.Milli
}

// Bounds are the times and shares that the system is held to.
type Bounds struct {
	// Contact is for how long a daemon must have been undisturbed before it is held to bounds in time.
	Contact  clock.Milli
	Apply    clock.Milli
	Drain    clock.Milli
	Evacuate clock.Milli
	Back     clock.Milli
	Recovery clock.Milli
	// Ratio and Slack bound the extra sends to a service within Window.
	Ratio  float64
	Slack  float64
	Window clock.Milli
	// Trial is the share of requests that a bad version may get, and TrialSlack how many more.
	Trial      float64
	TrialSlack int
}

// Usual returns the bounds of the users' sites.
func Usual() Bounds {
	return Bounds{
		Contact: 4 * clock.Second, Apply: 3 * clock.Second, Drain: 3 * clock.Second, Evacuate: 5 * clock.Second,
		Back: 5 * clock.Second, Recovery: 12 * clock.Second, Ratio: 0.2, Slack: 54, Window: 10 * clock.Second,
		Trial: 0.1, TrialSlack: 50,
	}
}

// stable reports whether a daemon was undisturbed from Contact before an instant.
func (l *Log) stable(daemon string, at clock.Milli) bool { return l.stableWithin(daemon, at, at) }

// stableWithin reports whether a daemon was undisturbed from Contact before from until to.
func (l *Log) stableWithin(daemon string, from, to clock.Milli) bool {
	return !disturbed(l.Troubles, daemon, from-l.Bounds.Contact, to)
}

// disturbed reports whether a trouble touches a daemon between two instants.
func disturbed(troubles []Trouble, daemon string, from, to clock.Milli) bool {
	for i := range troubles {
		t := &troubles[i]
		if (t.Daemon == "" || t.Daemon == daemon) && t.From <= to && from < t.To {
			return true
		}
	}

	return false
}
