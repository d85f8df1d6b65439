package gateway_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/core/event"
	"jacinthferry/core/quarantine"
	"jacinthferry/core/reason"
	"jacinthferry/io/gateway"
	"jacinthferry/io/timer"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// crashingServer is an upstream that crashes when it runs a request for a path below /poison, breaks the
// connection of one below /break, or below /gate once that is open, and does not respond to one below /long.
type crashingServer struct {
	upstream *catalog.Upstream
	address  string
	server   atomic.Pointer[http.Server]
	runs     atomic.Int64
	// accepted is the number of connections.
	accepted atomic.Int64
	// gate holds the requests below /gate back until it is closed.
	gate chan struct{}
}

func newCrashingServer(id, service string) *crashingServer {
	s := &crashingServer{address: "127.0.0.1:0", gate: make(chan struct{})}
	s.start()
	s.upstream = &catalog.Upstream{ID: id, Service: service, Address: s.address, Slots: 2}
	DeferCleanup(s.stop)

	return s
}

func (s *crashingServer) start() {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", s.address)
	Expect(err).NotTo(HaveOccurred())
	s.address = listener.Addr().String()
	server := &http.Server{
		Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: time.Minute,
		ConnState: func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				s.accepted.Add(1)
			}
		},
	}
	s.server.Store(server)
	go func() { _ = server.Serve(listener) }()
}

func (s *crashingServer) stop() { _ = s.server.Load().Close() }

func (s *crashingServer) serve(_ http.ResponseWriter, r *http.Request) {
	s.runs.Add(1)
	switch {
	case strings.HasPrefix(r.URL.Path, "/poison"):
		s.stop()
		panic(http.ErrAbortHandler)
	case strings.HasPrefix(r.URL.Path, "/gate"):
		<-s.gate
		panic(http.ErrAbortHandler)
	case strings.HasPrefix(r.URL.Path, "/break"):
		panic(http.ErrAbortHandler)
	case strings.HasPrefix(r.URL.Path, "/long"):
		<-r.Context().Done()
	}
}

// warningList collects the warnings of a gateway.
type warningList struct {
	mu       sync.Mutex
	warnings []quarantine.Warning
}

func (l *warningList) add(w quarantine.Warning) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.warnings = append(l.warnings, w)
}

func (l *warningList) list() []quarantine.Warning {
	l.mu.Lock()
	defer l.mu.Unlock()

	return slices.Clone(l.warnings)
}

var _ = Describe("a request whose upstreams crash while running it", func() {
	var first, second *crashingServer
	var warnings *warningList
	var g *gateway.Gateway
	var recorded *recorder

	var view atomic.Pointer[catalog.View]
	// setView sets the only route and the registered upstreams.
	setView := func(route catalog.Route, upstreams ...*catalog.Upstream) {
		route.Host, route.Prefix = "h", "/"
		route.Timeout, route.Objective, route.Attempts = 500*clock.Millisecond, 250*clock.Millisecond, 2
		config := catalog.NewConfig(1, 1, []catalog.Route{route}, []catalog.Service{{Name: "a"}, {Name: "b"}}, catalog.Limits{})
		view.Store(catalog.NewView(config, upstreams, nil))
	}
	// setUpGateway sets up a gateway for an idempotent route to the two upstreams.
	setUpGateway := func(route catalog.Route) {
		route.Idempotent = true
		setView(route, first.upstream, second.upstream)
		warnings = &warningList{}
		recorded = &recorder{}
		options := newOptions(view.Load, plainCodec)
		options.Record, options.OnCrash = recorded.record, warnings.add
		options.Policy.RetryRatio, options.Policy.RetrySlack = 0.2, 50
		g = gateway.New(options)
	}
	send := func(ctx context.Context, path string) gateway.Response {
		return g.Serve(ctx, &gateway.Call{
			ID: "r", Method: http.MethodGet, Host: "h", Target: path, Path: path, Header: http.Header{}, Arrived: timer.NewClock()(),
		})
	}
	// quarantines returns how many requests were put into quarantine.
	quarantines := func() int {
		n := 0
		for _, e := range recorded.list() {
			if e.Kind == event.Quarantine && e.Reason == reason.Quarantine {
				n++
			}
		}

		return n
	}
	totalRuns := func() int64 { return first.runs.Load() + second.runs.Load() }

	It("is refused as not run after two upstreams crashed in turn, while others are served", func(ctx SpecContext) {
		first, second = newCrashingServer("u1", "a"), newCrashingServer("u2", "a")
		setUpGateway(catalog.Route{Service: "a"})
		Expect(send(ctx, "/poison/1").Refusal).NotTo(BeNil())
		Eventually(quarantines).Should(Equal(1))
		first.start()
		second.start()
		before := totalRuns()
		for range 5 {
			answer := send(ctx, "/poison/1")
			Expect(answer.Refusal.Reason).To(Equal(reason.Quarantine))
			Expect(answer.Refusal.Run).To(Equal(reason.NotExecuted))
		}
		Expect(totalRuns()).To(Equal(before))
		Eventually(func() *reason.Refusal { return send(ctx, "/other").Refusal }).Should(BeNil())
	})

	It("is refused once another daemon has found it to crash upstreams", func(ctx SpecContext) {
		first, second = newCrashingServer("u1", "a"), newCrashingServer("u2", "a")
		setUpGateway(catalog.Route{Service: "a"})
		for process := range uint64(2) {
			g.MergeWarning(quarantine.Warning{
				Fingerprint: quarantine.FingerprintOf("", "GET h/poison/1\n"), Crashes: []uint64{process}, Remaining: clock.Second,
			})
		}
		Expect(send(ctx, "/poison/1").Refusal.Reason).To(Equal(reason.Quarantine))
		Expect(send(ctx, "/other").Refusal).To(BeNil())
	})

	It("is named in the log by a fingerprint that its resends share", func(ctx SpecContext) {
		first, second = newCrashingServer("u1", "a"), newCrashingServer("u2", "a")
		setUpGateway(catalog.Route{Service: "a"})
		send(ctx, "/poison/1")
		Eventually(quarantines).Should(Equal(1))
		send(ctx, "/poison/1")
		prints := map[string]int{}
		for _, e := range recorded.list() {
			if e.Print != "" {
				prints[e.Print]++
			}
		}
		// Two crashes, the verdict and a refusal.
		Expect(prints).To(Equal(map[string]int{quarantine.FingerprintOf("", "GET h/poison/1\n").String(): 4}))
	})

	It("stays refused after its route moved to another service", func(ctx SpecContext) {
		first, second = newCrashingServer("u1", "a"), newCrashingServer("u2", "a")
		setUpGateway(catalog.Route{Service: "a"})
		send(ctx, "/poison/1")
		Eventually(quarantines).Should(Equal(1))
		moved := newCrashingServer("u3", "b")
		setView(catalog.Route{Service: "b"}, moved.upstream)
		Expect(send(ctx, "/poison/1").Refusal.Reason).To(Equal(reason.Quarantine))
		Expect(moved.runs.Load()).To(BeZero())
		Expect(send(ctx, "/other").Refusal).To(BeNil())
	})

	It("is found among other requests that ran on the same upstreams", func(ctx SpecContext) {
		first, second = newCrashingServer("u1", "a"), newCrashingServer("u2", "a")
		setUpGateway(catalog.Route{Service: "a"})
		for i, u := range []*crashingServer{first, second} {
			setView(catalog.Route{Service: "a"}, u.upstream)
			var open sync.WaitGroup
			for n := range 10 {
				open.Go(func() { send(ctx, fmt.Sprintf("/long/%d/%d", i, n)) })
			}
			Eventually(u.runs.Load).Should(BeEquivalentTo(10))
			send(ctx, "/poison/1")
			open.Wait()
		}
		Eventually(quarantines).Should(Equal(1))
		first.start()
		setView(catalog.Route{Service: "a"}, first.upstream)
		before := first.runs.Load()
		Expect(send(ctx, "/poison/1").Refusal.Reason).To(Equal(reason.Quarantine))
		Expect(first.runs.Load()).To(Equal(before))
	})

	It("is reported to the other daemons from the first crash on", func(ctx SpecContext) {
		first, second = newCrashingServer("u1", "a"), newCrashingServer("u2", "a")
		setUpGateway(catalog.Route{Service: "a"})
		setView(catalog.Route{Service: "a"}, first.upstream)
		send(ctx, "/poison/1")
		Eventually(warnings.list).Should(HaveLen(1))
		p := quarantine.FingerprintOf("", "GET h/poison/1\n")
		Expect(warnings.list()[0].Fingerprint).To(Equal(p))
		g.MergeWarning(quarantine.Warning{Fingerprint: p, Crashes: []uint64{1}, Remaining: clock.Minute})
		Expect(send(ctx, "/poison/1").Refusal.Reason).To(Equal(reason.Quarantine))
	})

	It("is not refused when upstreams only break its connections", func(ctx SpecContext) {
		first, second = newCrashingServer("u1", "a"), newCrashingServer("u2", "a")
		setUpGateway(catalog.Route{Service: "a"})
		for range 6 {
			Expect(send(ctx, "/break").Refusal.Reason).NotTo(Equal(reason.Quarantine))
		}
		Consistently(warnings.list, "300ms").Should(BeEmpty())
	})

	It("shares one probe of the upstream with the other requests whose connections it broke", func(ctx SpecContext) {
		first, second = newCrashingServer("u1", "a"), newCrashingServer("u2", "a")
		setUpGateway(catalog.Route{Service: "a"})
		setView(catalog.Route{Service: "a"}, first.upstream)
		const together = 20
		var open sync.WaitGroup
		for n := range together {
			open.Go(func() { send(ctx, fmt.Sprintf("/gate/%d", n)) })
		}
		Eventually(first.runs.Load).Should(BeEquivalentTo(together))
		close(first.gate)
		open.Wait()
		// Connections that break after the first probe share a second one.
		Consistently(first.accepted.Load, "1s").Should(BeNumerically("<=", together+2))
	})

	It("is not refused when its upstreams crashed at the same time", func(ctx SpecContext) {
		first, second = newCrashingServer("u1", "a"), newCrashingServer("u2", "b")
		setUpGateway(catalog.Route{Shards: []string{"a", "b"}, MinCoverage: 1, Top: 1})
		done := make(chan gateway.Response, 1)
		go func() { done <- send(ctx, "/long") }()
		Eventually(totalRuns).Should(BeEquivalentTo(2))
		first.stop()
		second.stop()
		Eventually(done, "5s").Should(Receive())
		Expect(send(ctx, "/long").Refusal.Reason).NotTo(Equal(reason.Quarantine))
		Expect(quarantines()).To(BeZero(), fmt.Sprint(totalRuns()))
	})
})
