package timer

import (
	"context"
	"time"
)

// Every calls f once each interval, the first time after one interval, and returns when ctx ends. Calls do not
// overlap: one that takes longer than the interval delays or drops later ones.
func Every(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}
