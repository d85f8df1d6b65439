package settings

import (
	"fmt"

	"jacinthferry/core/clock"
)

// Control configures membership, upstream reports and the lists of entries for callers.
type Control struct {
	// Lease is the time to live of the daemon's membership lease.
	Lease clock.Milli `json:"lease"`
	// Poll is the interval between two reports of an upstream.
	Poll clock.Milli `json:"poll"`
	// Keep is how long callers may cache a list of entries.
	Keep clock.Milli `json:"keep"`
	// Seeds are the peer addresses of other daemons through which this one joins while the store is
	// down.
	Seeds []string `json:"seeds,omitempty"`
}

func defaultControl() Control {
	return Control{Lease: 3 * clock.Second, Poll: 250 * clock.Millisecond, Keep: 5 * clock.Second}
}

func (c Control) check() []Fault {
	faults := nonNil(
		checkRange("control.lease", float64(c.Lease), float64(clock.Second), float64(clock.Hour)),
		checkRange("control.poll", float64(c.Poll), 10, float64(clock.Minute)),
		checkRange("control.keep", float64(c.Keep), 100, float64(clock.Hour)),
	)
	for i, seed := range c.Seeds {
		faults = append(faults, nonNil(checkAddress(fmt.Sprintf("control.seeds[%d]", i), seed, false))...)
	}

	return faults
}
