package relay_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/coder/websocket"

	"jacinthferry/core/balance"
	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/core/gather"
	"jacinthferry/core/reason"
	"jacinthferry/io/gateway"
	"jacinthferry/io/relay"
	"jacinthferry/io/timer"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const generous = 5 * time.Second

var now = timer.New()

// job is what a server is asked to send.
type job struct {
	ctx  context.Context
	call *gateway.Call
	legs []gateway.RelayLeg
	wait clock.Milli
	top  int
	send func(gateway.Delivery)
	// done lets the server go on.
	done chan struct{}
}

// far is a daemon that sends legs for others. What it is asked waits in asked.
type far struct {
	server *httptest.Server
	asked  chan *job
}

func newFar() *far {
	f := &far{asked: make(chan *job, 10)}
	f.server = httptest.NewServer(&relay.Server{Now: now, Send: func(
		ctx context.Context, call *gateway.Call, legs []gateway.RelayLeg, wait clock.Milli, top int, send func(gateway.Delivery),
	) {
		e := &job{ctx, call, legs, wait, top, send, make(chan struct{})}
		f.asked <- e
		select {
		case <-e.done:
		case <-time.After(generous):
		}
	}})
	DeferCleanup(f.server.CloseClientConnections)

	return f
}

func (f *far) address() string { return strings.TrimPrefix(f.server.URL, "http://") }

func newLinks(addresses ...string) *relay.Links {
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)

	return relay.NewLinks(ctx, now, http.DefaultClient, "self", func(string) []string { return addresses })
}

// call is a call with all that is passed on.
var call = &gateway.Call{
	ID: "r", Method: http.MethodPost, Host: "h", Target: "/a%2Fb?c", Header: http.Header{"X-Own": {"1", "2"}},
	Body: []byte{0, 255},
}

func newGroup(left clock.Milli) *gather.Group {
	g := &gather.Group{Zone: "b", Wait: 20, Top: 5}
	for n, id := range []string{"u0", "u1"} {
		g.Legs = append(g.Legs, gather.Action{
			Kind: gather.Send, Number: n + 3, Deadline: now() + left,
			Upstream: &catalog.Upstream{ID: id, Born: 7, Service: "s", Address: "10.0.0.1:80", Zone: "b", Slots: 2},
		})
	}

	return g
}

// hand hands a group over as soon as a link is open, and returns how to give it up.
func hand(k *relay.Links, g *gather.Group, deliver func(gateway.Delivery)) (cancel func()) {
	Eventually(func() bool {
		var ok bool
		cancel, ok = k.Send(call, g, deliver)

		return ok
	}).WithTimeout(generous).Should(BeTrue())

	return cancel
}

var _ = Describe("A link", func() {
	It("passes a call and its legs on, and brings back what came of them", func() {
		f := newFar()
		k := newLinks(f.address())
		back := make(chan gateway.Delivery, 2)
		_, ok := k.Send(call, newGroup(clock.Second), nil)
		Expect(ok).To(BeFalse(), "no link is open yet")
		hand(k, newGroup(clock.Second), func(d gateway.Delivery) { back <- d })
		e := <-f.asked
		Expect(e.call.ID).To(Equal(call.ID))
		Expect(e.call.Method).To(Equal(call.Method))
		Expect(e.call.Host).To(Equal(call.Host))
		Expect(e.call.Target).To(Equal(call.Target))
		Expect(e.call.Header).To(Equal(call.Header))
		Expect(e.call.Body).To(Equal(call.Body))
		Expect(e.wait).To(Equal(clock.Milli(20)))
		Expect(e.top).To(Equal(5))
		Expect(e.legs).To(HaveLen(2))
		Expect(e.legs[0].Number).To(Equal(3))
		Expect(e.legs[0].Upstream).To(Equal(*newGroup(clock.Second).Legs[0].Upstream))
		Expect(e.legs[0].Left).To(BeNumerically("~", clock.Second, 200))
		good := gateway.Part{Number: 3, Stamp: "s", Cold: 40, Result: gather.Result{
			Good: true, Sent: true, Run: reason.Yes, Held: 6, Load: &balance.Load{Running: 1, Waiting: 2, Slots: 3},
		}}
		failed := gateway.Part{Number: 4, Result: gather.Result{Run: reason.No, Reason: reason.Overload, Sent: true}}
		e.send(gateway.Delivery{Parts: []gateway.Part{failed}})
		Expect(<-back).To(Equal(gateway.Delivery{Parts: []gateway.Part{failed}}))
		e.send(gateway.Delivery{Parts: []gateway.Part{good}, Body: []byte("records")})
		Expect(<-back).To(Equal(gateway.Delivery{Parts: []gateway.Part{good}, Body: []byte("records")}))
		close(e.done)
	})

	It("brings one result a leg, whatever comes", func() {
		f := newFar()
		back := make(chan gateway.Delivery, 3)
		hand(newLinks(f.address()), newGroup(clock.Second), func(d gateway.Delivery) { back <- d })
		e := <-f.asked
		part := func(n int) gateway.Part { return gateway.Part{Number: n, Result: gather.Result{Sent: true}} }
		e.send(gateway.Delivery{Parts: []gateway.Part{part(3), part(3), part(99)}})
		Expect((<-back).Parts).To(HaveLen(1))
		e.send(gateway.Delivery{Parts: []gateway.Part{part(3), part(4)}})
		Expect((<-back).Parts).To(Equal([]gateway.Part{part(4)}))
		close(e.done)
	})

	It("takes its open legs as failed, run or not, when it closes", func() {
		f := newFar()
		back := make(chan gateway.Delivery, 1)
		hand(newLinks(f.address()), newGroup(clock.Second), func(d gateway.Delivery) { back <- d })
		e := <-f.asked
		f.server.CloseClientConnections()
		_ = f.server.Listener.Close()
		// The server does not close connections that became links.
		Expect(e.ctx.Err()).NotTo(HaveOccurred())
		Eventually(back).WithTimeout(generous).Should(Receive(HaveField("Parts", ConsistOf(
			HaveField("Result", gather.Result{Sent: true, Run: reason.Unknown, Reason: reason.Peer}),
			HaveField("Result", gather.Result{Sent: true, Run: reason.Unknown, Reason: reason.Peer}),
		))))
		Eventually(e.ctx.Done()).WithTimeout(generous).Should(BeClosed(), "what runs for it is cancelled")
	})

	It("cancels what nobody waits for", func() {
		f := newFar()
		cancel := hand(newLinks(f.address()), newGroup(clock.Second), func(gateway.Delivery) {})
		e := <-f.asked
		cancel()
		Eventually(e.ctx.Done()).WithTimeout(generous).Should(BeClosed())
	})

	It("is closed when nothing is heard of a group", func() {
		f := newFar()
		back := make(chan gateway.Delivery, 1)
		hand(newLinks(f.address()), newGroup(clock.Minute), func(d gateway.Delivery) { back <- d })
		<-f.asked
		Eventually(back).WithTimeout(generous).Should(Receive(HaveField("Parts", HaveLen(2))))
	})

	It("stays open while the other daemon says that it is at work", func() {
		f := newFar()
		back := make(chan gateway.Delivery, 2)
		hand(newLinks(f.address()), newGroup(clock.Second), func(d gateway.Delivery) { back <- d })
		e := <-f.asked
		e.send(gateway.Delivery{})
		Expect((<-back).Parts).To(BeEmpty())
		Consistently(e.ctx.Err).WithTimeout(300 * time.Millisecond).ShouldNot(HaveOccurred())
		close(e.done)
	})

	It("is not used where there is no daemon, or none that answers", func() {
		_, ok := newLinks().Send(call, newGroup(clock.Second), nil)
		Expect(ok).To(BeFalse())
		k := newLinks("127.0.0.1:1")
		for range 3 {
			_, ok = k.Send(call, newGroup(clock.Second), nil)
			Expect(ok).To(BeFalse())
			time.Sleep(20 * time.Millisecond)
		}
	})

	It("is closed by messages that are none", func() {
		f := newFar()
		for _, text := range []string{"", "nonsense", "\xa0", strings.Repeat("\x9f", 1000)} {
			//nolint:bodyclose // A link's body is empty.
			c, _, err := websocket.Dial(context.Background(), f.server.URL+relay.Path, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(c.Write(context.Background(), websocket.MessageBinary, []byte(text))).To(Succeed())
			ctx, cancel := context.WithTimeout(context.Background(), generous)
			_, _, err = c.Read(ctx)
			cancel()
			Expect(err).To(HaveOccurred(), text)
			Expect(ctx.Err()).NotTo(MatchError(context.DeadlineExceeded), text)
			_ = c.CloseNow()
		}
	})
})
