package gather_test

import (
	"jacinthferry/core/clock"
	"jacinthferry/core/gather"
	"jacinthferry/core/reason"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("legs to other zones", func() {
	// far returns a desk in a zone without upstreams, and its query with all legs sent.
	far := func(shards, replicas int) (*gather.Query, []gather.Action) {
		return newDesk(shards, replicas, lookup).begin(start)
	}
	merged := func(numbers ...int) []gather.Part {
		var parts []gather.Part
		for _, n := range numbers {
			parts = append(parts, gather.Part{Number: n, Result: good})
		}

		return parts
	}

	It("are grouped by zone, and those of the own zone are left", func() {
		q, sends := far(4, 1)
		groups, rest := q.Groups(sends, "zone0")
		Expect(groups).To(BeEmpty())
		Expect(rest).To(HaveLen(4))
		groups, rest = q.Groups(sends, "elsewhere")
		Expect(rest).To(BeEmpty())
		Expect(groups).To(HaveLen(1))
		Expect(groups[0].Zone).To(Equal("zone0"))
		Expect(groups[0].Legs).To(HaveLen(4))
		Expect(groups[0].Top).To(Equal(lookup.Top))
	})

	It("are merged before the first of them is late", func() {
		q, sends := far(4, 2)
		groups, _ := q.Groups(sends, "elsewhere")
		Expect(groups[0].Wait).To(BeNumerically(">", 0))
		Expect(start + groups[0].Wait).To(BeNumerically("<", q.Next()))
	})

	It("do not wait for others when one goes alone or again", func() {
		q, sends := far(1, 2)
		groups, _ := q.Groups(sends, "elsewhere")
		Expect(groups[0].Wait).To(BeZero())
		again := kinds(q.Due(start+60), gather.Send)
		groups, _ = q.Groups(again, "elsewhere")
		Expect(groups).To(HaveLen(1))
		Expect(groups[0].Wait).To(BeZero())
	})

	It("answer when all of a merged answer is in", func() {
		q, _ := far(3, 1)
		end := kinds(q.Merged(start+20, merged(0, 1, 2)), gather.Finish)
		Expect(end).To(HaveLen(1))
		Expect(end[0].Outcome.Legs).To(Equal([]int{0, 1, 2}))
	})

	It("take the place of an answer that came before, as a merged one cannot be had without them", func() {
		q, sends := far(3, 2)
		Expect(sends).To(HaveLen(3))
		second := kinds(q.Due(start+60), gather.Send)
		Expect(second).To(HaveLen(3))
		q.Answered(start+61, second[0].Number, good)
		end := kinds(q.Merged(start+62, merged(0, 1, 2)), gather.Finish)
		Expect(end).To(HaveLen(1))
		Expect(end[0].Outcome.Legs).To(Equal([]int{0, 1, 2}))
	})

	It("leave the place to a merged answer when they come alone later", func() {
		q, _ := far(3, 2)
		second := kinds(q.Due(start+60), gather.Send)
		Expect(kinds(q.Merged(start+62, merged(0, 1)), gather.Finish)).To(BeEmpty())
		q.Answered(start+63, second[0].Number, good)
		end := kinds(q.Answered(start+64, 2, good), gather.Finish)
		Expect(end).To(HaveLen(1))
		Expect(end[0].Outcome.Legs).To(Equal([]int{0, 1, 2}))
	})

	It("do not take the place of a merged answer when they come alone from another daemon", func() {
		q, _ := far(3, 2)
		second := kinds(q.Due(start+60), gather.Send)
		Expect(kinds(q.Merged(start+62, merged(0, 1)), gather.Finish)).To(BeEmpty())
		q.Merged(start+63, merged(second[0].Number))
		end := kinds(q.Merged(start+64, merged(2)), gather.Finish)
		Expect(end).To(HaveLen(1))
		Expect(end[0].Outcome.Legs).To(Equal([]int{0, 1, 2}))
	})

	It("are sent again where they failed", func() {
		q, _ := far(2, 2)
		parts := merged(0)
		parts = append(parts, gather.Part{Number: 1, Result: gather.Result{Run: reason.No, Reason: reason.Replica}})
		again := kinds(q.Merged(start+10, parts), gather.Send)
		Expect(again).To(HaveLen(1))
		Expect(again[0].Number).To(Equal(2))
	})

	It("teach no latency for the time in which another daemon kept their answers", func() {
		d := newDesk(1, 1, lookup)
		u := d.view.Usable("shard0")[0]
		for i := range 30 {
			now := start + clock.Milli(i)*100
			q, _ := d.begin(now)
			held := good
			held.Held = 20
			q.Merged(now+25, []gather.Part{{Number: 0, Result: held}})
		}
		Expect(d.fleet.Expected(start+3000, u)).To(BeNumerically("~", 5, 1))
	})
})
