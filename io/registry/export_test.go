package registry

import (
	"context"

	"jacinthferry/core/clock"
)

// Iterate runs one iteration of the control loop and returns the delay before the next.
func (r *Registry) Iterate(ctx context.Context) clock.Milli { return r.iterate(ctx) }
