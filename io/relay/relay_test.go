package relay_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"jacinthferry/core/balance"
	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/core/gather"
	"jacinthferry/core/quarantine"
	"jacinthferry/core/reason"
	"jacinthferry/io/gateway"
	"jacinthferry/io/relay"
	"jacinthferry/io/timer"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// timeout bounds a wait for something that must happen.
const timeout = 5 * time.Second

var now = timer.NewClock()

// relayedCall is a call whose legs the server is to send.
type relayedCall struct {
	ctx  context.Context
	call *gateway.Call
	legs []gateway.RelayLeg
	wait clock.Milli
	top  int
	send func(gateway.RelayResponse)
	// done is closed to end the sending.
	done chan struct{}
}

// remoteDaemon is a daemon that sends legs for others. Its calls channel holds the calls that it gets.
type remoteDaemon struct {
	server   *httptest.Server
	calls    chan *relayedCall
	warnings chan quarantine.Warning
}

func newRemoteDaemon() *remoteDaemon {
	d := &remoteDaemon{calls: make(chan *relayedCall, 10), warnings: make(chan quarantine.Warning, 200)}
	warn := func(w quarantine.Warning) { d.warnings <- w }
	d.server = httptest.NewServer(&relay.Server{Now: now, Warn: warn, SendLegs: func(
		ctx context.Context, call *gateway.Call, legs []gateway.RelayLeg, wait clock.Milli, top int, send func(gateway.RelayResponse),
	) {
		c := &relayedCall{ctx, call, legs, wait, top, send, make(chan struct{})}
		d.calls <- c
		select {
		case <-c.done:
		case <-time.After(timeout):
		}
	}})
	DeferCleanup(d.server.CloseClientConnections)

	return d
}

func (d *remoteDaemon) address() string { return strings.TrimPrefix(d.server.URL, "http://") }

func newClient(addresses ...string) *relay.Client {
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)

	return relay.NewClient(ctx, now, http.DefaultClient, "self", func(string) []string { return addresses },
		func() []string { return addresses })
}

// call sets all fields that are relayed.
var call = &gateway.Call{
	ID: "r", Method: http.MethodPost, Host: "h", Target: "/a%2Fb?c", Header: http.Header{"X-Own": {"1", "2"}},
	Body: []byte{0, 255},
}

func newGroup(legTimeout clock.Milli) *gather.ZoneGroup {
	g := &gather.ZoneGroup{Zone: "b", MergeWait: 20, Top: 5}
	for n, id := range []string{"u0", "u1"} {
		g.Legs = append(g.Legs, gather.Action{
			Kind: gather.Send, Number: n + 3, Deadline: now() + legTimeout,
			Upstream: &catalog.Upstream{ID: id, StartUnixMilli: 7, Service: "s", Address: "10.0.0.1:80", Zone: "b", Slots: 2},
		})
	}

	return g
}

// sendWhenConnected sends a group as soon as a connection is open, and returns the function that cancels it.
func sendWhenConnected(c *relay.Client, g *gather.ZoneGroup, deliver func(gateway.RelayResponse)) (cancel func()) {
	Eventually(func() bool {
		var ok bool
		cancel, ok = c.Send(call, g, deliver)

		return ok
	}).WithTimeout(timeout).Should(BeTrue())

	return cancel
}

var _ = Describe("A relay connection", func() {
	It("relays a call with its legs and returns the results", func() {
		remote := newRemoteDaemon()
		client := newClient(remote.address())
		responses := make(chan gateway.RelayResponse, 2)
		_, ok := client.Send(call, newGroup(clock.Second), nil)
		Expect(ok).To(BeFalse(), "no connection is open yet")
		sendWhenConnected(client, newGroup(clock.Second), func(d gateway.RelayResponse) { responses <- d })
		relayed := <-remote.calls
		Expect(relayed.call.ID).To(Equal(call.ID))
		Expect(relayed.call.Method).To(Equal(call.Method))
		Expect(relayed.call.Host).To(Equal(call.Host))
		Expect(relayed.call.Target).To(Equal(call.Target))
		Expect(relayed.call.Header).To(Equal(call.Header))
		Expect(relayed.call.Body).To(Equal(call.Body))
		Expect(relayed.wait).To(Equal(clock.Milli(20)))
		Expect(relayed.top).To(Equal(5))
		Expect(relayed.legs).To(HaveLen(2))
		Expect(relayed.legs[0].Number).To(Equal(3))
		Expect(relayed.legs[0].Upstream).To(Equal(*newGroup(clock.Second).Legs[0].Upstream))
		Expect(relayed.legs[0].Timeout).To(BeNumerically("~", clock.Second, 200))
		limit := balance.RateLimit(16.5)
		succeeded := gateway.RelayResult{Number: 3, Stamp: "s", Warmup: 40, Result: gather.Result{
			OK: true, Sent: true, Run: reason.Executed, MergeDelay: 6, Load: &balance.Load{Running: 1, Waiting: 2, Slots: 3},
			Limit: &limit, Leaving: true,
		}}
		failed := gateway.RelayResult{Number: 4, Result: gather.Result{
			Run: reason.NotExecuted, Reason: reason.Overload, Sent: true, Pause: 1500,
		}}
		relayed.send(gateway.RelayResponse{Results: []gateway.RelayResult{failed}})
		Expect(<-responses).To(Equal(gateway.RelayResponse{Results: []gateway.RelayResult{failed}}))
		relayed.send(gateway.RelayResponse{Results: []gateway.RelayResult{succeeded}, Body: []byte("records")})
		Expect(<-responses).To(Equal(gateway.RelayResponse{Results: []gateway.RelayResult{succeeded}, Body: []byte("records")}))
		close(relayed.done)
	})

	It("delivers one result for each leg and drops duplicate and unknown ones", func() {
		remote := newRemoteDaemon()
		responses := make(chan gateway.RelayResponse, 3)
		sendWhenConnected(newClient(remote.address()), newGroup(clock.Second), func(d gateway.RelayResponse) { responses <- d })
		relayed := <-remote.calls
		result := func(n int) gateway.RelayResult {
			return gateway.RelayResult{Number: n, Result: gather.Result{Sent: true}}
		}
		relayed.send(gateway.RelayResponse{Results: []gateway.RelayResult{result(3), result(3), result(99)}})
		Expect((<-responses).Results).To(HaveLen(1))
		relayed.send(gateway.RelayResponse{Results: []gateway.RelayResult{result(3), result(4)}})
		Expect((<-responses).Results).To(Equal([]gateway.RelayResult{result(4)}))
		close(relayed.done)
	})

	It("fails its pending legs when it closes, with unknown execution", func() {
		remote := newRemoteDaemon()
		responses := make(chan gateway.RelayResponse, 1)
		sendWhenConnected(newClient(remote.address()), newGroup(clock.Second), func(d gateway.RelayResponse) { responses <- d })
		relayed := <-remote.calls
		remote.server.CloseClientConnections()
		_ = remote.server.Listener.Close()
		// The test server does not close connections that were upgraded to WebSockets.
		Expect(relayed.ctx.Err()).NotTo(HaveOccurred())
		Eventually(responses).WithTimeout(timeout).Should(Receive(HaveField("Results", ConsistOf(
			HaveField("Result", gather.Result{Sent: true, Run: reason.ExecutionUnknown, Reason: reason.Peer}),
			HaveField("Result", gather.Result{Sent: true, Run: reason.ExecutionUnknown, Reason: reason.Peer}),
		))))
		Eventually(relayed.ctx.Done()).WithTimeout(timeout).Should(BeClosed(), "the relayed legs are cancelled")
	})

	It("cancels the legs of a cancelled group", func() {
		remote := newRemoteDaemon()
		cancel := sendWhenConnected(newClient(remote.address()), newGroup(clock.Second), func(gateway.RelayResponse) {})
		relayed := <-remote.calls
		cancel()
		Eventually(relayed.ctx.Done()).WithTimeout(timeout).Should(BeClosed())
	})

	It("is closed when there is no response for a group in time", func() {
		remote := newRemoteDaemon()
		responses := make(chan gateway.RelayResponse, 1)
		sendWhenConnected(newClient(remote.address()), newGroup(clock.Minute), func(d gateway.RelayResponse) { responses <- d })
		<-remote.calls
		Eventually(responses).WithTimeout(timeout).Should(Receive(HaveField("Results", HaveLen(2))))
	})

	It("stays open after an empty response, which tells that the remote daemon is at work", func() {
		remote := newRemoteDaemon()
		responses := make(chan gateway.RelayResponse, 2)
		sendWhenConnected(newClient(remote.address()), newGroup(clock.Second), func(d gateway.RelayResponse) { responses <- d })
		relayed := <-remote.calls
		relayed.send(gateway.RelayResponse{})
		Expect((<-responses).Results).To(BeEmpty())
		Consistently(relayed.ctx.Err).WithTimeout(300 * time.Millisecond).ShouldNot(HaveOccurred())
		close(relayed.done)
	})

	It("warns the remote daemon of requests that crash upstreams, also of those before it opened", func() {
		remote := newRemoteDaemon()
		client := newClient(remote.address())
		before := quarantine.Warning{Fingerprint: 7, Crashes: []uint64{1, 1<<64 - 1}, Remaining: quarantine.Period}
		after := quarantine.Warning{Fingerprint: 8, Crashes: []uint64{3}, Remaining: clock.Second}
		client.Warn(before)
		Eventually(remote.warnings).WithTimeout(timeout).Should(Receive(Equal(before)))
		client.Warn(after)
		Eventually(remote.warnings).WithTimeout(timeout).Should(Receive(Equal(after)))
	})

	It("carries no warning that is invalid, and a limited number when it opens", func() {
		remote := newRemoteDaemon()
		client := newClient(remote.address())
		for n := range quarantine.Fingerprint(100) {
			client.Warn(quarantine.Warning{Fingerprint: n, Crashes: []uint64{1, 2, 3}, Remaining: quarantine.Period})
			client.Warn(quarantine.Warning{Fingerprint: n, Crashes: []uint64{1}, Remaining: quarantine.Period + 1})
			client.Warn(quarantine.Warning{Fingerprint: n, Crashes: []uint64{1}, Remaining: quarantine.Period})
		}
		Eventually(remote.warnings).WithTimeout(timeout).Should(Receive())
		Consistently(func() int { return len(remote.warnings) }, "300ms").Should(BeNumerically("<=", 100))
		for len(remote.warnings) > 0 {
			Expect(<-remote.warnings).To(HaveField("Crashes", HaveLen(1)))
		}
	})

	It("is not available without a reachable peer", func() {
		_, ok := newClient().Send(call, newGroup(clock.Second), nil)
		Expect(ok).To(BeFalse())
		client := newClient("127.0.0.1:1")
		for range 3 {
			_, ok = client.Send(call, newGroup(clock.Second), nil)
			Expect(ok).To(BeFalse())
			time.Sleep(20 * time.Millisecond)
		}
	})

	It("is closed after a second request with the ID of one that is running", func() {
		remote := newRemoteDaemon()
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		DeferCleanup(cancel)
		conn, _, err := websocket.Dial(ctx, remote.server.URL+relay.Path, nil) //nolint:bodyclose // The WebSocket owns it.
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.CloseNow)
		ask, err := cbor.Marshal(map[string]any{"ask": map[string]any{"id": 7, "request": "r"}})
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.Write(ctx, websocket.MessageBinary, ask)).To(Succeed())
		var first *relayedCall
		Eventually(remote.calls).WithTimeout(timeout).Should(Receive(&first))
		Expect(conn.Write(ctx, websocket.MessageBinary, ask)).To(Succeed())
		_, _, err = conn.Read(ctx)
		Expect(err).To(HaveOccurred())
		Expect(ctx.Err()).NotTo(HaveOccurred())
		Eventually(first.ctx.Done()).WithTimeout(timeout).Should(BeClosed())
		Expect(remote.calls).To(BeEmpty())
	})

	It("is closed after an invalid message", func() {
		remote := newRemoteDaemon()
		for _, text := range []string{"", "nonsense", "\xa0", strings.Repeat("\x9f", 1000)} {
			//nolint:bodyclose // A link's body is empty.
			c, _, err := websocket.Dial(context.Background(), remote.server.URL+relay.Path, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(c.Write(context.Background(), websocket.MessageBinary, []byte(text))).To(Succeed())
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			_, _, err = c.Read(ctx)
			cancel()
			Expect(err).To(HaveOccurred(), text)
			Expect(ctx.Err()).NotTo(MatchError(context.DeadlineExceeded), text)
			_ = c.CloseNow()
		}
	})
})

// Guards against messages without end, which a daemon would keep.
var _ = Describe("A relay connection that gets a message over the limit", func() {
	It("is closed", func(ctx SpecContext) {
		remote := newRemoteDaemon()
		conn, response, err := websocket.Dial(ctx, "ws://"+remote.address()+relay.Path, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusSwitchingProtocols))
		defer func() { _ = conn.CloseNow() }()
		written := conn.Write(ctx, websocket.MessageBinary, make([]byte, 9<<20))
		_, _, err = conn.Read(ctx)
		Expect(err).To(HaveOccurred())
		if written == nil {
			Expect(websocket.CloseStatus(err)).To(Equal(websocket.StatusMessageTooBig))
		}
	}, SpecTimeout(timeout))
})

// Guards against bytes that are not UTF-8, in a caller's header or an upstream's signature, which closed the connection
// and failed the legs of all requests on it.
var _ = Describe("A relay connection that carries bytes that are not UTF-8", func() {
	It("stays open and passes them on", func() {
		const odd = "\xff\xfe\x80"
		remote := newRemoteDaemon()
		client := newClient(remote.address())
		responses := make(chan gateway.RelayResponse, 4)
		deliver := func(r gateway.RelayResponse) { responses <- r }
		sendWhenConnected(client, newGroup(clock.Second), deliver)
		first := <-remote.calls
		oddCall := *call
		oddCall.Header = http.Header{"X-Own": {odd}}
		_, ok := client.Send(&oddCall, newGroup(clock.Second), deliver)
		Expect(ok).To(BeTrue())
		var second *relayedCall
		Eventually(remote.calls).WithTimeout(timeout).Should(Receive(&second))
		Expect(second.call.Header).To(Equal(oddCall.Header))
		second.send(gateway.RelayResponse{Results: []gateway.RelayResult{
			{Number: 3, Result: gather.Result{OK: true, Sent: true, Run: reason.Executed}, Stamp: odd},
		}})
		var response gateway.RelayResponse
		Eventually(responses).WithTimeout(timeout).Should(Receive(&response))
		Expect(response.Results[0].Result.OK).To(BeTrue())
		Expect(response.Results[0].Stamp).To(Equal(odd))
		first.send(gateway.RelayResponse{Results: []gateway.RelayResult{
			{Number: 3, Result: gather.Result{OK: true, Sent: true, Run: reason.Executed}},
		}})
		Eventually(responses).WithTimeout(timeout).Should(Receive(&response))
		Expect(response.Results[0].Result.OK).To(BeTrue(), "the other request's legs are not failed")
		close(first.done)
		close(second.done)
	})
})
