package socket

import (
	"context"
	"net"
	"sync/atomic"

	"jacinthferry/core/clock"
)

// connRTTKey is the context key of a connRTT.
type connRTTKey struct{}

// connRTT is the round-trip time of a connection, measured when the connection was opened.
type connRTT struct {
	rtt clock.Milli
	// used is set once the first request on the connection has been counted.
	used atomic.Bool
}

// WithNetworkDelay returns a context that holds the round-trip time of a new connection, from which the network delay
// of its requests is computed. It can be the ConnContext function of an http.Server.
func WithNetworkDelay(ctx context.Context, c net.Conn) context.Context {
	rtt, ok := RoundTripTime(c)
	if !ok {
		return ctx
	}

	return context.WithValue(ctx, connRTTKey{}, &connRTT{rtt: rtt})
}

// NetworkDelay returns the part of the time seen by a caller that its request and response spend on the network: one
// round trip, and one more for the first request on a connection, which had to be opened. The first call for
// a connection counts as that request. It returns 0 where the round-trip time is not known.
func NetworkDelay(ctx context.Context) clock.Milli {
	c, ok := ctx.Value(connRTTKey{}).(*connRTT)
	if !ok {
		return 0
	}
	if c.used.Swap(true) {
		return c.rtt
	}

	return 2 * c.rtt
}
