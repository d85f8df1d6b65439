package operator

import (
	"context"

	"jacinthferry/core/clock"
	"jacinthferry/core/config"
	"jacinthferry/core/event"
)

// Options are the options of a change.
type Options struct {
	// Who makes the change, and Note gives the reason.
	Who  string
	Note string
	// Expect is the revision that the change is based on; 0 means the newest.
	Expect int64
	// Force makes the change even if the remaining capacity cannot carry the load or another change
	// came first.
	Force bool
}

// Applied is the result of an accepted change: its revision and the previous one.
type Applied struct {
	Revision int64
	Previous int64
}

// Record describes a revision: who made the change, when and why.
type Record struct {
	Revision int64
	Who      string
	Note     string
	At       clock.Milli
}

// Status is the state of a daemon, and of the other daemons as it knows them.
type Status struct {
	Name     string
	Zone     string
	Release  string
	Ready    bool
	Revision int64
	Started  clock.Milli
	// Store is set if the daemon's last call to the platform's store succeeded.
	Store   bool
	Members []Member
	// Upstreams is the number of upstreams by state.
	Upstreams map[string]int
	Services  []Service
}

// Member is a daemon as another one sees it.
type Member struct {
	Name     string
	Zone     string
	State    string
	Operator string
	Revision int64
	// Answered is set if the member itself responded to the status request.
	Answered bool
}

// Service is the state of one version of a service as a daemon routes it.
type Service struct {
	Name     string
	Version  string
	Share    float64
	Snapshot string
	Covered  int
	Total    int
	// Running is the number of the service's legs that run at upstreams.
	Running float64
}

// Daemon has the operations that a Handler serves. Errors are of type *reason.Refusal.
type Daemon struct {
	// Apply makes a configuration the newest one.
	Apply func(context.Context, config.Config, Options) (Applied, error)
	// Zone takes an availability zone out of service or returns it to service.
	Zone func(ctx context.Context, zone string, out bool, o Options) (Applied, error)
	// Current returns the configuration in force and its revision, or false if there is none.
	Current func(context.Context) (config.Config, Record, bool)
	// History returns up to limit changes, newest first.
	History func(ctx context.Context, limit int) ([]Record, error)
	Status  func(context.Context) (Status, error)
	// Events returns the retained events since a time, oldest first.
	Events func(since clock.Milli) []event.Event
	Now    func() clock.Milli
}
