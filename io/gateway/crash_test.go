package gateway_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/core/event"
	"jacinthferry/core/gather"
	"jacinthferry/core/quarantine"
	"jacinthferry/core/reason"
	"jacinthferry/io/gateway"
	"jacinthferry/io/timer"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// fragile is an upstream that crashes when it runs a request for a path below /poison, and breaks the
// connection of one below /break.
type fragile struct {
	upstream *catalog.Upstream
	address  string
	server   atomic.Pointer[http.Server]
	runs     atomic.Int64
}

func newFragile(id, service string) *fragile {
	f := &fragile{address: "127.0.0.1:0"}
	f.start()
	f.upstream = &catalog.Upstream{ID: id, Service: service, Address: f.address, Slots: 2}
	DeferCleanup(f.stop)

	return f
}

func (f *fragile) start() {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", f.address)
	Expect(err).NotTo(HaveOccurred())
	f.address = listener.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(f.serve), ReadHeaderTimeout: time.Minute}
	f.server.Store(server)
	go func() { _ = server.Serve(listener) }()
}

func (f *fragile) stop() { _ = f.server.Load().Close() }

func (f *fragile) serve(_ http.ResponseWriter, r *http.Request) {
	f.runs.Add(1)
	switch {
	case strings.HasPrefix(r.URL.Path, "/poison"):
		f.stop()
		panic(http.ErrAbortHandler)
	case strings.HasPrefix(r.URL.Path, "/break"):
		panic(http.ErrAbortHandler)
	case strings.HasPrefix(r.URL.Path, "/long"):
		<-r.Context().Done()
	}
}

var _ = Describe("a request whose upstreams end while they run it", func() {
	var first, second *fragile
	var told atomic.Int64
	var g *gateway.Gateway

	// serve sets up a gateway for a route to the two upstreams.
	serve := func(route catalog.Route) {
		route.Host, route.Prefix, route.Idempotent = "h", "/", true
		route.Timeout, route.Objective, route.Attempts = 500*clock.Millisecond, 250*clock.Millisecond, 2
		config := catalog.NewConfig(1, 1, []catalog.Route{route}, []catalog.Service{{Name: "a"}, {Name: "b"}}, catalog.Limits{})
		view := catalog.NewView(config, []*catalog.Upstream{first.upstream, second.upstream}, nil)
		told.Store(0)
		now := timer.New()
		g = gateway.New(gateway.Ports{
			Now: now, View: func() *catalog.View { return view }, Daemons: func() int { return 1 },
			Heard: now, Record: func(event.Event) {}, Observe: func(string, clock.Milli, bool) {},
			Quarantined: func(quarantine.Print) { told.Add(1) },
			Codec: gateway.Codec{
				Encode: func(*gateway.Call, *catalog.Upstream, clock.Milli) http.Header { return nil },
				Decode: func(int, http.Header) gateway.Reply { return gateway.Reply{Stamp: "s"} },
			},
			Policy: gather.Policy{Extra: 0.2, Slack: 50, Reserve: 5},
		})
	}
	ask := func(ctx context.Context, path string) gateway.Answer {
		return g.Serve(ctx, &gateway.Call{
			ID: "r", Method: http.MethodGet, Host: "h", Target: path, Path: path, Header: http.Header{}, Arrived: timer.New()(),
		})
	}
	runs := func() int64 { return first.runs.Load() + second.runs.Load() }

	It("is refused as not run once two ended one after the other, and others are served", func(ctx SpecContext) {
		first, second = newFragile("u1", "a"), newFragile("u2", "a")
		serve(catalog.Route{Service: "a"})
		Expect(ask(ctx, "/poison/1").Refusal).NotTo(BeNil())
		Eventually(told.Load).Should(BeEquivalentTo(1))
		first.start()
		second.start()
		before := runs()
		for range 5 {
			answer := ask(ctx, "/poison/1")
			Expect(answer.Refusal.Reason).To(Equal(reason.Quarantine))
			Expect(answer.Refusal.Run).To(Equal(reason.No))
		}
		Expect(runs()).To(Equal(before))
		Eventually(func() *reason.Refusal { return ask(ctx, "/other").Refusal }).Should(BeNil())
	})

	It("is refused when another daemon found that", func(ctx SpecContext) {
		first, second = newFragile("u1", "a"), newFragile("u2", "a")
		serve(catalog.Route{Service: "a"})
		g.Quarantine(quarantine.Of("a", "GET h/poison/1\n"))
		Expect(ask(ctx, "/poison/1").Refusal.Reason).To(Equal(reason.Quarantine))
		Expect(ask(ctx, "/poison/2").Refusal.Reason).NotTo(Equal(reason.Quarantine))
	})

	It("is not refused when they only break its connections", func(ctx SpecContext) {
		first, second = newFragile("u1", "a"), newFragile("u2", "a")
		serve(catalog.Route{Service: "a"})
		for range 6 {
			Expect(ask(ctx, "/break").Refusal.Reason).NotTo(Equal(reason.Quarantine))
		}
		Consistently(told.Load, "300ms").Should(BeZero())
	})

	It("is not refused when they ended together", func(ctx SpecContext) {
		first, second = newFragile("u1", "a"), newFragile("u2", "b")
		serve(catalog.Route{Shards: []string{"a", "b"}, Least: 1, Top: 1})
		done := make(chan gateway.Answer, 1)
		go func() { done <- ask(ctx, "/long") }()
		Eventually(runs).Should(BeEquivalentTo(2))
		first.stop()
		second.stop()
		Eventually(done, "5s").Should(Receive())
		Expect(ask(ctx, "/long").Refusal.Reason).NotTo(Equal(reason.Quarantine))
		Expect(told.Load()).To(BeZero(), fmt.Sprint(runs()))
	})
})
