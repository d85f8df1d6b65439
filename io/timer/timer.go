package timer

import (
	"time"

	"jacinthferry/core/clock"
)

// New returns a function that reads the time. It starts at the wall clock and then follows the monotonic
// clock, so that steps of the wall clock have no effect. The function is safe for concurrent use.
func New() func() clock.Milli {
	start := time.Now()
	base := clock.At(start)

	return func() clock.Milli { return base + clock.From(time.Since(start)) }
}
