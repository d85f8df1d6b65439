package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/core/reason"
	"jacinthferry/io/gateway"
	"jacinthferry/io/timer"
	"jacinthferry/standin/suite"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// labelledCodec reads the ID of the request, the signature and whether a request was rejected from headers.
var labelledCodec = gateway.Codec{
	Encode: func(call *gateway.Call, _ *catalog.Upstream, _ clock.Milli) http.Header {
		return http.Header{"Request-Id": {call.ID}}
	},
	Decode: func(_ int, h http.Header) gateway.UpstreamResponse {
		return gateway.UpstreamResponse{ID: h.Get("Request-Id"), Stamp: h.Get("X-Stamp"), NotRun: h.Get("Not-Run") != ""}
	},
}

// copyingUpstream is an upstream that does not run the first requests, and sends each response to them a second time,
// where a later response on the connection is due.
type copyingUpstream struct {
	*catalog.Upstream
	// status and headers are those of the first responses, of which there are failures.
	status   int
	headers  string
	failures int
	// late is how many other responses come between the copies.
	late int
	// elsewhere sends the second copies on whichever connection carries the next request.
	elsewhere bool
	// unnamed leaves the ID out of the second copies.
	unnamed bool

	mu       sync.Mutex
	arrivals int
	// kept is what is sent on the next connection, if elsewhere is set.
	kept string
	// runs counts the requests that it ran, by their ID.
	runs map[string]int
}

func (u *copyingUpstream) start() {
	u.runs = make(map[string]int)
	u.Upstream = &catalog.Upstream{ID: "u", Service: "s", Address: suite.ServeConns(u.serve), Slots: 2}
}

func (u *copyingUpstream) serve(c net.Conn) {
	reader := bufio.NewReader(c)
	// copies are what is sent before the later responses, by their number.
	copies := make(map[int]string)
	for number := 0; ; number++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		response, copied := u.handle(r.Header.Get("Request-Id"))
		if u.elsewhere {
			copies[number], copied = u.swapKept(copied), ""
		}
		copies[number+u.late+1] = copied
		if _, err := io.WriteString(c, copies[number]+response); err != nil {
			return
		}
	}
}

// handle returns the response to a request, and what is sent again later.
func (u *copyingUpstream) handle(id string) (response, copied string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.arrivals++
	named := "Request-Id: " + id + "\r\n"
	if u.arrivals > u.failures {
		u.runs[id]++

		return "HTTP/1.1 200 OK\r\n" + named + "X-Stamp: s\r\nContent-Length: 16\r\n\r\n" + fmt.Sprintf("%16s", id), ""
	}
	start := fmt.Sprintf("HTTP/1.1 %d Failed\r\n%sContent-Length: 0\r\n", u.status, u.headers)
	if u.unnamed {
		return start + named + "\r\n", start + "\r\n"
	}

	return start + named + "\r\n", start + named + "\r\n"
}

// swapKept returns what was kept, and keeps a response in its place.
func (u *copyingUpstream) swapKept(copied string) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	kept := u.kept
	u.kept = copied

	return kept
}

func (u *copyingUpstream) ran(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()

	return u.runs[id]
}

const rejected = "Not-Run: 1\r\n"

// Guards against a second copy of a response that is taken for the response to a later send of the same request: the
// request of review/6 ran twice, or ran and was answered as not run.
var _ = Describe("a response that arrives twice", func() {
	// brief is the time of a request that is rejected.
	const brief = 100 * clock.Millisecond
	now := timer.NewClock()
	const retries, noRetries = true, false
	newGateway := func(u *copyingUpstream, route catalog.Route, retries bool) *gateway.Gateway {
		u.start()
		route.Host, route.Prefix, route.Attempts = "h", "/", 2
		if !route.Gathers() {
			route.Service = "s"
		}
		route.Objective, route.Timeout = clock.Second, 5*clock.Second
		config := catalog.NewConfig(1, 1, []catalog.Route{route}, []catalog.Service{{Name: "s"}}, catalog.Limits{})
		view := catalog.NewView(config, []*catalog.Upstream{u.Upstream}, nil)

		options := newOptions(func() *catalog.View { return view }, labelledCodec)
		if !retries {
			options.Policy.RetryRatio, options.Policy.RetrySlack = 0, 0
		}

		return gateway.New(options)
	}
	send := func(g *gateway.Gateway, id string, wait clock.Milli) gateway.Response {
		response := g.Serve(context.Background(), &gateway.Call{
			ID: id, Method: http.MethodPost, Host: "h", Target: "/x", Path: "/x", Header: http.Header{}, Arrived: now(), Timeout: wait,
		})
		response.Release()

		return response
	}
	expectRunOnce := func(u *copyingUpstream, response gateway.Response, id string) {
		Expect(response.Refusal).To(BeNil())
		Expect(response.Forwarded.Status).To(Equal(http.StatusOK))
		Expect(string(response.Forwarded.Body)).To(HaveSuffix(id))
		Expect(u.ran(id)).To(Equal(1))
	}

	It("does not reject the next send of a request that may be repeated", func() {
		u := &copyingUpstream{status: http.StatusServiceUnavailable, headers: rejected, failures: 1}
		g := newGateway(u, catalog.Route{Name: "safe", Idempotent: true}, retries)
		expectRunOnce(u, send(g, "r", 3*clock.Second), "r")
	})

	for _, c := range []struct {
		name      string
		elsewhere bool
	}{{"the same connection", false}, {"another connection", true}} {
		It("does not hide that a request runs that may run once only, if it comes on "+c.name, func() {
			u := &copyingUpstream{
				status: http.StatusServiceUnavailable, headers: rejected, failures: 1, elsewhere: c.elsewhere,
			}
			g := newGateway(u, catalog.Route{Name: "unsafe"}, retries)
			response := send(g, "r", clock.Second)
			Expect(u.ran("r")).To(BeZero())
			Expect(response.Refusal).To(HaveField("Run", reason.NotExecuted))
			expectRunOnce(u, send(g, "next", 3*clock.Second), "next")
		})
	}

	for _, c := range []struct {
		name    string
		status  int
		headers string
	}{
		{"a rejection", http.StatusServiceUnavailable, rejected},
		{"a rejection for the rate of requests", http.StatusTooManyRequests, rejected},
		{"a failure", http.StatusInternalServerError, "X-Stamp: s\r\n"},
		{"a failure without signature", http.StatusInternalServerError, ""},
		{"an upstream that gave up", http.StatusGatewayTimeout, "X-Stamp: s\r\n"},
	} {
		It("is not taken for the answer when the caller sends the ID again after "+c.name, func() {
			u := &copyingUpstream{status: c.status, headers: c.headers, failures: 1}
			g := newGateway(u, catalog.Route{Name: "unsafe"}, noRetries)
			send(g, "r", brief)
			expectRunOnce(u, send(g, "r", 3*clock.Second), "r")
		})
	}

	It("is not taken for the answer after other requests on the connection", func() {
		const others = 40
		u := &copyingUpstream{status: http.StatusServiceUnavailable, headers: rejected, failures: 1, late: others}
		g := newGateway(u, catalog.Route{Name: "unsafe"}, noRetries)
		send(g, "r", brief)
		for i := range others {
			id := fmt.Sprint("other", i)
			expectRunOnce(u, send(g, id, 3*clock.Second), id)
		}
		expectRunOnce(u, send(g, "r", 3*clock.Second), "r")
	})

	It("is not taken for a rejection of another request if it has no ID", func() {
		u := &copyingUpstream{status: http.StatusServiceUnavailable, headers: rejected, failures: 1, unnamed: true}
		g := newGateway(u, catalog.Route{Name: "unsafe"}, noRetries)
		send(g, "first", brief)
		response := send(g, "r", 500*clock.Millisecond)
		Expect(u.ran("r")).To(Equal(1))
		if response.Refusal != nil {
			Expect(response.Refusal.Run).NotTo(Equal(reason.NotExecuted))
		}
	})

	It("does not reject the next leg of a gathering request", func() {
		u := &copyingUpstream{status: http.StatusServiceUnavailable, headers: rejected, failures: 1}
		route := catalog.Route{Name: "all", Idempotent: true, Shards: []string{"s"}, Top: 1, MinCoverage: 1}
		response := send(newGateway(u, route, retries), "r", 3*clock.Second)
		Expect(response.Refusal).To(BeNil())
		Expect(response.Stamps).To(Equal([]string{"s"}))
		Expect(string(response.Body)).To(HaveSuffix("r"))
		Expect(u.ran("r")).To(Equal(1))
	})

	It("does not reject a leg that another daemon sends again", func() {
		u := &copyingUpstream{status: http.StatusServiceUnavailable, headers: rejected, failures: 1}
		g := newGateway(u, catalog.Route{Name: "safe", Idempotent: true}, noRetries)
		call := &gateway.Call{ID: "r", Method: http.MethodGet, Host: "h", Target: "/x", Path: "/x", Arrived: now()}
		results := make([]gateway.RelayResult, 0, 2)
		for number := range 2 {
			legs := []gateway.RelayLeg{{Number: number, Upstream: *u.Upstream, Timeout: clock.Second}}
			g.SendLegs(context.Background(), call, legs, 0, 1, func(r gateway.RelayResponse) { results = append(results, r.Results...) })
		}
		Expect(results).To(HaveLen(2))
		Expect(results[0].Result.OK).To(BeFalse())
		Expect(results[1].Result.OK).To(BeTrue())
		Expect(u.ran("r")).To(Equal(1))
	})
})
