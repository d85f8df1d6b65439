package gateway_test

import (
	"net/http"
	"testing"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/io/gateway"
	"jacinthferry/standin/suite"
)

func TestGateway(t *testing.T) { suite.Run(t, "gateway") }

// plainCodec adds no headers and takes every response for a signed one.
var plainCodec = gateway.Codec{
	Encode: func(*gateway.Call, *catalog.Upstream, clock.Milli) http.Header { return nil },
	Decode: func(int, http.Header) gateway.UpstreamResponse { return gateway.UpstreamResponse{Stamp: "s"} },
}
