package gather_test

import (
	"jacinthferry/core/clock"
	"jacinthferry/core/gather"
	"jacinthferry/core/reason"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Legs to other zones", func() {
	// begin returns a query of which all first legs have been sent, and the Send actions.
	begin := func(shards, replicas int) (*gather.Query, []gather.Action) {
		return newDaemon(shards, replicas, lookup).begin(start)
	}
	merged := func(numbers ...int) []gather.LegResult {
		var parts []gather.LegResult
		for _, n := range numbers {
			parts = append(parts, gather.LegResult{Number: n, Result: success})
		}

		return parts
	}

	It("are grouped by zone, while legs to the daemon's own zone are not grouped", func() {
		q, sends := begin(4, 1)
		groups, rest := q.GroupByZone(sends, "zone0")
		Expect(groups).To(BeEmpty())
		Expect(rest).To(HaveLen(4))
		groups, rest = q.GroupByZone(sends, "elsewhere")
		Expect(rest).To(BeEmpty())
		Expect(groups).To(HaveLen(1))
		Expect(groups[0].Zone).To(Equal("zone0"))
		Expect(groups[0].Legs).To(HaveLen(4))
		Expect(groups[0].Top).To(Equal(lookup.Top))
	})

	It("wait to be merged for less than the hedge delay", func() {
		q, sends := begin(4, 2)
		groups, _ := q.GroupByZone(sends, "elsewhere")
		Expect(groups[0].MergeWait).To(BeNumerically(">", 0))
		Expect(start + groups[0].MergeWait).To(BeNumerically("<", q.NextTimeout()))
	})

	It("do not wait to be merged when there is one only, or when it is a hedge", func() {
		q, sends := begin(1, 2)
		groups, _ := q.GroupByZone(sends, "elsewhere")
		Expect(groups[0].MergeWait).To(BeZero())
		hedges := ofKind(q.HandleTimeout(start+60), gather.Send)
		groups, _ = q.GroupByZone(hedges, "elsewhere")
		Expect(groups).To(HaveLen(1))
		Expect(groups[0].MergeWait).To(BeZero())
	})

	It("complete the query when one merged answer covers all shards", func() {
		q, _ := begin(3, 1)
		end := ofKind(q.HandleResults(start+20, merged(0, 1, 2)), gather.Finish)
		Expect(end).To(HaveLen(1))
		Expect(end[0].Outcome.Legs).To(Equal([]int{0, 1, 2}))
	})

	It("replace an earlier answer when they are merged, as the merged answer cannot be used without them", func() {
		q, sends := begin(3, 2)
		Expect(sends).To(HaveLen(3))
		hedges := ofKind(q.HandleTimeout(start+60), gather.Send)
		Expect(hedges).To(HaveLen(1))
		q.HandleResult(start+61, hedges[0].Number, success)
		end := ofKind(q.HandleResults(start+62, merged(0, 1, 2)), gather.Finish)
		Expect(end).To(HaveLen(1))
		Expect(end[0].Outcome.Legs).To(Equal([]int{0, 1, 2}))
	})

	It("do not replace a merged answer when they arrive alone later", func() {
		q, _ := begin(3, 2)
		hedges := ofKind(q.HandleTimeout(start+60), gather.Send)
		Expect(ofKind(q.HandleResults(start+62, merged(0, 1)), gather.Finish)).To(BeEmpty())
		q.HandleResult(start+63, hedges[0].Number, success)
		end := ofKind(q.HandleResult(start+64, 2, success), gather.Finish)
		Expect(end).To(HaveLen(1))
		Expect(end[0].Outcome.Legs).To(Equal([]int{0, 1, 2}))
	})

	It("do not replace a merged answer when they arrive alone from another daemon", func() {
		q, _ := begin(3, 2)
		hedges := ofKind(q.HandleTimeout(start+60), gather.Send)
		Expect(ofKind(q.HandleResults(start+62, merged(0, 1)), gather.Finish)).To(BeEmpty())
		q.HandleResults(start+63, merged(hedges[0].Number))
		end := ofKind(q.HandleResults(start+64, merged(2)), gather.Finish)
		Expect(end).To(HaveLen(1))
		Expect(end[0].Outcome.Legs).To(Equal([]int{0, 1, 2}))
	})

	It("are retried where they failed", func() {
		q, _ := begin(2, 2)
		parts := merged(0)
		parts = append(parts, gather.LegResult{Number: 1, Result: gather.Result{Run: reason.NotExecuted, Reason: reason.Replica}})
		retries := ofKind(q.HandleResults(start+10, parts), gather.Send)
		Expect(retries).To(HaveLen(1))
		Expect(retries[0].Number).To(Equal(2))
	})

	It("have a latency without the time for which another daemon held their answers", func() {
		d := newDaemon(1, 1, lookup)
		u := d.view.Usable("shard0")[0]
		for i := range 30 {
			now := start + clock.Milli(i)*100
			q, _ := d.begin(now)
			held := success
			held.MergeDelay = 20
			q.HandleResults(now+25, []gather.LegResult{{Number: 0, Result: held}})
		}
		Expect(d.balancer.ExpectedLatency(start+3000, u)).To(BeNumerically("~", 5, 1))
	})
})
