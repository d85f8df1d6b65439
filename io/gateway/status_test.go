package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/core/reason"
	"jacinthferry/io/gateway"
	"jacinthferry/io/timer"
	"jacinthferry/standin/suite"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// startReplying starts an upstream of service s that sends text to each request, and then closes the connection unless it
// keeps it open.
func startReplying(id, text string, open bool) *catalog.Upstream {
	address := suite.ServeConns(func(c net.Conn) {
		reader := bufio.NewReader(c)
		for {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			if _, err := io.WriteString(c, text); err != nil || !open {
				return
			}
		}
	})

	return &catalog.Upstream{ID: id, Service: "s", Address: address, Slots: 2}
}

const signedBody = "X-Stamp: s\r\nContent-Length: 16\r\n\r\nsixteen bytes..."

// Guards against a response whose status no final response has: with 000 a request waited until its deadline, and 600
// was forwarded to the caller.
var _ = Describe("a response with a status that is none of a final response", func() {
	const (
		timeout = 3 * clock.Second
		// soon is within the time in which another upstream can still be asked.
		soon = time.Second
	)
	now := timer.NewClock()
	codec := gateway.Codec{Encode: plainCodec.Encode, Decode: func(_ int, h http.Header) gateway.UpstreamResponse {
		return gateway.UpstreamResponse{Stamp: h.Get("X-Stamp"), NotRun: h.Get("Not-Run") != ""}
	}}
	newGatewayFor := func(route catalog.Route, upstreams ...*catalog.Upstream) *gateway.Gateway {
		route.Host, route.Prefix, route.Attempts, route.Objective, route.Timeout = "h", "/", 2, clock.Second, timeout
		config := catalog.NewConfig(1, 1, []catalog.Route{route}, []catalog.Service{{Name: "s"}}, catalog.Limits{})
		view := catalog.NewView(config, upstreams, nil)

		return gateway.New(newOptions(func() *catalog.View { return view }, codec))
	}
	newGateway := func(idempotent bool, upstreams ...*catalog.Upstream) *gateway.Gateway {
		return newGatewayFor(catalog.Route{Name: "one", Service: "s", Idempotent: idempotent}, upstreams...)
	}
	newCall := func() *gateway.Call {
		return &gateway.Call{ID: "r", Method: http.MethodGet, Host: "h", Target: "/x", Path: "/x", Header: http.Header{}, Arrived: now()}
	}
	serve := func(g *gateway.Gateway) gateway.Response {
		response := g.Serve(context.Background(), newCall())
		response.Release()

		return response
	}

	for _, c := range []struct{ name, text string }{
		{"000", "HTTP/1.1 000 Trouble\r\n" + signedBody},
		{"000 that says not run", "HTTP/1.1 000 Trouble\r\nNot-Run: 1\r\n" + signedBody},
		{"000 without a body", "HTTP/1.1 000 Trouble\r\nX-Stamp: s\r\nContent-Length: 0\r\n\r\n"},
		{"099", "HTTP/1.1 099 Trouble\r\n" + signedBody},
		{"+20", "HTTP/1.1 +20 Trouble\r\n" + signedBody},
		{"101", "HTTP/1.1 101 Switching Protocols\r\n" + signedBody},
		{"101 without a body", "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: other\r\n\r\n"},
		{"103 with a body", "HTTP/1.1 103 Early Hints\r\n" + signedBody},
		{"103 with chunks", "HTTP/1.1 103 Early Hints\r\nX-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"},
		{"600", "HTTP/1.1 600 Trouble\r\n" + signedBody},
		{"999", "HTTP/1.1 999 Trouble\r\n" + signedBody},
		{"200 of another version of HTTP", "HTTP/3.0 200 OK\r\n" + signedBody},
	} {
		for _, open := range []bool{false, true} {
			end := ", on a connection that closes after it"
			if open {
				end = ", on a connection that stays open"
			}

			It("is no answer: "+c.name+end, func() {
				began := time.Now()
				response := serve(newGateway(false, startReplying("u", c.text, open)))
				Expect(response.Forwarded).To(BeNil())
				Expect(response.Refusal).To(And(HaveField("Run", reason.ExecutionUnknown), HaveField("Reason", reason.Failed)))
				Expect(time.Since(began)).To(BeNumerically("<", soon))
			})

			It("leads to another upstream: "+c.name+end, func() {
				began := time.Now()
				good := startReplying("good", "HTTP/1.1 200 OK\r\n"+signedBody, true)
				good.Zone = "another"
				response := serve(newGateway(true, startReplying("u", c.text, open), good))
				Expect(response.Refusal).To(BeNil())
				Expect(response.Forwarded.Status).To(Equal(http.StatusOK))
				Expect(time.Since(began)).To(BeNumerically("<", soon))
			})

			It("is no part of a gathered answer: "+c.name+end, func() {
				began := time.Now()
				route := catalog.Route{Name: "all", Idempotent: true, Shards: []string{"s"}, Top: 1, MinCoverage: 1}
				response := serve(newGatewayFor(route, startReplying("u", c.text, open)))
				Expect(response.Stamps).To(BeNil())
				Expect(response.Refusal).To(And(HaveField("Run", reason.ExecutionUnknown), HaveField("Reason", reason.Failed)))
				Expect(time.Since(began)).To(BeNumerically("<", soon))
			})

			It("is no answer to a leg of another daemon: "+c.name+end, func() {
				began := time.Now()
				u := startReplying("u", c.text, open)
				var results []gateway.RelayResult
				newGateway(true, u).SendLegs(
					context.Background(), newCall(), []gateway.RelayLeg{{Upstream: *u, Timeout: timeout}}, 0, 1,
					func(r gateway.RelayResponse) { results = append(results, r.Results...) },
				)
				Expect(results).To(HaveLen(1))
				Expect(results[0].Result.OK).To(BeFalse())
				Expect(results[0].Result.Run).To(Equal(reason.ExecutionUnknown))
				Expect(time.Since(began)).To(BeNumerically("<", soon))
			})
		}
	}

	for _, interim := range []string{
		"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 102 Processing\r\nX-Stamp: early\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n", "HTTP/1.1 199 Other\r\nContent-Length: 0\r\n\r\n",
	} {
		It("may be an interim response: "+interim[9:12], func() {
			response := serve(newGateway(false, startReplying("u", interim+"HTTP/1.1 200 OK\r\n"+signedBody, true)))
			Expect(response.Refusal).To(BeNil())
			Expect(response.Forwarded.Stamp).To(Equal("s"))
			Expect(string(response.Forwarded.Body)).To(Equal("sixteen bytes..."))
		})
	}

	for _, status := range []int{200, 204, 304, 404, 418, 599} {
		It(fmt.Sprint("is not one that is passed on: ", status), func() {
			text := fmt.Sprintf("HTTP/1.1 %d Status\r\nX-Stamp: s\r\nContent-Length: 0\r\n\r\n", status)
			response := serve(newGateway(false, startReplying("u", text, true)))
			Expect(response.Refusal).To(BeNil())
			Expect(response.Forwarded.Status).To(Equal(status))
		})
	}
})
