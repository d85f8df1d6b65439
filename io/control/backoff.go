package control

import (
	"context"
	"math/rand/v2"
	"time"

	"jacinthferry/core/clock"
)

// Bounds of the delay before the next attempt to call the store.
const (
	minBackoff = 100 * clock.Millisecond
	maxBackoff = 5 * clock.Second
)

// backoff returns a random delay whose upper bound doubles with each attempt, so that daemons that
// lost the store at the same time do not all retry at the same time.
func backoff(attempt int) clock.Milli {
	bound := minBackoff
	for range attempt {
		bound = min(2*bound, maxBackoff)
	}

	return bound/2 + clock.Milli(random())*bound/2
}

// sleep waits for d or until ctx is done, and reports whether the whole time has passed.
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
