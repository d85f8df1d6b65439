package ledger_test

import (
	"context"
	"fmt"
	"math/rand/v2"
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

var _ = Describe("A ledger", func() {
	var (
		now     = timer.NewClock()
		backend store.Store
		down    atomic.Bool
		refuse  atomic.Bool
		writes  atomic.Int64
		mu      sync.Mutex
		runs    map[string]int
	)

	BeforeEach(func() {
		runs = make(map[string]int)
		down.Store(false)
		refuse.Store(false)
		writes.Store(0)
		backend = platform.New(now).Operations()
		put, get := backend.Put, backend.Get
		unavailable := reason.NewRefusal(reason.Store, reason.ExecutionUnknown, "down")
		backend.Put = func(ctx context.Context, key, value string, expect int64, lease string) (store.WriteResult, error) {
			writes.Add(1)
			if down.Load() {
				return store.WriteResult{}, unavailable
			}

			return put(ctx, key, value, expect, lease)
		}
		backend.Get = func(ctx context.Context, key string) (store.Entry, error) {
			if down.Load() {
				return store.Entry{}, unavailable
			}

			return get(ctx, key)
		}
	})

	openLedger := func(owner string) *ledger.Ledger {
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		l := ledger.New(ctx, ledger.Options{
			Now: now, Store: backend, Owner: owner, Record: func(event.Event) {},
			SendRequest: func(_ context.Context, r submit.Request) leg.Result {
				if refuse.Load() {
					return leg.Refused(reason.Overload, reason.NotExecuted, "busy")
				}
				mu.Lock()
				defer mu.Unlock()
				runs[r.ID]++

				return leg.Result{Answer: leg.Answer{Request: r.ID, Body: []byte("did " + r.Body)}}
			},
			PageConfig: coreledger.Config{MaxEntries: 1000, MinWriteInterval: 30, RetryInterval: 20},
		})
		go l.Run()

		return l
	}
	send := func(l *ledger.Ledger, r submit.Request, wait clock.Milli) leg.Result {
		results := make(chan leg.Result, 1)
		r.Deadline = now() + wait
		l.Submit(r, func(r leg.Result) { results <- r })
		var result leg.Result
		Eventually(results).WithTimeout(20 * clock.Second.Duration()).Should(Receive(&result))

		return result
	}

	It("runs each of many requests once with few writes when they are sent through two ledgers", func() {
		ledgers := []*ledger.Ledger{openLedger("one"), openLedger("two")}
		var wg sync.WaitGroup
		var answered atomic.Int64
		for i := range 400 {
			wg.Go(func() {
				defer GinkgoRecover()
				r := submit.Request{ID: coreledger.NewID(now(), fmt.Sprint(i)), Body: "x"}
				if send(ledgers[i%2], r, 20*clock.Second).Refusal == nil {
					answered.Add(1)
				}
				r.Resend = true
				send(ledgers[(i+1)%2], r, 20*clock.Second)
			})
		}
		wg.Wait()
		Expect(answered.Load()).To(BeEquivalentTo(400))
		Expect(runs).To(HaveLen(400))
		for id, n := range runs {
			Expect(n).To(Equal(1), id)
		}
		Expect(writes.Load()).To(BeNumerically("<", 400))
	})

	It("refuses requests as not run while the store is unavailable, and a different request with a used id", func() {
		l := openLedger("one")
		r := submit.Request{ID: coreledger.NewID(now(), "a"), Service: "s", Body: "x"}
		down.Store(true)
		result := send(l, r, 200)
		Expect(result.Refusal).To(And(HaveField("Reason", reason.Store), HaveField("Run", reason.NotExecuted)))
		down.Store(false)
		r.Resend = true
		Expect(send(l, r, 20*clock.Second).Answer.Body).To(BeEquivalentTo("did x"))
		other := r
		other.Body = "y"
		Expect(send(openLedger("two"), other, 20*clock.Second).Refusal).To(HaveField("Reason", reason.Reused))
		Expect(send(openLedger("three"), r, 20*clock.Second).Answer.Body).To(BeEquivalentTo("did x"))
		Expect(runs[r.ID]).To(Equal(1))
	})

	It("runs a request with its own body after another one with the same id was refused as not run", func() {
		l := openLedger("one")
		r := submit.Request{ID: coreledger.NewID(now(), "a"), Service: "s", Body: "old"}
		down.Store(true)
		Expect(send(l, r, 50).Refusal).To(HaveField("Run", reason.NotExecuted))
		down.Store(false)
		r.Body = "new"
		Expect(send(l, r, 20*clock.Second).Answer.Body).To(BeEquivalentTo("did new"))
	})

	It("answers each request with the outcome of its own body, whatever is refused and sent again", func() {
		for seed := range uint64(20) {
			random := rand.New(rand.NewPCG(seed, 4))
			l := openLedger(fmt.Sprint("seed ", seed))
			ids := []string{coreledger.NewID(now(), "a"), coreledger.NewID(now(), "b")}
			for range 30 {
				down.Store(random.IntN(3) == 0)
				refuse.Store(random.IntN(4) == 0)
				r := submit.Request{ID: ids[random.IntN(len(ids))], Body: fmt.Sprint(random.IntN(3)), Resend: random.IntN(2) == 0}
				result := send(l, r, clock.Milli(1+random.IntN(60)))
				if result.Refusal == nil {
					Expect(result.Answer.Body).To(BeEquivalentTo("did "+r.Body), "seed %d", seed)
				}
			}
			for _, id := range ids {
				Expect(runs[id]).To(BeNumerically("<=", 1), "seed %d", seed)
			}
		}
	})

	It("runs no request of an invalid page", func() {
		r := submit.Request{ID: coreledger.NewID(now(), "a"), Body: "x"}
		_, err := backend.Put(context.Background(), coreledger.PageKey(r.ID), "not a page", store.Any, "")
		Expect(err).NotTo(HaveOccurred())
		Expect(send(openLedger("one"), r, 200).Refusal).To(HaveField("Run", reason.NotExecuted))
		Expect(runs).To(BeEmpty())
	})
})
