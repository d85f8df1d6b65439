package load

import (
	"context"
	"time"

	"jacinthferry/client"
	"jacinthferry/core/clock"
	"jacinthferry/core/leg"
	"jacinthferry/core/query"
	"jacinthferry/core/reason"
	"jacinthferry/core/submit"
	"jacinthferry/io/caller"
	"jacinthferry/io/rpc"
	"jacinthferry/io/timer"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a load run", func() {
	options := Options{
		Rate: 500, Duration: 400 * clock.Millisecond, Requests: []Request{{Service: "s", Text: "t"}}, Seed: 1, UrgentShare: 0.5,
		Top: 3, Deadline: 10 * clock.Second, MaxInFlight: 1000,
	}
	// daemon serves queries with answer and submits with outcome, and returns a client for it.
	daemon := func(answer func() (*query.Reply, error), outcome func(string) (string, error)) *client.Client {
		now := timer.NewClock()
		var server *rpc.Server
		s := caller.Operations{
			Now: now, DefaultTimeout: clock.Second, NewID: client.NewID,
			Entries: func(string) ([]caller.Entry, clock.Milli) {
				return []caller.Entry{{Address: server.Address()}}, clock.Minute
			},
			Query:  func(context.Context, query.Request) (*query.Reply, error) { return answer() },
			Submit: func(_ context.Context, s submit.Request) (string, error) { return outcome(s.ID) },
		}
		server, err := rpc.Listen("127.0.0.1:0", caller.Handler(s))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)

		return client.New("", []string{server.Address()})
	}
	document := leg.Document{ID: "a", Score: 1, Body: "b"}
	fullAnswer := func() (*query.Reply, error) {
		return &query.Reply{Covered: 2, Total: 2, Legs: 3, Documents: []leg.Document{document}}, nil
	}
	refuseSubmit := func(string) (string, error) {
		return "", reason.NewRefusal(reason.Store, reason.NotExecuted, "refused by the test")
	}

	It("plans the same arrivals for the same seed, at the configured rate", func() {
		o := options
		o.Duration = 100 * clock.Second
		list := planArrivals(o)
		Expect(planArrivals(o)).To(Equal(list))
		Expect(float64(len(list))).To(BeNumerically("~", 50000, 1000))
		urgent := 0
		for i, a := range list {
			if a.urgent {
				urgent++
			}
			if i > 0 {
				Expect(a.at).To(BeNumerically(">=", list[i-1].at))
			}
		}
		Expect(float64(urgent)).To(BeNumerically("~", 25000, 1000))
	})

	It("counts answers with full coverage, legs and coverage", func() {
		r := Run(context.Background(), daemon(fullAnswer, refuseSubmit), options)
		Expect(r.Sent).To(Equal(len(planArrivals(options))))
		Expect(r.FullCoverage).To(Equal(r.Sent))
		Expect(r.Coverage).To(Equal(1.0))
		Expect(r.ExtraLegRatio).To(Equal(0.5))
		Expect(r.Complete()).To(BeTrue())
		Expect(r.Urgent.Count + r.Routine.Count).To(Equal(r.Sent))
	})

	It("includes a stall in the latency of every request that it delayed", func() {
		stall := make(chan struct{})
		release := time.AfterFunc((options.Duration + 300*clock.Millisecond).Duration(), func() { close(stall) })
		defer release.Stop()
		r := Run(context.Background(), daemon(func() (*query.Reply, error) {
			<-stall

			return fullAnswer()
		}, refuseSubmit), options)
		Expect(r.FullCoverage).To(Equal(r.Sent))
		Expect(r.All.P50).To(BeNumerically(">=", 300*clock.Millisecond))
		Expect(r.All.Max).To(BeNumerically(">=", r.All.P50+100*clock.Millisecond))
	})

	It("detects duplicate documents, mismatched answers and partial answers", func() {
		other := leg.Document{ID: "x", Score: 1, Body: "y"}
		for _, c := range []struct {
			name  string
			reply query.Reply
			want  Result
		}{
			{"doubled", query.Reply{Covered: 1, Total: 1, Documents: []leg.Document{document, document}}, Result{DuplicateDocuments: 1, Mismatched: 1}},
			{"crossed", query.Reply{Covered: 1, Total: 1, Documents: []leg.Document{other}}, Result{Mismatched: 1}},
			{"partial", query.Reply{Covered: 1, Total: 2, Documents: []leg.Document{other}}, Result{}},
		} {
			results := newCollector()
			results.recordQuery(arrival{request: Request{WantDocuments: []leg.Document{document}}}, c.reply, nil, clock.Millisecond)
			r := results.result(clock.Second)
			Expect(r.DuplicateDocuments).To(Equal(c.want.DuplicateDocuments), c.name)
			Expect(r.Mismatched).To(Equal(c.want.Mismatched), c.name)
			Expect(r.Complete()).To(BeFalse(), c.name)
		}
	})

	It("distinguishes refused requests from lost ones", func() {
		r := Run(context.Background(), daemon(func() (*query.Reply, error) {
			return nil, reason.NewRefusal(reason.Overload, reason.NotExecuted, "refused by the test")
		}, refuseSubmit), options)
		Expect(r.Refusals).To(Equal([]RefusalCount{{Reason: reason.Overload, Run: reason.NotExecuted, Count: r.Sent}}))
		Expect(r.Correct()).To(BeTrue())
		r = Run(context.Background(), client.New("", []string{"127.0.0.1:1"}), options)
		Expect(r.Unanswered).To(Equal(r.Sent))
		Expect(r.Correct()).To(BeFalse())
	})

	It("checks that a submit's outcome contains its id", func() {
		o := options
		o.SubmitShare, o.SubmitService = 1, "s"
		r := Run(context.Background(), daemon(fullAnswer, func(id string) (string, error) { return "done " + id, nil }), o)
		Expect(r.SubmitOutcomes).To(Equal(r.Sent))
		Expect(r.Complete()).To(BeTrue())
		r = Run(context.Background(), daemon(fullAnswer, func(string) (string, error) { return "done other", nil }), o)
		Expect(r.Mismatched).To(Equal(r.Sent))
	})

	It("sends no requests above its limit in flight, and counts them as unsent", func() {
		o := options
		o.MaxInFlight = 1
		r := Run(context.Background(), daemon(func() (*query.Reply, error) {
			time.Sleep((50 * clock.Millisecond).Duration())

			return fullAnswer()
		}, refuseSubmit), o)
		Expect(r.Unsent).To(BeNumerically(">", 0))
		Expect(r.Correct()).To(BeFalse())
	})
})
