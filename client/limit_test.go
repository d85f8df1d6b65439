package client_test

import (
	"net/http"
	"net/http/httptest"
	"strings"

	"jacinthferry/client"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against responses whose header has no end, which a client would keep.
var _ = Describe("the transport of a client", func() {
	for _, c := range []struct {
		what    string
		bytes   int
		refused bool
	}{
		{"reads a header of 32 KiB", 32 << 10, false},
		{"refuses a header of 128 KiB", 128 << 10, true},
	} {
		It(c.what, func() {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("X-Long", strings.Repeat("x", c.bytes))
			}))
			DeferCleanup(server.Close)
			request, err := http.NewRequest(http.MethodGet, server.URL, http.NoBody)
			Expect(err).NotTo(HaveOccurred())
			response, err := client.Transport().RoundTrip(request)
			if c.refused {
				Expect(err).To(HaveOccurred())

				return
			}
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Body.Close()).To(Succeed())
		})
	}
})
