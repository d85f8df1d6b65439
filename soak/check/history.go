// Package check validates what callers and upstreams recorded while faults were injected.
package check

import (
	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/platform"
	"jacinthferry/standin/registered"
)

// Ask is one attempt of a caller to send a request.
type Ask struct {
	ID string
	// Daemon is the daemon that received the request, and Route the route that the caller intended.
	Daemon string
	Route  catalog.Route
	Method string
	Target string
	Body   string
	// Left is the caller's timeout, counted from Sent.
	Left  clock.Milli
	Sent  clock.Milli
	Ended clock.Milli
	// Gone is set when the caller cancelled the request at Ended, before its deadline.
	Gone bool
	// Unconnected is set when the connection could not be opened.
	Unconnected bool
	// Answer is nil when no response arrived. The flag below is set when the request could not be
	// built or the response not be read.
	Answer *platform.CallerAnswer
	Broken bool
}

// status returns the status of the response, or 0 if there is none that could be read.
func (req *Ask) status() int {
	if req.Answer == nil || req.Broken {
		return 0
	}

	return req.Answer.Status
}

// Config is a configuration that is in force from the time of its write to the store.
type Config struct {
	At     clock.Milli
	Routes []catalog.Route
}

// route returns the route with the given name, or nil.
func (c *Config) route(name string) *catalog.Route {
	for i := range c.Routes {
		if c.Routes[i].Name == name {
			return &c.Routes[i]
		}
	}

	return nil
}

// Trouble is a period in which time bounds do not apply to a daemon, or to any daemon if Daemon is empty.
type Trouble struct {
	Daemon string
	What   string
	From   clock.Milli
	To     clock.Milli
}

// Out is the start of the removal of an upstream or of a whole availability zone from service.
type Out struct {
	Upstream string
	Zone     string
	At       clock.Milli
	// Until is the time at which the zone returned to service, or 0.
	Until clock.Milli
}

// Move is a rollout of a service to another version.
type Move struct {
	Service  string
	Version  string
	Bad      bool
	At       clock.Milli
	Deadline clock.Milli
	// Outcome is the last stage that the rollout reported to operators.
	Outcome catalog.Stage
}

// Stop is a planned stop of a daemon, from the signal to the exit of the process.
type Stop struct {
	Daemon string
	From   clock.Milli
	To     clock.Milli
	// Back is the time at which the daemon was restarted, or 0.
	Back clock.Milli
	Exit int
}

// Listing is a response of a daemon's directory.
type Listing struct {
	At      clock.Milli
	Daemon  string
	Daemons []string
}

// Log is the recorded history of a run, which the checks validate.
type Log struct {
	Bounds   Bounds
	Asks     []Ask
	Runs     []registered.Run
	Configs  []Config
	Troubles []Trouble
	// Upsets are periods in which upstreams are faulty, so that requests may fail.
	Upsets   []Trouble
	Outs     []Out
	Moves    []Move
	Stops    []Stop
	Listings []Listing
	// Ends are unexpected exits of processes.
	Ends []Trouble
	// Healed is the end of the last fault, and End the time at which the callers stopped.
	Healed clock.Milli
	End    clock.Milli
}

// Bounds are the limits on times and shares that the system has to meet.
type Bounds struct {
	// Contact is how long a daemon must have been undisturbed before time bounds apply to it.
	Contact  clock.Milli
	Apply    clock.Milli
	Drain    clock.Milli
	Evacuate clock.Milli
	Back     clock.Milli
	Recovery clock.Milli
	// A share of the initial sends plus a constant limits the extra sends to a service within a window.
	Ratio  float64
	Slack  float64
	Window clock.Milli
	// A share of the requests plus a constant number may reach a bad version.
	Trial      float64
	TrialSlack int
}

// Usual returns the bounds that hold at the users' sites.
func Usual() Bounds {
	return Bounds{
		Contact: 4 * clock.Second, Apply: 3 * clock.Second, Drain: 3 * clock.Second, Evacuate: 5 * clock.Second,
		Back: 5 * clock.Second, Recovery: 12 * clock.Second,
		Ratio: 0.2, Slack: 54, Window: 10 * clock.Second,
		Trial: 0.1, TrialSlack: 50,
	}
}

// stable reports whether a daemon has been undisturbed for the stabilisation bound at an instant.
func (h *Log) stable(daemon string, at clock.Milli) bool { return h.stableWithin(daemon, at, at) }

// stableWithin reports whether a daemon was undisturbed from the stabilisation bound before one instant
// until another.
func (h *Log) stableWithin(daemon string, from, to clock.Milli) bool {
	return !disturbed(h.Troubles, daemon, from-h.Bounds.Contact, to)
}

// disturbed reports whether a period of disturbance of a daemon overlaps an interval.
func disturbed(disturbances []Trouble, daemon string, from, to clock.Milli) bool {
	for i := range disturbances {
		d := &disturbances[i]
		if (d.Daemon == "" || d.Daemon == daemon) && d.From <= to && from < d.To {
			return true
		}
	}

	return false
}
