package ledger_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"

	"jacinthferry/core/clock"
	"jacinthferry/core/event"
	coreledger "jacinthferry/core/ledger"
	"jacinthferry/core/leg"
	"jacinthferry/core/reason"
	"jacinthferry/core/submit"
	"jacinthferry/io/ledger"
	"jacinthferry/io/store"
	"jacinthferry/io/timer"
	"jacinthferry/standin/platform"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a book", func() {
	var (
		now  = timer.NewClock()
		port store.Store
		down atomic.Bool
		puts atomic.Int64
		mu   sync.Mutex
		ran  map[string]int
	)

	BeforeEach(func() {
		ran = make(map[string]int)
		down.Store(false)
		puts.Store(0)
		port = platform.New(now).Platform()
		put, get := port.Put, port.Get
		gone := reason.NewRefusal(reason.Store, reason.ExecutionUnknown, "down")
		port.Put = func(ctx context.Context, key, value string, expect int64, lease string) (store.WriteResult, error) {
			puts.Add(1)
			if down.Load() {
				return store.WriteResult{}, gone
			}

			return put(ctx, key, value, expect, lease)
		}
		port.Get = func(ctx context.Context, key string) (store.Entry, error) {
			if down.Load() {
				return store.Entry{}, gone
			}

			return get(ctx, key)
		}
	})

	open := func(owner string) *ledger.Book {
		running, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		b := ledger.New(running, ledger.Ports{
			Now: now, Store: port, Owner: owner, Record: func(event.Event) {},
			Run: func(_ context.Context, r submit.Request) leg.Result {
				mu.Lock()
				defer mu.Unlock()
				ran[r.ID]++

				return leg.Result{Answer: leg.Answer{Request: r.ID, Body: []byte("did " + r.Body)}}
			},
			Limits: coreledger.Limits{Entries: 1000, Interval: 30, Retry: 20},
		})
		go b.Run()

		return b
	}
	send := func(b *ledger.Book, r submit.Request, wait clock.Milli) leg.Result {
		results := make(chan leg.Result, 1)
		r.Deadline = now() + wait
		b.Submit(r, func(r leg.Result) { results <- r })
		var result leg.Result
		Eventually(results).WithTimeout(20 * clock.Second.Duration()).Should(Receive(&result))

		return result
	}

	It("runs each of many requests once, sent through two books, with few writes", func() {
		books := []*ledger.Book{open("one"), open("two")}
		var group sync.WaitGroup
		var answered atomic.Int64
		for i := range 400 {
			group.Go(func() {
				defer GinkgoRecover()
				r := submit.Request{ID: coreledger.NewID(now(), fmt.Sprint(i)), Body: "x"}
				if send(books[i%2], r, 20*clock.Second).Refusal == nil {
					answered.Add(1)
				}
				r.Resend = true
				send(books[(i+1)%2], r, 20*clock.Second)
			})
		}
		group.Wait()
		Expect(answered.Load()).To(BeEquivalentTo(400))
		Expect(ran).To(HaveLen(400))
		for id, n := range ran {
			Expect(n).To(Equal(1), id)
		}
		Expect(puts.Load()).To(BeNumerically("<", 400))
	})

	It("refuses while the store is down, not run, and keeps another request from a used id", func() {
		b := open("one")
		r := submit.Request{ID: coreledger.NewID(now(), "a"), Service: "s", Body: "x"}
		down.Store(true)
		result := send(b, r, 200)
		Expect(result.Refusal).To(And(HaveField("Reason", reason.Store), HaveField("Run", reason.NotExecuted)))
		down.Store(false)
		r.Resend = true
		Expect(send(b, r, 20*clock.Second).Answer.Body).To(BeEquivalentTo("did x"))
		other := r
		other.Body = "y"
		Expect(send(open("two"), other, 20*clock.Second).Refusal).To(HaveField("Reason", reason.Reused))
		Expect(send(open("three"), r, 20*clock.Second).Answer.Body).To(BeEquivalentTo("did x"))
		Expect(ran[r.ID]).To(Equal(1))
	})

	It("runs nothing on a page that it cannot read", func() {
		r := submit.Request{ID: coreledger.NewID(now(), "a"), Body: "x"}
		_, err := port.Put(context.Background(), coreledger.Key(r.ID), "not a page", store.Any, "")
		Expect(err).NotTo(HaveOccurred())
		Expect(send(open("one"), r, 200).Refusal).To(HaveField("Run", reason.NotExecuted))
		Expect(ran).To(BeEmpty())
	})
})
