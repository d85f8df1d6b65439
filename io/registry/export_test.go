package registry

import (
	"context"

	"jacinthferry/core/clock"
)

// Turn makes one step of the control thread and returns the time to wait before the next.
func (r *Registry) Turn(ctx context.Context) clock.Milli { return r.turn(ctx) }
