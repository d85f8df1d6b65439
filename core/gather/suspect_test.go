package gather_test

import (
	"fmt"

	"jacinthferry/core/gather"
	"jacinthferry/core/reason"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// broken is the result of a leg whose connection broke while an upstream ran it.
var broken = gather.Result{Sent: true, Run: reason.ExecutionUnknown, Reason: reason.Failed}

var _ = Describe("a query whose connections break", func() {
	const shards = 6
	var d *daemon
	BeforeEach(func() { d = newDaemon(shards, 3, lookup) })

	It("is sent on to one upstream at a time until one has responded", func() {
		q, actions := d.begin(start)
		sent := ofKind(actions, gather.Send)
		Expect(sent).To(HaveLen(shards))
		for n := range shards - 1 {
			Expect(ofKind(q.HandleResult(start+5, n, broken), gather.Send)).To(BeEmpty(), fmt.Sprint(n))
			Expect(ofKind(q.HandleTimeout(start+20), gather.Send)).To(BeEmpty(), fmt.Sprint(n))
		}
		q.HandleResult(start+25, shards-1, broken)
		Expect(ofKind(q.HandleTimeout(start+40), gather.Send)).To(HaveLen(1))
		Expect(ofKind(q.HandleTimeout(start+50), gather.Send)).To(BeEmpty())
		q.HandleResult(start+55, shards, success)
		Expect(q.NextTimeout()).To(BeNumerically("<=", start+55))
		Expect(ofKind(q.HandleTimeout(start+55), gather.Send)).To(HaveLen(shards - 1))
	})

	It("is not hedged until an upstream has responded", func() {
		q, _ := d.begin(start)
		Expect(ofKind(q.HandleTimeout(start+60), gather.Send)).To(BeEmpty())
		Expect(ofKind(q.HandleResult(start+75, 0, success), gather.Send)).To(HaveLen(shards - 1))
	})

	It("is hedged for one shard at a time until an upstream has responded, if all of its few shards may be late by chance", func() {
		d = newDaemon(3, 3, lookup)
		q, _ := d.begin(start)
		Expect(ofKind(q.HandleTimeout(start+60), gather.Send)).To(HaveLen(1))
		Expect(ofKind(q.HandleTimeout(start+70), gather.Send)).To(BeEmpty())
		Expect(ofKind(q.HandleResult(start+75, 0, success), gather.Send)).To(HaveLen(2))
	})

	It("is sent on at once where an upstream has responded", func() {
		q, _ := d.begin(start)
		q.HandleResult(start+4, 0, success)
		for n := 1; n < shards; n++ {
			Expect(ofKind(q.HandleResult(start+5, n, broken), gather.Send)).To(HaveLen(1))
		}
	})

	It("is refused without another leg once it is in quarantine", func() {
		quarantined := false
		q, actions := d.Begin(start, d.view, d.route, gather.Request{
			ID: "r", Arrived: start, FirstSent: start, Deadline: start + d.route.Timeout,
			Quarantined: func() bool { return quarantined },
		})
		Expect(ofKind(actions, gather.Send)).To(HaveLen(shards))
		for n := range shards - 1 {
			q.HandleResult(start+5, n, broken)
		}
		quarantined = true
		Expect(ofKind(q.HandleTimeout(start+20), gather.Finish)).To(BeEmpty(), "the last leg may still be answered")
		q.HandleResult(start+25, shards-1, broken)
		actions = q.HandleTimeout(start + 40)
		Expect(ofKind(actions, gather.Send)).To(BeEmpty())
		refused := ofKind(actions, gather.Finish)
		Expect(refused).To(HaveLen(1))
		Expect(refused[0].Outcome.Refusal.Reason).To(Equal(reason.Quarantine))
		Expect(refused[0].Outcome.Refusal.Run).To(Equal(reason.ExecutionUnknown))
	})
})
