package timer

import (
	"context"
	"time"
)

// Every calls do once each span until ctx ends.
func Every(ctx context.Context, span time.Duration, do func()) {
	ticker := time.NewTicker(span)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			do()
		}
	}
}
