package registry

import (
	"context"

	"jacinthferry/core/clock"
)

// Turn runs one iteration of the control loop and returns the delay before the next.
func (r *Registry) Turn(ctx context.Context) clock.Milli { return r.iterate(ctx) }
