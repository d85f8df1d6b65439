package gateway_test

import (
	"net/http"
	"net/http/httptest"
	"time"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/core/event"
	"jacinthferry/io/gateway"
	"jacinthferry/io/timer"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a leg that has ended", func() {
	now := timer.NewClock()

	It("does not cancel the connection that it used when its caller leaves later", func() {
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		DeferCleanup(server.Close)
		g := gateway.New(gateway.Options{
			Now: now, Record: func(event.Event) {}, DaemonCount: func() int { return 1 },
			Codec: plainCodec,
		})
		u := &catalog.Upstream{ID: "u", Address: server.Listener.Addr().String()}
		s := g.NewSender(&gateway.Call{ID: "r", Method: http.MethodGet, Host: "h", Target: "/"})
		Expect(s.Exchange(u, now()+5*clock.Second).OK).To(BeTrue())
		// Another request takes the connection from the pool before the first caller leaves.
		c := g.TakeIdle(u)
		Expect(c).NotTo(BeNil())
		DeferCleanup(c.Close)
		Expect(c.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		s.Cancel()
		_, err := c.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
		Expect(err).NotTo(HaveOccurred())
	})
})
