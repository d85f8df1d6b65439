package admit_test

import (
	"jacinthferry/core/admit"
	"jacinthferry/core/clock"
	"jacinthferry/core/leg"
	"jacinthferry/core/reason"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const farDeadline = 10 * clock.Second

func policy(change func(*admit.Policy)) *admit.Policy {
	p := &admit.Policy{
		WarmupAnswers: 2, MaxQueued: 100, Priority: true, RoutineInterval: 4, EarlyRefusal: true, FairQueueing: true, AdaptiveLimit: true, RewarmAfterGap: true,
		OverrunMargin: 100, StaleAfter: clock.Second,
	}
	if change != nil {
		change(p)
	}

	return p
}

// success returns a successful answer from the first process that reports the given load.
func success(load leg.Load) admit.Outcome {
	return admit.Outcome{Finished: true, Result: leg.Result{Answer: leg.Answer{Incarnation: "1", Load: load}}}
}

func refused(code reason.Code, finished bool, incarnation string) admit.Outcome {
	return admit.Outcome{
		Finished: finished, Incarnation: incarnation, Result: leg.Refused(code, reason.ExecutionUnknown, ""),
	}
}

// tickets returns the tickets of the actions of one kind.
func tickets(kind admit.ActionKind, actions []admit.Action) []uint64 {
	var list []uint64
	for _, a := range actions {
		if a.Kind == kind {
			list = append(list, a.Ticket)
		}
	}

	return list
}

// warmQueue returns the queue of a warm upstream with 2 slots and a cold limit of 1 that has answered
// until now = 100.
func warmQueue(p *admit.Policy) *admit.Queue {
	q := admit.New(p, admit.Limits{Slots: 2, ColdLimit: 1})
	for i := range uint64(10) {
		now := clock.Milli(10 * i)
		q.Enqueue(now, admit.Item{Ticket: i, Deadline: farDeadline})
		q.Done(now+10, i, success(leg.Load{}))
	}
	Expect(q.ConcurrencyLimit()).To(Equal(2))

	return q
}

func enqueue(q *admit.Queue, now clock.Milli, first, n uint64) []uint64 {
	var sent []uint64
	for i := range n {
		sent = append(sent, tickets(admit.Dispatch, q.Enqueue(now, admit.Item{Ticket: first + i, Deadline: farDeadline}))...)
	}

	return sent
}

var _ = Describe("a cold upstream", func() {
	It("gets no more than its cold limit until enough answers succeed, however long that takes", func() {
		q := admit.New(policy(nil), admit.Limits{Slots: 2, ColdLimit: 1})
		Expect(enqueue(q, 0, 1, 3)).To(Equal([]uint64{1}))
		Expect(q.HandleTimeout(9 * clock.Second)).To(BeEmpty())
		Expect(tickets(admit.Dispatch, q.Done(9001, 1, success(leg.Load{})))).To(Equal([]uint64{2}))
		Expect(q.Cold()).To(BeTrue())
		Expect(tickets(admit.WarmedUp, q.Done(9002, 2, success(leg.Load{})))).To(HaveLen(1))
	})

	It("stays cold while it reports so, and a false report cannot end its cold start", func() {
		q := admit.New(policy(nil), admit.Limits{Slots: 2, ColdLimit: 1})
		q.HandleReport(0, "1", leg.Load{Cold: false, Slots: 2, ColdLimit: 2})
		Expect(enqueue(q, 0, 1, 2)).To(HaveLen(1))
		for i := uint64(1); i < 9; i++ {
			enqueue(q, 1, 100+i, 1)
			q.Done(2, i, success(leg.Load{Cold: true}))
		}
		Expect(q.Cold()).To(BeTrue())
	})

	DescribeTable("is cold again at once after",
		func(cause func(q *admit.Queue) []admit.Action) {
			q := warmQueue(policy(nil))
			Expect(enqueue(q, 100, 20, 4)).To(Equal([]uint64{20, 21}))
			Expect(tickets(admit.MarkedCold, cause(q))).To(HaveLen(1))
			Expect(q.ConcurrencyLimit()).To(Equal(1))
			Expect(tickets(admit.Dispatch, q.Done(120, 20, refused(reason.Failed, true, "")))).
				To(BeEmpty(), "the other leg may still run")
		},
		Entry("a report of another process", func(q *admit.Queue) []admit.Action {
			return q.HandleReport(101, "2", leg.Load{})
		}),
		Entry("a report that it is cold", func(q *admit.Queue) []admit.Action {
			return q.HandleReport(101, "1", leg.Load{Cold: true})
		}),
		Entry("a broken connection", func(q *admit.Queue) []admit.Action {
			return q.MarkCold(101, reason.Connection)
		}),
	)

	It("is cold again after too long without an answer or a report", func() {
		q := warmQueue(policy(nil))
		Expect(enqueue(q, 1101, 20, 2)).To(Equal([]uint64{20}))
	})

	It("is cold again when all answers become much slower, but not after one straggler", func() {
		q := warmQueue(policy(nil))
		for i := range uint64(3) {
			now := 100 + 200*clock.Milli(i)
			Expect(q.Cold()).To(BeFalse())
			enqueue(q, now, 20+i, 1)
			q.Done(now+190, 20+i, success(leg.Load{}))
		}
		Expect(q.Cold()).To(BeTrue())
	})

	It("is not warmed up by answers to legs sent before it turned cold", func() {
		q := warmQueue(policy(nil))
		enqueue(q, 100, 20, 2)
		q.HandleReport(101, "2", leg.Load{})
		q.HandleReport(102, "1", leg.Load{})
		q.Done(103, 20, success(leg.Load{}))
		q.Done(103, 21, success(leg.Load{}))
		Expect(q.Cold()).To(BeTrue())
	})
})

var _ = Describe("the concurrency limit", func() {
	It("counts a cancelled leg until its end is known", func() {
		q := warmQueue(policy(nil))
		enqueue(q, 100, 20, 3)
		Expect(tickets(admit.CancelLeg, q.Cancel(20))).To(Equal([]uint64{20}))
		Expect(q.Running()).To(Equal(2))
		Expect(tickets(admit.Dispatch, q.Done(110, 20, refused(reason.Cancelled, true, "")))).To(Equal([]uint64{22}))
	})

	It("counts a leg whose connection broke until its deadline and margin have passed", func() {
		q := warmQueue(policy(nil))
		q.Enqueue(100, admit.Item{Ticket: 20, Deadline: 500})
		q.Done(110, 20, refused(reason.Connection, false, "1"))
		Expect(q.NextTimeout()).To(Equal(clock.Milli(600)))
		Expect(enqueue(q, 120, 21, 1)).To(BeEmpty())
		Expect(q.HandleTimeout(599)).To(BeEmpty())
		Expect(tickets(admit.Dispatch, q.HandleTimeout(600))).To(Equal([]uint64{21}))
	})

	It("no longer counts a lost leg of a process that was replaced, and only of that one", func() {
		q := warmQueue(policy(nil))
		enqueue(q, 100, 20, 2)
		q.Done(110, 20, refused(reason.Connection, false, "1"))
		q.Done(110, 21, refused(reason.Connection, false, ""))
		q.HandleReport(120, "2", leg.Load{})
		Expect(q.Running()).To(Equal(1), "the process of the other leg is not known")
	})

	It("is lowered by errors and raised by successful answers", func() {
		q := warmQueue(policy(nil))
		enqueue(q, 100, 20, 1)
		q.Done(110, 20, refused(reason.Overload, true, ""))
		Expect(q.ConcurrencyLimit()).To(Equal(1))
		for i := uint64(30); i < 33; i++ {
			enqueue(q, 120, i, 1)
			q.Done(130, i, success(leg.Load{}))
		}
		Expect(q.ConcurrencyLimit()).To(Equal(2))
		q.HandleReport(140, "1", leg.Load{Slots: 1})
		Expect(q.ConcurrencyLimit()).To(Equal(1), "a report lowers at once")
		q.HandleReport(141, "1", leg.Load{Slots: 2})
		Expect(q.ConcurrencyLimit()).To(Equal(1), "a report does not raise")
	})
})

var _ = Describe("the queue", func() {
	It("serves urgent legs first, and routine ones in every fourth slot", func() {
		q := admit.New(policy(nil), admit.Limits{Slots: 1, ColdLimit: 1})
		enqueue(q, 0, 1, 1)
		for i := range uint64(6) {
			q.Enqueue(0, admit.Item{Ticket: 10 + i, Deadline: farDeadline})
			q.Enqueue(0, admit.Item{Ticket: 20 + i, Deadline: farDeadline, Urgent: true})
		}
		order := []uint64{1}
		for range 8 {
			order = append(order, tickets(admit.Dispatch, q.Done(1, order[len(order)-1], success(leg.Load{})))...)
		}
		Expect(order).To(Equal([]uint64{1, 20, 21, 22, 10, 23, 24, 25, 11}))
	})

	It("serves flows in turn, and refuses the newest leg of the longest flow when it is full", func() {
		q := admit.New(policy(func(p *admit.Policy) { p.MaxQueued = 4 }), admit.Limits{Slots: 1, ColdLimit: 1})
		enqueue(q, 0, 1, 1)
		for i := range uint64(4) {
			q.Enqueue(0, admit.Item{Ticket: 10 + i, Deadline: farDeadline, Flow: 1})
		}
		Expect(tickets(admit.Refuse, q.Enqueue(0, admit.Item{Ticket: 20, Deadline: farDeadline, Flow: 2}))).To(Equal([]uint64{13}))
		Expect(tickets(admit.Dispatch, q.Done(1, 1, success(leg.Load{})))).To(Equal([]uint64{10}))
		Expect(tickets(admit.Dispatch, q.Done(2, 10, success(leg.Load{})))).To(Equal([]uint64{20}))
	})

	It("refuses at once a leg that cannot meet its deadline", func() {
		q := warmQueue(policy(nil))
		enqueue(q, 100, 20, 12)
		Expect(tickets(admit.Refuse, q.Enqueue(100, admit.Item{Ticket: 50, Deadline: 130}))).To(Equal([]uint64{50}))
		Expect(tickets(admit.Refuse, q.Enqueue(100, admit.Item{Ticket: 51, Deadline: 250}))).To(BeEmpty())
	})

	It("dispatches nothing while its home may not send, and refuses the waiting legs", func() {
		q := warmQueue(policy(nil))
		q.SetMaxRunning(100, 0)
		Expect(enqueue(q, 100, 20, 2)).To(BeEmpty())
		Expect(tickets(admit.Refuse, q.RefuseWaiting(reason.Home))).To(Equal([]uint64{20, 21}))
	})
})
