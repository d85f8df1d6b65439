package gateway_test

import (
	"net/http"
	"testing"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/core/event"
	"jacinthferry/core/gather"
	"jacinthferry/io/gateway"
	"jacinthferry/io/timer"
	"jacinthferry/standin/suite"
)

func TestGateway(t *testing.T) { suite.Run(t, "gateway") }

// plainCodec adds no headers and takes every response for a signed one.
var plainCodec = gateway.Codec{
	Encode: func(*gateway.Call, *catalog.Upstream, clock.Milli) http.Header { return nil },
	Decode: func(int, http.Header) gateway.UpstreamResponse { return gateway.UpstreamResponse{Stamp: "s"} },
}

// newOptions returns options for the gateway of the only daemon, which drops events and has a large retry budget.
func newOptions(view func() *catalog.View, codec gateway.Codec) gateway.Options {
	now := timer.NewClock()

	return gateway.Options{
		Now: now, View: view, DaemonCount: func() int { return 1 }, StoreContact: now, Codec: codec,
		Record: func(event.Event) {}, Observe: func(string, clock.Milli, bool) {},
		Policy: gather.Policy{RetryRatio: 1, RetrySlack: 1000, DeadlineMargin: 5}, ResponseMemory: 1 << 20,
	}
}
