package upstream_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"sync"

	"jacinthferry/core/clock"
	"jacinthferry/core/leg"
	"jacinthferry/core/reason"
	"jacinthferry/core/route"
	"jacinthferry/io/rpc"
	"jacinthferry/io/timer"
	ioupstream "jacinthferry/io/upstream"
	"jacinthferry/standin/records"
	"jacinthferry/standin/upstream"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the upstream stand-in", func() {
	var (
		now     = timer.NewClock()
		u       *upstream.Upstream
		address string
		client  *ioupstream.Client
	)
	start := func(change func(*upstream.Options)) {
		all, err := records.Load()
		Expect(err).NotTo(HaveOccurred())
		o := upstream.Options{
			Name: "one", Service: "markers", Version: "v1", Incarnation: "1", Snapshot: "s", Order: 1, Total: 2,
			Shards: []int{0}, Slots: 2, ColdLimit: 1, ServiceTime: clock.Millisecond, Seed: 1,
		}
		change(&o)
		u = upstream.New(o, all)
		server, err := u.Listen("127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		address = server.Address()
		client = ioupstream.NewClient(address, rpc.NewClient(0), now)
	}
	query := func(id, text string) leg.Leg {
		return leg.Leg{Request: id, Service: "markers", Snapshot: "s", Text: text, Top: 3, Deadline: now() + 10*clock.Second}
	}
	run := func(l leg.Leg) leg.Result { return client.Run(context.Background(), l) }
	refusalOf := func(r leg.Result) reason.Refusal {
		if r.Refusal == nil {
			return reason.Refusal{}
		}

		return reason.Refusal{Reason: r.Refusal.Reason, Run: r.Refusal.Run}
	}
	runConcurrently := func(n int, l leg.Leg) []leg.Result {
		results := make([]leg.Result, n)
		var wg sync.WaitGroup
		for i := range n {
			wg.Go(func() { results[i] = run(l) })
		}
		wg.Wait()

		return results
	}
	BeforeEach(func() { start(func(*upstream.Options) {}) })

	It("answers legs for the shards that it holds and refuses others", func() {
		r := run(query("1", "cairn"))
		Expect(r.Refusal).To(BeNil())
		Expect(r.Answer.Documents).To(HaveLen(3))
		l := query("2", "cairn")
		l.Shard = 1
		Expect(refusalOf(run(l))).To(Equal(reason.Refusal{Reason: reason.Snapshot, Run: reason.NotExecuted}))
		u.SetSnapshots(route.HeldSnapshot{Name: "t", Order: 2, Total: 2, Shards: []int{0, 1}}, route.HeldSnapshot{Name: "s", Order: 1, Total: 2})
		l.Snapshot = "t"
		Expect(run(l).Refusal).To(BeNil())
		report, err := client.Report(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(report.Snapshots).To(HaveLen(2))
	})

	It("refuses legs above its slots and counts those above the limit of a cold upstream", func() {
		start(func(o *upstream.Options) { o.WarmupLegs, o.ServiceTime = 100, 300*clock.Millisecond })
		shed := 0
		for _, r := range runConcurrently(4, query("1", "cairn")) {
			if r.Refusal != nil {
				Expect(refusalOf(r)).To(Equal(reason.Refusal{Reason: reason.Overload, Run: reason.NotExecuted}))
				shed++
			}
		}
		Expect(shed).To(Equal(2))
		Expect(u.Counts().AboveColdLimit).To(Equal(3))
		Expect(u.Counts().BeforeColdReport).To(Equal(3))
		Expect(u.Counts().Shed).To(Equal(2))
	})

	It("counts a submit that runs more than once", func() {
		l := query("order-1", "")
		l.Submit, l.Body = true, []byte("reprint")
		Expect(string(run(l).Answer.Body)).To(Equal("done order-1"))
		Expect(u.Counts().DuplicateSubmits).To(Equal(0))
		run(l)
		Expect(u.Counts().Submits).To(Equal(2))
		Expect(u.Counts().DuplicateSubmits).To(Equal(1))
	})

	It("counts new legs after a drain and after it is taken out of service", func() {
		u.TakeOutOfService()
		run(query("1", "cairn"))
		Expect(u.Counts().AfterDrain).To(Equal(1))
		u.ReturnToService()
		u.Drain()
		Expect(run(query("2", "cairn")).Answer.Load.Draining).To(BeTrue())
		Expect(u.Counts().AfterDrain).To(Equal(2))
	})

	It("closes connections above its limit and counts them", func() {
		start(func(o *upstream.Options) {
			o.MaxConnections, o.ServiceTime, o.ConnectDelay = 1, 200*clock.Millisecond, 6
		})
		runConcurrently(3, query("1", "cairn"))
		Expect(u.Counts().ExcessConnections).To(BeNumerically(">=", 2))
		Expect(u.Counts().Legs).To(Equal(1))
	})

	It("crashes on a request, refuses connections, and then serves as a new incarnation that starts cold", func() {
		start(func(o *upstream.Options) { o.WarmupLegs = 1 })
		before := run(query("1", "cairn")).Answer
		u.SetFaults(upstream.Faults{CrashText: "poison", CrashDowntime: clock.Hour})
		Expect(refusalOf(run(query("2", "a poison pill"))).Run).To(Equal(reason.ExecutionUnknown))
		Expect(run(query("3", "cairn")).Refusal).NotTo(BeNil())
		u.Start()
		after := run(query("4", "cairn")).Answer
		Expect(after.Incarnation).NotTo(Equal(before.Incarnation))
		Expect(after.Load.Cold).To(BeFalse())
		Expect(u.Counts().Crashes).To(Equal(1))
		u.ResetWarmup()
		report, err := client.Report(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(report.Load.Cold).To(BeTrue())
		Expect(report.Incarnation).To(Equal(after.Incarnation))
	})

	It("drops all data on blackholed connections while new connections work", func() {
		run(query("1", "cairn"))
		u.BlackholeConnections()
		Expect(u.Counts().BlackholedConnections).To(Equal(1))
		l := query("2", "cairn")
		l.Deadline = now() + 200*clock.Millisecond
		Expect(refusalOf(run(l))).To(Equal(reason.Refusal{Reason: reason.Deadline, Run: reason.ExecutionUnknown}))
		client = ioupstream.NewClient(address, rpc.NewClient(0), now)
		Expect(run(query("3", "cairn")).Refusal).To(BeNil())
	})

	It("answers after the deadline, and with the answer to another request", func() {
		u.SetFaults(upstream.Faults{LateShare: 1})
		l := query("1", "cairn")
		l.Deadline = now() + 50*clock.Millisecond
		Expect(refusalOf(run(l)).Reason).To(Equal(reason.Deadline))
		Eventually(func() int { return u.Counts().Legs }).WithTimeout(20 * clock.Second.Duration()).Should(Equal(1))
		Expect(u.Counts().Late).To(Equal(1))
		u.SetFaults(upstream.Faults{MismatchedShare: 1})
		Expect(run(query("2", "cairn")).Answer.Request).To(Equal("1"))
		Expect(u.Counts().Mismatched).To(Equal(1))
	})

	It("ends a straggling leg when it is cancelled or expires", func() {
		u.SetFaults(upstream.Faults{StragglerShare: 1, StragglerFactor: 1e6})
		ctx, cancel := context.WithTimeout(context.Background(), (50 * clock.Millisecond).Duration())
		defer cancel()
		client.Run(ctx, query("1", "cairn"))
		Eventually(func() int {
			c := u.Counts()

			return c.Cancelled + c.Expired
		}).WithTimeout(20 * clock.Second.Duration()).Should(Equal(1))
		Expect(u.Counts().Stragglers).To(Equal(1))
	})

	It("fails and slows down the legs that match a rule", func() {
		for _, c := range []struct {
			name   string
			rule   upstream.Rule
			text   string
			failed int
			slowed int
		}{
			{"version", upstream.Rule{Version: "v1", FailureShare: 1}, "cairn", 1, 0},
			{"another version", upstream.Rule{Version: "v2", FailureShare: 1}, "cairn", 0, 0},
			{"route", upstream.Rule{TextPrefix: "hazard", FailureShare: 1}, "hazard sign", 1, 0},
			{"another route", upstream.Rule{TextPrefix: "hazard", FailureShare: 1}, "cairn", 0, 0},
			{"load", upstream.Rule{MinRunning: 1, SlowdownFactor: 2}, "cairn", 0, 1},
			{"less load", upstream.Rule{MinRunning: 2, SlowdownFactor: 2}, "cairn", 0, 0},
			{"time", upstream.Rule{MinAge: 0, FailureShare: 1}, "cairn", 1, 0},
			{"later", upstream.Rule{MinAge: clock.Hour, FailureShare: 1}, "cairn", 0, 0},
		} {
			before := u.Counts()
			u.SetFaults(upstream.Faults{Rules: []upstream.Rule{c.rule}})
			run(query("1", c.text))
			Expect(u.Counts().Failed-before.Failed).To(Equal(c.failed), c.name)
			Expect(u.Counts().Slowed-before.Slowed).To(Equal(c.slowed), c.name)
		}
	})

	It("reports an outdated or a false load", func() {
		start(func(o *upstream.Options) { o.WarmupLegs = 1 })
		u.SetFaults(upstream.Faults{LoadLag: clock.Hour})
		report := func() leg.Load {
			r, err := client.Report(context.Background())
			Expect(err).NotTo(HaveOccurred())

			return r.Load
		}
		Expect(report().Cold).To(BeTrue())
		run(query("1", "cairn"))
		Expect(report().Cold).To(BeTrue())
		u.SetFaults(upstream.Faults{})
		Expect(report().Cold).To(BeFalse())
		u.SetFaults(upstream.Faults{FalseLoad: &leg.Load{Slots: 1000}})
		Expect(report().Slots).To(Equal(1000))
	})

	It("accepts commands over HTTP", func(ctx SpecContext) {
		for _, c := range []struct {
			body string
			code int
		}{
			{`{"do":"faults","faults":{"straggle":1,"factor":3,"lag":"2s"}}`, http.StatusOK},
			{`{"do":"drain"}`, http.StatusOK},
			{`{"do":"dance"}`, http.StatusBadRequest},
			{`garbage`, http.StatusBadRequest},
		} {
			recorder := httptest.NewRecorder()
			u.CommandHandler().ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/do", bytes.NewBufferString(c.body)))
			Expect(recorder.Code).To(Equal(c.code), c.body)
		}
		Expect(run(query("1", "cairn")).Answer.Load.Draining).To(BeTrue())
		recorder := httptest.NewRecorder()
		u.CommandHandler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/counts", nil))
		Expect(recorder.Body.String()).To(ContainSubstring(`"straggled":1`))
	})
})
