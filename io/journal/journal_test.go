package journal_test

import (
	"fmt"

	"jacinthferry/core/clock"
	"jacinthferry/core/event"
	"jacinthferry/core/reason"
	"jacinthferry/io/journal"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the rate-limited log lines of a journal", func() {
	const requests = 500
	var now clock.Milli
	var written []event.Event
	var totalSkipped int
	var j *journal.Journal

	BeforeEach(func() {
		now, written, totalSkipped = clock.Second, nil, 0
		j = journal.New("daemon", 16, func() clock.Milli { return now })
		j.SetWriteHook(func(e event.Event, skipped int) {
			written = append(written, e)
			totalSkipped += skipped
		})
	})

	// record records retries of every request, and 100 ms later the final event that end returns for it.
	record := func(retries int, end func(i int) event.Event) {
		for i := range requests {
			for range retries {
				j.Record(event.Event{Kind: event.Retry, Reason: reason.Failed, Request: fmt.Sprint(i)})
			}
		}
		now += 100
		for i := range requests {
			e := end(i)
			e.Request = fmt.Sprint(i)
			j.Record(e)
		}
	}

	kindsOf := func(request string) []event.Kind {
		var kinds []event.Kind
		for _, e := range written {
			if e.Request == request {
				kinds = append(kinds, e.Kind)
			}
		}

		return kinds
	}

	It("contain all events of the few requests that failed", func() {
		record(2, func(i int) event.Event {
			if i%100 == 99 {
				return event.Event{Kind: event.Refusal, Reason: reason.Failed}
			}

			return event.Event{Kind: event.Answer}
		})
		for i := 99; i < requests; i += 100 {
			Expect(kindsOf(fmt.Sprint(i))).To(Equal([]event.Kind{event.Retry, event.Retry, event.Refusal}))
		}
	})

	It("keep the original time of deferred events", func() {
		record(1, func(int) event.Event { return event.Event{Kind: event.Refusal, Reason: reason.Failed} })
		for _, e := range written {
			if e.Kind == event.Retry {
				Expect(e.At).To(Equal(clock.Second))
			}
		}
	})

	It("are limited when every request fails, and report how many were skipped", func() {
		record(3, func(int) event.Event { return event.Event{Kind: event.Refusal, Reason: reason.Failed} })
		Expect(len(written)).To(BeNumerically("<=", 20+50+100))
		now += 2 * clock.Second
		j.Record(event.Event{Kind: event.Refusal, Reason: reason.Failed})
		j.Record(event.Event{Kind: event.Retry, Reason: reason.Failed})
		Expect(len(written) + totalSkipped).To(Equal(requests*4 + 2))
	})

	It("exclude the deferred events of requests that never end", func() {
		record(1, func(int) event.Event { return event.Event{Kind: event.Hedge, Reason: reason.Slow} })
		for range 3 {
			now += 6 * clock.Second
			j.Record(event.Event{Kind: event.Retry, Reason: reason.Failed})
		}
		// Every retry is written, or counted as skipped once it has expired.
		retries := 0
		for _, e := range written {
			if e.Kind == event.Retry {
				retries++
			}
		}
		Expect(retries + totalSkipped).To(Equal(requests + 3))
		written = nil
		j.Record(event.Event{Kind: event.Refusal, Reason: reason.Failed, Request: "400"})
		Expect(kindsOf("400")).To(Equal([]event.Kind{event.Refusal}))
	})
})
