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
	plain := layout{upstreams: 6, replicas: 2, snapshots: []route.Held{snapshot(1, 8)}}
	var d *desk
	BeforeEach(func() { d = newDesk(plain, policy(), terms(false)) })

	partial := func(r query.Request) query.Request {
		r.Partial = true

		return r
	}

	It("answers whole from the pinned snapshot", func() {
		d.begin(0, request("a", 100))
		Expect(d.each(5, good)).To(Equal(8))
		Expect(d.reply()).To(HaveField("Covered", 8))
		Expect(d.reply().Refusal).To(BeNil())
		Expect(d.reply().Documents).To(Equal([]leg.Document{
			{ID: "doc-0", Score: 1}, {ID: "doc-1", Score: 1}, {ID: "doc-2", Score: 1},
		}))
	})

	for _, wrong := range []struct {
		name  string
		spoil func(*leg.Answer)
	}{
		{"request", func(a *leg.Answer) { a.Request = "another" }},
		{"shard", func(a *leg.Answer) { a.Shard++ }},
		{"snapshot", func(a *leg.Answer) { a.Snapshot = "snapshot-0" }},
		{"version", func(a *leg.Answer) { a.Version = "v0" }},
	} {
		It("does not count an answer of another "+wrong.name, func() {
			d.begin(0, partial(request("a", 100)))
			spoilt := func(l leg.Leg) leg.Result {
				r := good(l)
				if l.Shard == 3 {
					wrong.spoil(&r.Answer)
				}

				return r
			}
			d.each(5, spoilt)
			d.each(10, spoilt)
			Expect(d.reply().Covered).To(Equal(7))
			Expect(d.reply().Missing).To(Equal([]query.Missing{{Shard: 3, Reason: reason.Mismatch}}))
		})
	}

	It("counts an answer that comes twice once", func() {
		d.begin(0, request("a", 100))
		first := d.sent[0]
		d.answer(5, 0, good(first.Leg))
		d.answer(6, 0, good(first.Leg))
		Expect(d.replies).To(BeEmpty())
		d.each(7, good)
		Expect(d.reply().Covered).To(Equal(8))
	})

	It("merges in an order that does not depend on which answer came first", func() {
		results := func(l leg.Leg) leg.Result {
			r := good(l)
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
		d.begin(0, request("a", 100))
		d.each(5, results)
		Expect(d.reply().Documents).To(Equal(want))
		d.begin(10, request("a", 100))
		for number := len(d.sent) - 1; number >= 0; number-- {
			d.answer(15, number, results(d.sent[number].Leg))
		}
		Expect(d.reply().Documents).To(Equal(want))
	})

	Describe("whose snapshot is lost", func() {
		repartitioned := layout{upstreams: 6, replicas: 2, snapshots: []route.Held{snapshot(2, 12)}}
		lose := func(now clock.Milli) {
			gone := func(l leg.Leg) leg.Result {
				if l.Shard == 3 && l.Snapshot == "snapshot-1" {
					return leg.Refused(reason.Snapshot, reason.NotExecuted, "")
				}

				return good(l)
			}
			d.each(now, gone)
			if d.replies == nil {
				d.each(now, gone)
			}
		}

		It("starts again whole on a newer one, with its shards", func() {
			d.begin(0, request("a", 100))
			d.table = repartitioned.table()
			lose(5)
			Expect(d.count(event.Restart)).To(Equal(1))
			d.each(10, good)
			Expect(d.reply()).To(HaveField("Snapshot", "snapshot-2"))
			Expect(d.reply()).To(HaveField("Covered", 12))
			Expect(d.reply()).To(HaveField("Total", 12))
		})

		It("waits for news of a newer one", func() {
			d.begin(0, request("a", 100))
			lose(5)
			Expect(d.replies).To(BeEmpty())
			d.table = repartitioned.table()
			d.take(d.query.Due(30))
			d.each(40, good)
			Expect(d.reply()).To(HaveField("Total", 12))
		})

		It("does not begin again on one that is not whole yet", func() {
			d.begin(0, request("a", 100))
			growing := repartitioned
			growing.lacking = 1
			d.table = growing.table()
			lose(5)
			d.take(d.query.Due(30))
			Expect(d.count(event.Restart)).To(BeZero())
			d.table = repartitioned.table()
			d.take(d.query.Due(50))
			d.each(60, good)
			Expect(d.reply()).To(HaveField("Covered", 12))
		})

		It("answers in part when time is short, with true coverage", func() {
			d.begin(0, partial(request("a", 20)))
			d.table = repartitioned.table()
			lose(5)
			Expect(d.reply()).To(HaveField("Covered", 7))
			Expect(d.reply()).To(HaveField("Snapshot", "snapshot-1"))
			Expect(d.reply().Missing).To(Equal([]query.Missing{{Shard: 3, Reason: reason.Snapshot}}))
		})

		It("answers in part from the lost one when the newer one gives less", func() {
			d.begin(0, partial(request("a", 100)))
			d.table = repartitioned.table()
			lose(5)
			d.answer(10, len(d.sent)-1, good(d.sent[len(d.sent)-1].Leg))
			d.take(d.query.Due(99))
			Expect(d.reply()).To(HaveField("Covered", 7))
			Expect(d.reply()).To(HaveField("Total", 8))
		})

		It("never mixes answers of the two", func() {
			d.begin(0, request("a", 100))
			old := d.sent
			d.table = repartitioned.table()
			lose(5)
			for number, a := range old {
				d.take(d.query.Answered(6, number, good(a.Leg)))
			}
			Expect(d.replies).To(BeEmpty())
			d.each(10, good)
			Expect(d.reply()).To(HaveField("Covered", 12))
		})
	})

	Describe("that meets a failure", func() {
		It("asks another replica", func() {
			d.begin(clock.Minute, request("a", clock.Minute+100))
			d.answer(clock.Minute, 0, leg.Refused(reason.Failed, reason.Executed, ""))
			Expect(d.count(event.Retry)).To(Equal(1))
			Expect(d.sent[8].Replica.Upstream).NotTo(Equal(d.sent[0].Replica.Upstream))
			Expect(d.sent[8].Leg.Attempt).To(Equal(1))
		})

		It("does not ask again after a refusal for load that may have been run", func() {
			d.begin(clock.Minute, request("a", clock.Minute+100))
			Expect(d.refuse(clock.Minute, reason.Overload, reason.ExecutionUnknown)).To(Equal(8))
			Expect(d.reply().Refusal).To(Equal(reason.NewRefusal(reason.Overload, reason.ExecutionUnknown,
				"0 of 8 shards of snapshot-1 answered")))
		})

		It("asks again after a refusal for load that was not run, within the budget", func() {
			p := policy()
			p.Retry.Ratio, p.Retry.Floor = 0.25, 0
			d = newDesk(plain, p, terms(false))
			d.begin(0, request("a", 100))
			Expect(d.refuse(5, reason.Overload, reason.NotExecuted)).To(Equal(8))
			Expect(d.refuse(6, reason.Overload, reason.NotExecuted)).To(Equal(2))
			Expect(d.count(event.Retry)).To(Equal(2))
			Expect(d.count(event.Denied)).To(Equal(6))
			Expect(d.reply().Refusal.Run).To(Equal(reason.NotExecuted))
		})

		It("does not let one caller spend the retries of another", func() {
			p := policy()
			p.Retry.Ratio, p.Retry.Floor = 0, 1
			d = newDesk(plain, p, terms(false))
			for n, one := range []struct {
				caller string
				want   int
			}{{"greedy", 1}, {"greedy", 0}} {
				r := request(fmt.Sprint(n), 100)
				r.Caller = one.caller
				d.begin(0, r)
				d.refuse(1, reason.Failed, reason.Executed)
				Expect(d.count(event.Retry)).To(Equal(one.want))
			}
		})

		It("says unknown of what was cancelled and no of what was never sent", func() {
			d.begin(0, request("a", 100))
			d.take(d.query.Due(99))
			Expect(d.reply().Refusal.Run).To(Equal(reason.ExecutionUnknown))
			Expect(d.reply().Refusal.Reason).To(Equal(reason.Deadline))
			d.begin(100, request("b", 100))
			Expect(d.reply().Refusal).To(HaveField("Run", reason.NotExecuted))
			Expect(d.reply().Refusal).To(HaveField("Reason", reason.Deadline))
		})
	})

	Describe("with little time", func() {
		It("is refused before it is run when the service takes longer", func() {
			d.train(0, 20)
			d.begin(100, request("a", 110))
			Expect(d.sent).To(BeEmpty())
			Expect(d.reply().Refusal).To(HaveField("Reason", reason.Deadline))
			Expect(d.reply().Refusal).To(HaveField("Run", reason.NotExecuted))
			d.begin(100, partial(request("a", 110)))
			Expect(d.sent).To(HaveLen(8))
			d.begin(100+clock.Minute, request("a", 110+clock.Minute))
			Expect(d.sent).To(HaveLen(8))
		})
	})

	Describe("with a straggler", func() {
		BeforeEach(func() { d.train(0, 5) })
		wakeEarly := func(from clock.Milli) {
			for _, at := range d.wakes {
				if at < from+99 {
					d.take(d.query.Due(at))
				}
			}
		}

		It("asks another replica at another home and drops the slower leg", func() {
			d.begin(100, request("a", 200))
			for number := range 7 {
				d.answer(105, number, good(d.sent[number].Leg))
			}
			wakeEarly(100)
			Expect(d.count(event.Hedge)).To(Equal(1))
			slow, second := d.sent[7], d.sent[8]
			Expect(second.Leg.Shard).To(Equal(slow.Leg.Shard))
			Expect(second.Replica.Home).NotTo(Equal(slow.Replica.Home))
			Expect(second.Replica.Zone).NotTo(Equal(slow.Replica.Zone))
			d.answer(112, 8, good(second.Leg))
			Expect(d.reply().Covered).To(Equal(8))
			Expect(d.open).To(BeEmpty())
		})

		It("stays within the budget", func() {
			d.begin(100, request("a", 200))
			wakeEarly(100)
			// 21 queries of 8 legs pay for 8.4 extra legs at 5 in a hundred.
			Expect(d.count(event.Hedge)).To(Equal(8))
			d.each(120, good)
			d.begin(200, request("b", 300))
			wakeEarly(200)
			Expect(d.count(event.Hedge)).To(BeZero())
			Expect(d.count(event.Denied)).To(Equal(8))
		})

		It("leaves the second leg the time of the first", func() {
			d.begin(100, request("a", 113))
			Expect(d.wakes).To(ContainElement(BeNumerically("<", 107)))
		})
	})

	Describe("that was not seen before", func() {
		BeforeEach(func() { d = newDesk(plain, policy(), terms(true)) })

		It("runs on one upstream alone first, and at once when seen again", func() {
			d.begin(0, request("a", 100))
			Expect(d.sent).To(HaveLen(1))
			d.each(5, good)
			Expect(d.sent).To(HaveLen(8))
			d.each(10, good)
			Expect(d.reply().Covered).To(Equal(8))
			d.begin(20, request("a", 100))
			Expect(d.sent).To(HaveLen(8))
		})

		It("loses at most two upstreams if it crashes them, and is refused when sent again", func() {
			many := layout{upstreams: 100, replicas: 3, snapshots: []route.Held{snapshot(1, 100)}}
			d = newDesk(many, policy(), terms(true))
			lost := 0
			for range 5 {
				d.begin(0, request("poison", 100))
				for len(d.open) > 0 {
					lost += d.refuse(1, reason.Connection, reason.ExecutionUnknown)
				}
				Expect(d.reply().Refusal.Reason).To(Equal(reason.Quarantine))
			}
			Expect(lost).To(Equal(2))
			Expect(d.reply().Refusal.Run).To(Equal(reason.NotExecuted))
			d.begin(2*clock.Minute, request("poison", 3*clock.Minute))
			Expect(d.sent).To(HaveLen(1))
		})

		It("runs everywhere at once in a trusted service, until it is tied to a crash", func() {
			trusting := plain
			trusting.trusted = true
			d = newDesk(trusting, policy(), terms(true))
			d.begin(0, request("a", 100))
			Expect(d.sent).To(HaveLen(8))
			d.answer(1, 0, leg.Refused(reason.Connection, reason.ExecutionUnknown, ""))
			d.begin(2, request("a", 100))
			Expect(d.sent).To(HaveLen(1))
		})

		It("waits while the same request runs alone", func() {
			d.begin(0, request("a", 100))
			first, number := d.query, d.sent[0]
			d.begin(1, request("a", 100))
			Expect(d.sent).To(BeEmpty())
			first.Answered(5, 0, good(number.Leg))
			d.take(d.query.Due(6))
			Expect(d.sent).To(HaveLen(8))
		})

		It("goes on after one upstream is lost for another reason", func() {
			d.begin(clock.Minute, request("a", clock.Minute+100))
			d.answer(clock.Minute, 0, leg.Refused(reason.Connection, reason.ExecutionUnknown, ""))
			Expect(d.sent).To(HaveLen(2))
			for len(d.open) > 0 {
				d.each(clock.Minute+10, good)
			}
			Expect(d.reply().Covered).To(Equal(8))
			d.begin(clock.Minute+20, request("a", clock.Minute+100))
			Expect(d.sent).To(HaveLen(8))
		})

		It("lets another one run alone when its caller leaves", func() {
			d.begin(0, request("a", 100))
			d.take(d.query.Abandon(1))
			Expect(d.list.Admit(2, quarantine.FingerprintOf("markers", "a"), "v1", false)).To(Equal(quarantine.Isolate))
		})
	})

	It("does not spread a crash by retries when it runs everywhere at once", func() {
		d.begin(clock.Minute, request("poison", clock.Minute+100))
		Expect(d.refuse(clock.Minute, reason.Connection, reason.ExecutionUnknown)).To(Equal(8))
		Expect(d.refuse(clock.Minute, reason.Connection, reason.ExecutionUnknown)).To(Equal(1))
		Expect(d.reply().Refusal.Reason).To(Equal(reason.Quarantine))
	})
})
