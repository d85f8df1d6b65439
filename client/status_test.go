package client_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"jacinthferry/client"
	"jacinthferry/core/clock"
	"jacinthferry/core/reason"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

// statusTransport gives the responses to submits another status, and a header that says that they did not run.
type statusTransport struct {
	http.RoundTripper
	status int
}

// RoundTrip implements http.RoundTripper.
func (t statusTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.RoundTripper.RoundTrip(request)
	if err == nil && strings.Contains(request.URL.Path, "ubmit") {
		response.StatusCode = t.status
		response.Header.Set("Reason", string(reason.Overload))
		response.Header.Set("Run", string(reason.NotExecuted))
	}

	return response, err
}

// Guards against a response whose status no final response has: a submit that ran was reported as not run.
var _ = Describe("a submit whose response has a status that is none of a final response", func() {
	for _, status := range []int{0, 99, 600, 999} {
		It(fmt.Sprintf("is not reported as not run: %03d", status), func(ctx SpecContext) {
			d := &deployment{ttl: clock.Second}
			f := d.add("a", func(context.Context, string) error { return nil })
			c := client.New("a", []string{f.server.Address()}).WithTransport(func() http.RoundTripper {
				return statusTransport{client.Transport(), status}
			})
			_, err := c.Submit(ctx, client.Submit{Service: "s", Body: "order", Deadline: c.Deadline(clock.Second)})
			Expect(f.received()).NotTo(BeEmpty())
			var failed *client.Error
			Expect(errors.As(err, &failed)).To(BeTrue())
			Expect(failed.Refusal.Run).To(Equal(reason.ExecutionUnknown), err.Error())
		})
	}
})
