// Package check validates what callers and upstreams recorded while faults were injected.
package check

import (
	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/platform"
	"jacinthferry/standin/registered"
)

// Request is one attempt of a caller to send a request.
type Request struct {
	ID string
	// Daemon is the daemon that received the request, and Route the route that the caller intended.
	Daemon string
	Route  catalog.Route
	Method string
	Target string
	Body   string
	// Timeout is the caller's timeout, counted from Sent.
	Timeout clock.Milli
	Sent    clock.Milli
	Ended   clock.Milli
	// Cancelled is set when the caller cancelled the request at Ended, before its deadline.
	Cancelled bool
	// DialFailed is set when the connection could not be opened.
	DialFailed bool
	// Response is nil when no response arrived. The flag below is set when the request could not be
	// built or the response not be read.
	Response   *platform.CallerResponse
	Unreadable bool
}

// status returns the status of the response, or 0 if there is none that could be read.
func (req *Request) status() int {
	if req.Response == nil || req.Unreadable {
		return 0
	}

	return req.Response.Status
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

// Disturbance is a period in which time bounds do not apply to a daemon, or to any daemon if Daemon is empty.
type Disturbance struct {
	Daemon string
	Cause  string
	From   clock.Milli
	To     clock.Milli
}

// Removal is the start of the removal of an upstream or of a whole availability zone from service.
type Removal struct {
	Upstream string
	Zone     string
	At       clock.Milli
	// Until is the time at which the zone returned to service, or 0.
	Until clock.Milli
}

// Rollout is a rollout of a service to another version.
type Rollout struct {
	Service string
	Version string
	Bad     bool
	// OrderedBack is set if the version that ran was ordered soon after.
	OrderedBack bool
	At          clock.Milli
	Deadline    clock.Milli
	// Outcome is the last stage that was reported to operators for the version that was ordered last.
	Outcome catalog.Stage
}

// Stop is a planned stop of a daemon, from the signal to the exit of the process.
type Stop struct {
	Daemon string
	From   clock.Milli
	To     clock.Milli
	// RestartedAt is the time at which the daemon was restarted, or 0.
	RestartedAt clock.Milli
	ExitCode    int
}

// Listing is a response of a daemon's directory.
type Listing struct {
	At      clock.Milli
	Daemon  string
	Daemons []string
}

// History is the recorded history of a run, which the checks validate.
type History struct {
	Bounds             Bounds
	Requests           []Request
	Runs               []registered.Request
	Configs            []Config
	DaemonDisturbances []Disturbance
	// UpstreamDisturbances are periods in which upstreams are faulty, so that requests may fail.
	UpstreamDisturbances []Disturbance
	Removals             []Removal
	Rollouts             []Rollout
	Stops                []Stop
	Listings             []Listing
	// UnexpectedExits are unexpected exits of processes.
	UnexpectedExits []Disturbance
	// FaultsEnded is the end of the last fault, and End the time at which the callers stopped.
	FaultsEnded clock.Milli
	End         clock.Milli
}

// Bounds are the limits on times and shares that the system has to meet.
type Bounds struct {
	// Stabilisation is how long a daemon must have been undisturbed before time bounds apply to it.
	Stabilisation clock.Milli
	Apply         clock.Milli
	Drain         clock.Milli
	Evacuate      clock.Milli
	Rollback      clock.Milli
	Recovery      clock.Milli
	// A share of the initial sends plus a constant limits the extra sends to a service within a window.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow clock.Milli
	// A share of the requests plus a constant number may reach a bad version.
	CanaryShare float64
	CanarySlack int
}

// DefaultBounds returns the bounds that hold at the users' sites.
func DefaultBounds() Bounds {
	return Bounds{
		Stabilisation: 4 * clock.Second, Apply: 3 * clock.Second, Drain: 3 * clock.Second, Evacuate: 5 * clock.Second,
		Rollback: 5 * clock.Second, Recovery: 12 * clock.Second,
		RetryRatio: 0.2, RetrySlack: 54, RetryWindow: 10 * clock.Second,
		CanaryShare: 0.1, CanarySlack: 50,
	}
}

// stable reports whether a daemon has been undisturbed for the stabilisation bound at an instant.
func (h *History) stable(daemon string, at clock.Milli) bool { return h.stableWithin(daemon, at, at) }

// stableWithin reports whether a daemon was undisturbed from the stabilisation bound before one instant
// until another.
func (h *History) stableWithin(daemon string, from, to clock.Milli) bool {
	return !disturbed(h.DaemonDisturbances, daemon, from-h.Bounds.Stabilisation, to)
}

// disturbed reports whether a period of disturbance of a daemon overlaps an interval.
func disturbed(disturbances []Disturbance, daemon string, from, to clock.Milli) bool {
	for i := range disturbances {
		d := &disturbances[i]
		if (d.Daemon == "" || d.Daemon == daemon) && d.From <= to && from < d.To {
			return true
		}
	}

	return false
}
