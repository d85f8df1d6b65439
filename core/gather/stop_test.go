package gather_test

import (
	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/core/gather"
	"jacinthferry/core/reason"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against requests in progress that keep their deadline when a planned stop begins, and wait past its end.
var _ = Describe("A planned stop", func() {
	const stopSpan = 5 * clock.Second
	rejection := gather.Result{Sent: true, Run: reason.NotExecuted, Reason: reason.Overload}
	unreachable := gather.Result{Run: reason.NotExecuted, Reason: reason.Connection}
	broken := gather.Result{Sent: true, Run: reason.ExecutionUnknown, Reason: reason.Failed}
	newRoute := func(idempotent bool, objective, timeout clock.Milli) catalog.Route {
		return catalog.Route{
			Name: "r", Idempotent: idempotent, Attempts: 2, Objective: objective, Timeout: timeout, MinCoverage: 1, Top: 1,
		}
	}
	// expectRefusal expects actions that refuse the request for the stop, whose caller may go elsewhere at once.
	expectRefusal := func(actions []gather.Action, run reason.Execution) {
		end := ofKind(actions, gather.Finish)
		Expect(end).To(HaveLen(1))
		Expect(end[0].Outcome.Refusal).To(HaveField("Reason", reason.Draining))
		Expect(end[0].Outcome.Refusal.Run).To(Equal(run))
		Expect(end[0].Outcome.RetryAfter).To(BeZero())
	}

	for _, c := range []struct {
		name  string
		route catalog.Route
		// fitsFor is for how long after the start of the stop a waiting request is still worth a leg.
		fitsFor clock.Milli
	}{
		{"refuses a waiting request that may run once only if its time outlasts it", newRoute(false, 100, 20*clock.Second), 0},
		{"refuses a waiting request if its objective outlasts it", newRoute(true, 10*clock.Second, 20*clock.Second), 0},
		{"lets a waiting request wait while its objective fits", newRoute(true, 2*clock.Second, 20*clock.Second), 3 * clock.Second},
	} {
		It(c.name, func() {
			failure := rejection
			if !c.route.Idempotent {
				// After a rejection it would not wait.
				failure = unreachable
			}
			d := newDaemon(1, 1, c.route)
			q, _ := d.begin(start)
			q.HandleResult(start+1, 0, failure)
			Expect(q.Done()).To(BeFalse())
			now := start + 2
			actions := append([]gather.Action(nil), q.Stop(now, now+stopSpan)...)
			if c.fitsFor == 0 {
				expectRefusal(actions, reason.NotExecuted)

				return
			}
			Expect(actions).To(BeEmpty())
			for end := now + c.fitsFor; now < end; now = min(end, q.NextTimeout()) {
				for _, a := range append([]gather.Action(nil), q.HandleTimeout(now)...) {
					Expect(a.Kind).To(Equal(gather.Send))
					q.HandleResult(now, a.Number, rejection)
				}
			}
			expectRefusal(q.HandleTimeout(q.NextTimeout()+1), reason.NotExecuted)
			Expect(q.NextTimeout()).To(BeNumerically("<=", start+2+stopSpan))
		})
	}

	for _, c := range []struct {
		name       string
		idempotent bool
	}{{"may be repeated", true}, {"may run once only", false}} {
		It("ends a request that an upstream runs and that "+c.name, func() {
			d := newDaemon(1, 1, newRoute(c.idempotent, 10*clock.Second, 20*clock.Second))
			q, _ := d.begin(start)
			Expect(q.Stop(start+1, start+stopSpan)).To(BeEmpty())
			Expect(q.NextTimeout()).To(BeNumerically("<=", start+stopSpan))
			expectRefusal(q.HandleTimeout(start+stopSpan), reason.ExecutionUnknown)
		})

		It("does not send a leg again that fails after it has begun, of a request that "+c.name, func() {
			d := newDaemon(1, 2, newRoute(c.idempotent, 10*clock.Second, 20*clock.Second))
			q, _ := d.begin(start)
			q.Stop(start+1, start+stopSpan)
			expectRefusal(q.HandleResult(start+2, 0, rejection), reason.NotExecuted)
		})
	}

	It("passes on an answer that comes before its end", func() {
		d := newDaemon(1, 1, newRoute(false, 10*clock.Second, 20*clock.Second))
		q, _ := d.begin(start)
		q.Stop(start+1, start+stopSpan)
		Expect(ofKind(q.HandleResult(start+stopSpan-1, 0, success), gather.Finish)[0].Outcome.Refusal).To(BeNil())
	})

	It("does not say that a request did not run whose connection broke", func() {
		d := newDaemon(1, 2, newRoute(true, 10*clock.Second, 20*clock.Second))
		q, _ := d.begin(start)
		q.HandleResult(start+1, 0, broken)
		Expect(q.Done()).To(BeFalse())
		expectRefusal(q.Stop(start+2, start+stopSpan), reason.ExecutionUnknown)
	})

	It("refuses a request that begins after it and may outlast it", func() {
		d := newDaemon(1, 1, newRoute(false, 100, 20*clock.Second))
		_, actions := d.Begin(start, d.view, d.route, gather.Request{
			ID: "r", Arrived: start, FirstSent: start, Deadline: start + d.route.Timeout, StopAt: start + stopSpan,
		})
		Expect(ofKind(actions, gather.Send)).To(BeEmpty())
		expectRefusal(actions, reason.NotExecuted)
	})

	It("leaves a request alone that ends before it", func() {
		d := newDaemon(3, 2, lookup)
		q, _ := d.begin(start)
		Expect(q.Stop(start+1, start+stopSpan)).To(BeEmpty())
		Expect(q.NextTimeout()).To(BeNumerically("<=", start+lookup.Timeout))
		for i := range 3 {
			q.HandleResult(start+10, i, success)
		}
		Expect(q.Done()).To(BeTrue())
		Expect(q.Stop(start+20, start+stopSpan)).To(BeEmpty())
	})
})
