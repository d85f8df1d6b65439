package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/core/event"
	"jacinthferry/io/gateway"
	"jacinthferry/io/timer"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a response that an upstream stops sending", func() {
	now := timer.NewClock()
	for _, c := range []struct{ name, text string }{
		{"with a length", "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nX-Stamp: s\r\nContent-Length: 12\r\n\r\ntwelve bytes"},
		{"with the length first", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-Stamp: s\r\n\r\ntwelve bytes"},
		{"in chunks", "HTTP/1.1 200 OK\r\nX-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n6\r\ntwelve\r\n6\r\n bytes\r\n0\r\n\r\n"},
	} {
		It(c.name+" is no success, wherever it ends", func() {
			for end := range len(c.text) {
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					connection, _, err := w.(http.Hijacker).Hijack()
					if err != nil {
						return
					}
					_, _ = io.WriteString(connection, c.text[:end])
					_ = connection.(*net.TCPConn).CloseWrite()
					_ = connection.Close()
				}))
				g := gateway.New(gateway.Options{
					Now: now, Record: func(event.Event) {}, DaemonCount: func() int { return 1 },
					Codec: gateway.Codec{Encode: plainCodec.Encode, Decode: func(status int, h http.Header) gateway.UpstreamResponse {
						return gateway.UpstreamResponse{Status: status, Stamp: h.Get("X-Stamp")}
					}},
				})
				u := &catalog.Upstream{ID: "u", Address: strings.TrimPrefix(server.URL, "http://")}
				result := g.NewSender(&gateway.Call{ID: "r", Method: http.MethodGet, Host: "h", Target: "/"}).Exchange(u, now()+clock.Second)
				Expect(result.OK || result.Forwardable).To(BeFalse(), fmt.Sprintf("%d %q", end, c.text[:end]))
				server.Close()
			}
		})
	}
})
