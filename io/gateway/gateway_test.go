package gateway_test

import (
	"context"
	"net/http"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/core/event"
	"jacinthferry/io/gateway"
	"jacinthferry/io/timer"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a gateway without a configuration", func() {
	for _, c := range []struct{ timeout, retryAfter clock.Milli }{{0, 300}, {400, 120}, {3000, 900}} {
		It("asks a caller that waits "+c.timeout.String()+" to retry after "+c.retryAfter.String(), func() {
			g := gateway.New(gateway.Options{
				Now: timer.NewClock(), View: func() *catalog.View { return nil }, Record: func(event.Event) {},
			})
			response := g.Serve(context.Background(), &gateway.Call{ID: "r", Method: http.MethodGet, Timeout: c.timeout})
			Expect(response.Refusal).NotTo(BeNil())
			Expect(response.RetryAfter).To(Equal(c.retryAfter))
		})
	}
})
