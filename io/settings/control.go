package settings

import (
	"fmt"

	"jacinthferry/core/clock"
)

// Control configures membership, upstream reports and the lists of entries for callers.
type Control struct {
	// LeaseTTL is the time to live of the daemon's membership lease.
	LeaseTTL clock.Milli `json:"lease"`
	// ReportInterval is the interval between two reports of an upstream.
	ReportInterval clock.Milli `json:"poll"`
	// EntriesTTL is how long callers may cache a list of entries.
	EntriesTTL clock.Milli `json:"keep"`
	// Seeds are the peer addresses of other daemons through which this one joins while the store is
	// down.
	Seeds []string `json:"seeds,omitempty"`
}

func defaultControl() Control {
	return Control{LeaseTTL: 3 * clock.Second, ReportInterval: 250 * clock.Millisecond, EntriesTTL: 5 * clock.Second}
}

func (c Control) check() []Fault {
	faults := nonNil(
		checkRange("control.lease", float64(c.LeaseTTL), float64(clock.Second), float64(clock.Hour)),
		checkRange("control.poll", float64(c.ReportInterval), 10, float64(clock.Minute)),
		checkRange("control.keep", float64(c.EntriesTTL), 100, float64(clock.Hour)),
	)
	for i, seed := range c.Seeds {
		faults = append(faults, nonNil(checkAddress(fmt.Sprintf("control.seeds[%d]", i), seed, false))...)
	}

	return faults
}
