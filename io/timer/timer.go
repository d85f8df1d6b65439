package timer

import (
	"time"

	"jacinthferry/core/clock"
)

// NewClock returns a function that reads the time. It starts at the wall clock and then follows the monotonic
// clock, so that steps of the wall clock have no effect. The function is safe for concurrent use.
func NewClock() func() clock.Milli {
	start := time.Now()
	base := clock.FromTime(start)

	return func() clock.Milli { return base + clock.FromDuration(time.Since(start)) }
}
