package query_test

import (
	"fmt"

	"jacinthferry/core/clock"
	"jacinthferry/core/event"
	"jacinthferry/core/leg"
	"jacinthferry/core/quarantine"
	"jacinthferry/core/query"
	"jacinthferry/core/reason"
	"jacinthferry/core/route"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a query", func() {
	defaultLayout := layout{upstreams: 6, replicas: 2, snapshots: []route.HeldSnapshot{snapshot(1, 8)}}
	var h *harness
	BeforeEach(func() { h = newHarness(defaultLayout, policy(), trackerConfig(false)) })

	partial := func(r query.Request) query.Request {
		r.Partial = true

		return r
	}

	It("answers with full coverage from the pinned snapshot", func() {
		h.begin(0, request("a", 100))
		Expect(h.answerAll(5, validResult)).To(Equal(8))
		Expect(h.response()).To(HaveField("Covered", 8))
		Expect(h.response().Refusal).To(BeNil())
		Expect(h.response().Documents).To(Equal([]leg.Document{
			{ID: "doc-0", Score: 1}, {ID: "doc-1", Score: 1}, {ID: "doc-2", Score: 1},
		}))
	})

	for _, wrong := range []struct {
		name    string
		corrupt func(*leg.Answer)
	}{
		{"request", func(a *leg.Answer) { a.Request = "another" }},
		{"shard", func(a *leg.Answer) { a.Shard++ }},
		{"snapshot", func(a *leg.Answer) { a.Snapshot = "snapshot-0" }},
		{"version", func(a *leg.Answer) { a.Version = "v0" }},
	} {
		It("does not count an answer for another "+wrong.name, func() {
			h.begin(0, partial(request("a", 100)))
			corrupted := func(l leg.Leg) leg.Result {
				r := validResult(l)
				if l.Shard == 3 {
					wrong.corrupt(&r.Answer)
				}

				return r
			}
			h.answerAll(5, corrupted)
			h.answerAll(10, corrupted)
			Expect(h.response().Covered).To(Equal(7))
			Expect(h.response().Missing).To(Equal([]query.Missing{{Shard: 3, Reason: reason.Mismatch}}))
		})
	}

	It("counts a duplicate answer once", func() {
		h.begin(0, request("a", 100))
		first := h.sent[0]
		h.answer(5, 0, validResult(first.Leg))
		h.answer(6, 0, validResult(first.Leg))
		Expect(h.responses).To(BeEmpty())
		h.answerAll(7, validResult)
		Expect(h.response().Covered).To(Equal(8))
	})

	It("merges in an order that does not depend on the order of the answers", func() {
		results := func(l leg.Leg) leg.Result {
			r := validResult(l)
			r.Answer.Documents = []leg.Document{
				{ID: "shared", Score: 5, Body: fmt.Sprint(l.Shard)}, {ID: fmt.Sprintf("tie-%d", l.Shard), Score: 4},
			}
			if l.Shard == 5 {
				r.Answer.Documents[0].Score = 6
			}

			return r
		}
		want := []leg.Document{
			{ID: "shared", Score: 6, Body: "5"}, {ID: "tie-0", Score: 4}, {ID: "tie-1", Score: 4},
		}
		h.begin(0, request("a", 100))
		h.answerAll(5, results)
		Expect(h.response().Documents).To(Equal(want))
		h.begin(10, request("a", 100))
		for number := len(h.sent) - 1; number >= 0; number-- {
			h.answer(15, number, results(h.sent[number].Leg))
		}
		Expect(h.response().Documents).To(Equal(want))
	})

	Describe("whose snapshot is lost", func() {
		repartitioned := layout{upstreams: 6, replicas: 2, snapshots: []route.HeldSnapshot{snapshot(2, 12)}}
		loseSnapshot := func(now clock.Milli) {
			gone := func(l leg.Leg) leg.Result {
				if l.Shard == 3 && l.Snapshot == "snapshot-1" {
					return leg.Refused(reason.Snapshot, reason.NotExecuted, "")
				}

				return validResult(l)
			}
			h.answerAll(now, gone)
			if h.responses == nil {
				h.answerAll(now, gone)
			}
		}

		It("restarts on a newer one and covers all shards of that one", func() {
			h.begin(0, request("a", 100))
			h.table = repartitioned.table()
			loseSnapshot(5)
			Expect(h.countEvents(event.Restart)).To(Equal(1))
			h.answerAll(10, validResult)
			Expect(h.response()).To(HaveField("Snapshot", "snapshot-2"))
			Expect(h.response()).To(HaveField("Covered", 12))
			Expect(h.response()).To(HaveField("Total", 12))
		})

		It("waits for a newer one", func() {
			h.begin(0, request("a", 100))
			loseSnapshot(5)
			Expect(h.responses).To(BeEmpty())
			h.table = repartitioned.table()
			h.apply(h.query.HandleTimeout(30))
			h.answerAll(40, validResult)
			Expect(h.response()).To(HaveField("Total", 12))
		})

		It("does not restart on one without full coverage", func() {
			h.begin(0, request("a", 100))
			incomplete := repartitioned
			incomplete.missing = 1
			h.table = incomplete.table()
			loseSnapshot(5)
			h.apply(h.query.HandleTimeout(30))
			Expect(h.countEvents(event.Restart)).To(BeZero())
			h.table = repartitioned.table()
			h.apply(h.query.HandleTimeout(50))
			h.answerAll(60, validResult)
			Expect(h.response()).To(HaveField("Covered", 12))
		})

		It("answers partially when time is short, with the correct coverage", func() {
			h.begin(0, partial(request("a", 20)))
			h.table = repartitioned.table()
			loseSnapshot(5)
			Expect(h.response()).To(HaveField("Covered", 7))
			Expect(h.response()).To(HaveField("Snapshot", "snapshot-1"))
			Expect(h.response().Missing).To(Equal([]query.Missing{{Shard: 3, Reason: reason.Snapshot}}))
		})

		It("answers partially from the lost one when the newer one covers less", func() {
			h.begin(0, partial(request("a", 100)))
			h.table = repartitioned.table()
			loseSnapshot(5)
			h.answer(10, len(h.sent)-1, validResult(h.sent[len(h.sent)-1].Leg))
			h.apply(h.query.HandleTimeout(99))
			Expect(h.response()).To(HaveField("Covered", 7))
			Expect(h.response()).To(HaveField("Total", 8))
		})

		It("never merges answers from both snapshots", func() {
			h.begin(0, request("a", 100))
			old := h.sent
			h.table = repartitioned.table()
			loseSnapshot(5)
			for number, a := range old {
				h.apply(h.query.HandleResult(6, number, validResult(a.Leg)))
			}
			Expect(h.responses).To(BeEmpty())
			h.answerAll(10, validResult)
			Expect(h.response()).To(HaveField("Covered", 12))
		})
	})

	Describe("that meets a failure", func() {
		It("retries at another replica", func() {
			h.begin(clock.Minute, request("a", clock.Minute+100))
			h.answer(clock.Minute, 0, leg.Refused(reason.Failed, reason.Executed, ""))
			Expect(h.countEvents(event.Retry)).To(Equal(1))
			Expect(h.sent[8].Replica.Upstream).NotTo(Equal(h.sent[0].Replica.Upstream))
			Expect(h.sent[8].Leg.Attempt).To(Equal(1))
		})

		It("does not retry after a refusal for overload if the leg may have been executed", func() {
			h.begin(clock.Minute, request("a", clock.Minute+100))
			Expect(h.refuseAll(clock.Minute, reason.Overload, reason.ExecutionUnknown)).To(Equal(8))
			Expect(h.response().Refusal).To(Equal(reason.NewRefusal(reason.Overload, reason.ExecutionUnknown,
				"0 of 8 shards of snapshot-1 answered")))
		})

		It("retries within the budget after a refusal for overload if the leg was not executed", func() {
			p := policy()
			p.Retry.Ratio, p.Retry.Floor = 0.25, 0
			h = newHarness(defaultLayout, p, trackerConfig(false))
			h.begin(0, request("a", 100))
			Expect(h.refuseAll(5, reason.Overload, reason.NotExecuted)).To(Equal(8))
			Expect(h.refuseAll(6, reason.Overload, reason.NotExecuted)).To(Equal(2))
			Expect(h.countEvents(event.Retry)).To(Equal(2))
			Expect(h.countEvents(event.Denied)).To(Equal(6))
			Expect(h.response().Refusal.Run).To(Equal(reason.NotExecuted))
		})

		It("limits the retries of each caller by its own budget", func() {
			p := policy()
			p.Retry.Ratio, p.Retry.Floor = 0, 1
			h = newHarness(defaultLayout, p, trackerConfig(false))
			for n, one := range []struct {
				caller string
				want   int
			}{{"greedy", 1}, {"greedy", 0}} {
				r := request(fmt.Sprint(n), 100)
				r.Caller = one.caller
				h.begin(0, r)
				h.refuseAll(1, reason.Failed, reason.Executed)
				Expect(h.countEvents(event.Retry)).To(Equal(one.want))
			}
		})

		It("reports a cancelled execution as unknown and a query that was never sent as not executed", func() {
			h.begin(0, request("a", 100))
			h.apply(h.query.HandleTimeout(99))
			Expect(h.response().Refusal.Run).To(Equal(reason.ExecutionUnknown))
			Expect(h.response().Refusal.Reason).To(Equal(reason.Deadline))
			h.begin(100, request("b", 100))
			Expect(h.response().Refusal).To(HaveField("Run", reason.NotExecuted))
			Expect(h.response().Refusal).To(HaveField("Reason", reason.Deadline))
		})
	})

	Describe("with little time", func() {
		It("is refused before any leg is sent when the service takes longer", func() {
			h.recordLatencies(0, 20)
			h.begin(100, request("a", 110))
			Expect(h.sent).To(BeEmpty())
			Expect(h.response().Refusal).To(HaveField("Reason", reason.Deadline))
			Expect(h.response().Refusal).To(HaveField("Run", reason.NotExecuted))
			h.begin(100, partial(request("a", 110)))
			Expect(h.sent).To(HaveLen(8))
			h.begin(100+clock.Minute, request("a", 110+clock.Minute))
			Expect(h.sent).To(HaveLen(8))
		})
	})

	Describe("with a straggler", func() {
		BeforeEach(func() { h.recordLatencies(0, 5) })
		wakeBeforeDeadline := func(from clock.Milli) {
			for _, at := range h.wakes {
				if at < from+99 {
					h.apply(h.query.HandleTimeout(at))
				}
			}
		}

		It("sends a hedge to a replica with another home and cancels the slower leg", func() {
			h.begin(100, request("a", 200))
			for number := range 7 {
				h.answer(105, number, validResult(h.sent[number].Leg))
			}
			wakeBeforeDeadline(100)
			Expect(h.countEvents(event.Hedge)).To(Equal(1))
			slow, second := h.sent[7], h.sent[8]
			Expect(second.Leg.Shard).To(Equal(slow.Leg.Shard))
			Expect(second.Replica.Home).NotTo(Equal(slow.Replica.Home))
			Expect(second.Replica.Zone).NotTo(Equal(slow.Replica.Zone))
			h.answer(112, 8, validResult(second.Leg))
			Expect(h.response().Covered).To(Equal(8))
			Expect(h.open).To(BeEmpty())
		})

		It("sends no more hedges than the budget allows", func() {
			h.begin(100, request("a", 200))
			wakeBeforeDeadline(100)
			// 21 queries of 8 legs allow 8.4 hedges at a ratio of 0.05.
			Expect(h.countEvents(event.Hedge)).To(Equal(8))
			h.answerAll(120, validResult)
			h.begin(200, request("b", 300))
			wakeBeforeDeadline(200)
			Expect(h.countEvents(event.Hedge)).To(BeZero())
			Expect(h.countEvents(event.Denied)).To(Equal(8))
		})

		It("leaves the hedge as much time as the first leg had", func() {
			h.begin(100, request("a", 113))
			Expect(h.wakes).To(ContainElement(BeNumerically("<", 107)))
		})
	})

	Describe("that was not seen before", func() {
		BeforeEach(func() { h = newHarness(defaultLayout, policy(), trackerConfig(true)) })

		It("first runs on one upstream alone, and on all at once when it is seen again", func() {
			h.begin(0, request("a", 100))
			Expect(h.sent).To(HaveLen(1))
			h.answerAll(5, validResult)
			Expect(h.sent).To(HaveLen(8))
			h.answerAll(10, validResult)
			Expect(h.response().Covered).To(Equal(8))
			h.begin(20, request("a", 100))
			Expect(h.sent).To(HaveLen(8))
		})

		It("crashes at most two upstreams and is refused when it is sent again", func() {
			many := layout{upstreams: 100, replicas: 3, snapshots: []route.HeldSnapshot{snapshot(1, 100)}}
			h = newHarness(many, policy(), trackerConfig(true))
			lost := 0
			for range 5 {
				h.begin(0, request("poison", 100))
				for len(h.open) > 0 {
					lost += h.refuseAll(1, reason.Connection, reason.ExecutionUnknown)
				}
				Expect(h.response().Refusal.Reason).To(Equal(reason.Quarantine))
			}
			Expect(lost).To(Equal(2))
			Expect(h.response().Refusal.Run).To(Equal(reason.NotExecuted))
			h.begin(2*clock.Minute, request("poison", 3*clock.Minute))
			Expect(h.sent).To(HaveLen(1))
		})

		It("runs on all upstreams at once in a trusted service until a crash is attributed to it", func() {
			trustedLayout := defaultLayout
			trustedLayout.trusted = true
			h = newHarness(trustedLayout, policy(), trackerConfig(true))
			h.begin(0, request("a", 100))
			Expect(h.sent).To(HaveLen(8))
			h.answer(1, 0, leg.Refused(reason.Connection, reason.ExecutionUnknown, ""))
			h.begin(2, request("a", 100))
			Expect(h.sent).To(HaveLen(1))
		})

		It("waits while the same request runs in isolation", func() {
			h.begin(0, request("a", 100))
			first, sent := h.query, h.sent[0]
			h.begin(1, request("a", 100))
			Expect(h.sent).To(BeEmpty())
			first.HandleResult(5, 0, validResult(sent.Leg))
			h.apply(h.query.HandleTimeout(6))
			Expect(h.sent).To(HaveLen(8))
		})

		It("continues after an upstream fails for another reason", func() {
			h.begin(clock.Minute, request("a", clock.Minute+100))
			h.answer(clock.Minute, 0, leg.Refused(reason.Connection, reason.ExecutionUnknown, ""))
			Expect(h.sent).To(HaveLen(2))
			for len(h.open) > 0 {
				h.answerAll(clock.Minute+10, validResult)
			}
			Expect(h.response().Covered).To(Equal(8))
			h.begin(clock.Minute+20, request("a", clock.Minute+100))
			Expect(h.sent).To(HaveLen(8))
		})

		It("lets another query run in isolation when its caller disconnects", func() {
			h.begin(0, request("a", 100))
			h.apply(h.query.Abandon(1))
			Expect(h.tracker.Admit(2, quarantine.FingerprintOf("markers", "a"), "v1", false)).To(Equal(quarantine.Isolate))
		})
	})

	It("does not spread crashes by retries when it runs on all upstreams at once", func() {
		h.begin(clock.Minute, request("poison", clock.Minute+100))
		Expect(h.refuseAll(clock.Minute, reason.Connection, reason.ExecutionUnknown)).To(Equal(8))
		Expect(h.refuseAll(clock.Minute, reason.Connection, reason.ExecutionUnknown)).To(Equal(1))
		Expect(h.response().Refusal.Reason).To(Equal(reason.Quarantine))
	})
})
