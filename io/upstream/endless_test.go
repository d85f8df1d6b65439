package upstream_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"jacinthferry/core/clock"
	"jacinthferry/core/reason"
	"jacinthferry/io/memory"
	"jacinthferry/io/upstream"
	"jacinthferry/standin/suite"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// endlessUpstream listens on loopback and answers each request with start, and then part until the caller closes. It
// closes the connection itself if part is empty.
func endlessUpstream(start, part string) (address string) {
	return suite.ServeConns(func(c net.Conn) {
		_, err := http.ReadRequest(bufio.NewReader(c))
		if err == nil {
			_, err = io.WriteString(c, start)
		}
		for err == nil && part != "" {
			_, err = io.WriteString(c, part)
		}
	})
}

// Guards against upstreams that send bytes without end, which a daemon kept until it ran out of memory.
var _ = Describe("Upstreams that send bytes without end", func() {
	const (
		upstreams = 60
		legs      = 2
		budget    = 8 << 20
		// heapLimit is half of the smallest machine that a daemon runs on.
		heapLimit = 92 << 20
		timeout   = 1500 * clock.Millisecond
	)
	filler := strings.Repeat("x", 64<<10)
	head := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"

	for _, c := range []struct{ what, start, part string }{
		{"without a line end", "", filler},
		{"in a header line", head + "X: ", filler},
		{"in header lines", head, strings.Repeat("X: y\r\n", 10_000)},
		{"in a body", head + "\r\n", filler},
		{"in chunks", head + "Transfer-Encoding: chunked\r\n\r\n", "10000\r\n" + filler + "\r\n"},
		{"in the body of an error", "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n\r\n", filler},
	} {
		It("cost little memory, and legs end in time: "+c.what, func() {
			shared := memory.NewBudget(budget)
			var pools []*upstream.Pool
			for range upstreams {
				p := upstream.NewPool(endlessUpstream(c.start, c.part), upstream.Options{
					Now: now, MaxConnections: 25, Slots: legs, OverrunMargin: 100, SilenceTimeout: 1000, MaxIdleForSubmit: 1000,
					OnConnectionFailure: func(reason.Code) {}, ResponseMemory: shared,
				})
				DeferCleanup(p.Close)
				pools = append(pools, p)
			}
			peak := suite.WatchHeap()
			begin := time.Now()
			var wg sync.WaitGroup
			for _, p := range pools {
				for range legs {
					wg.Go(func() {
						defer GinkgoRecover()
						Expect(p.Run(search("a", timeout)).Result.Refusal).NotTo(BeNil())
					})
				}
			}
			wg.Wait()
			Expect(time.Since(begin)).To(BeNumerically("<", (timeout + 2*clock.Second).Duration()))
			Expect(peak()).To(BeNumerically("<", heapLimit))
			Eventually(shared.Held).WithTimeout(2 * time.Second).Should(BeZero())
		})
	}
})
