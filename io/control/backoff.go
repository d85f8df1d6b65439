package control

import (
	"context"
	"math/rand/v2"
	"time"

	"jacinthferry/core/clock"
)

// Bounds of the wait before the next try at the store.
const (
	minBackoff = 100 * clock.Millisecond
	maxBackoff = 5 * clock.Second
)

// backoff returns a random wait whose bound doubles with every try, so that daemons which lost the
// store together do not return to it together.
func backoff(attempt int) clock.Milli {
	bound := minBackoff
	for range attempt {
		bound = min(2*bound, maxBackoff)
	}

	return bound/2 + clock.Milli(random())*bound/2
}

// wait sleeps and reports whether ctx is still open.
func sleep(ctx context.Context, d clock.Milli) bool {
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func random() float64 { return rand.Float64() }
