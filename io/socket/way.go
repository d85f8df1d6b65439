package socket

import (
	"context"
	"net"
	"sync/atomic"

	"jacinthferry/core/clock"
)

// wayKey is the context key of a way.
type wayKey struct{}

// way is how far the other end of a connection is.
type way struct {
	trip clock.Milli
	used atomic.Bool
}

// WithWay returns a context that knows how far the other end of a new connection is. It fits
// http.Server's ConnContext.
func WithWay(ctx context.Context, c net.Conn) context.Context {
	trip, ok := RoundTrip(c)
	if !ok {
		return ctx
	}

	return context.WithValue(ctx, wayKey{}, &way{trip: trip})
}

// Way returns how much of the time that a caller sees goes by between it and here: a round trip for
// a request and its answer, and one more for the first request on a connection, which had to be
// opened. It is 0 where that is not known.
func Way(ctx context.Context) clock.Milli {
	w, ok := ctx.Value(wayKey{}).(*way)
	if !ok {
		return 0
	}
	if w.used.Swap(true) {
		return w.trip
	}

	return 2 * w.trip
}
