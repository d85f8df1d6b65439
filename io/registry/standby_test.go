package registry_test

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"jacinthferry/core/clock"
	"jacinthferry/core/event"
	"jacinthferry/core/subset"
	"jacinthferry/io/registry"
	"jacinthferry/io/store"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// smallSelf is a daemon that takes requests only if large ones are missing.
var smallSelf = registry.Member{Name: "self", Zone: "a", Cores: 0.2}

// servedView is the view of a zone that two large daemons serve, with a third in reserve.
func servedView(revision int64) registry.MemberView {
	return registry.MemberView{Revision: revision, Members: []registry.Member{
		{Name: "large1", Front: "large1:1", Zone: "a", Cores: 0.8},
		{Name: "large2", Front: "large2:1", Zone: "a", Cores: 0.8},
		{Name: "large3", Front: "large3:1", Zone: "a", Cores: 0.8},
	}}
}

// newStandby returns a daemon on standby in a zone that two large ones serve.
func newStandby() *harness {
	r := newHarness(smallSelf)
	r.put("c", "config")
	for _, name := range []string{"large1", "large2", "large3"} {
		r.member(name, "a", 0.8)
	}
	r.advance(0)
	Expect(r.Role()).To(Equal(subset.Idle))
	Expect(r.Following()).To(BeTrue())

	return r
}

// memberNames returns the names of the daemons that serve requests.
func (r *harness) memberNames() []string {
	var names []string
	for _, m := range r.State().Members {
		names = append(names, m.Name)
	}

	return names
}

// Guards against a choice that does not know since when a daemon is registered, and gives the work of one to an equal
// one that joins.
var _ = Describe("A registry", func() {
	It("keeps the daemons at work when an equal one registers", func() {
		r := newHarness(registry.Member{Name: "self", Zone: "b", Cores: 0.8})
		r.put("c", "config")
		r.member("self", "b", 0.8)
		r.member("large2", "a", 0.8)
		r.member("large3", "a", 0.8)
		r.advance(0)
		Expect(r.memberNames()).To(Equal([]string{"large2", "large3", "self"}))
		r.member("large1", "a", 0.8)
		r.advance(clock.Second)
		Expect(r.memberNames()).To(Equal([]string{"large2", "large3", "self"}))
		r.remove("jacinthferry/members/large3")
		r.advance(clock.Second)
		Expect(r.memberNames()).To(Equal([]string{"large1", "large2", "self"}))
	})
})

var _ = Describe("A registry on standby", func() {
	It("names a daemon in reserve only once that takes requests", func() {
		r := newStandby()
		view := servedView(r.revision + 1)
		view.Members = view.Members[1:]
		view.Members[1].Reserve = true
		r.Hear(view)
		r.Iterate(context.Background())
		Expect(r.memberNames()).To(Equal([]string{"large2"}), "large3 is chosen, but may not know that yet")
		view.Members = slices.Clone(view.Members)
		view.Members[1].Reserve = false
		view.Revision++
		r.Hear(view)
		r.Iterate(context.Background())
		Expect(r.memberNames()).To(Equal([]string{"large2", "large3"}))
	})

	It("makes no call to the store while it hears an active daemon", func() {
		r := newStandby()
		for range 60 {
			r.now += clock.Second
			r.Hear(servedView(r.revision))
			r.Iterate(context.Background())
		}
		Expect([]int{r.lists, r.staleLists, r.writes, r.leases}).To(Equal([]int{0, 1, 0, 0}))
		Expect(r.memberNames()).To(Equal([]string{"large1", "large2"}))
	})

	It("takes the place of a daemon that another one no longer knows, after one look at the store", func() {
		r := newStandby()
		view := servedView(r.revision + 1)
		view.Members = view.Members[:1]
		r.remove("jacinthferry/members/large2")
		r.remove("jacinthferry/members/large3")
		r.Hear(view)
		r.Iterate(context.Background())
		Expect(r.Standby()).To(BeTrue(), "others may be faster")
		r.advance(1500)
		Expect(r.Role()).To(Equal(subset.Active))
		Expect(r.Standby()).To(BeFalse())
		Expect(r.View().Config).NotTo(BeNil())
		Expect(r.memberNames()).To(Equal([]string{"large1", "self"}), "it is about to be registered")
		Expect(r.lists).To(Equal(2), "one list of the daemons and one of everything")
	})

	It("leaves the place to another daemon that registered meanwhile", func() {
		r := newStandby()
		view := servedView(r.revision)
		view.Members = view.Members[:1]
		r.Hear(view)
		r.Iterate(context.Background())
		r.advance(1500)
		Expect(r.Role()).To(Equal(subset.Idle))
		Expect(r.Standby()).To(BeTrue())
		Expect(r.lists).To(Equal(1))
	})

	It("passes over a view that is older than its own", func() {
		r := newStandby()
		r.Hear(servedView(r.revision + 5))
		old := servedView(r.revision + 4)
		old.Members = old.Members[:1]
		r.Hear(old)
		r.Iterate(context.Background())
		Expect(r.memberNames()).To(Equal([]string{"large1", "large2"}))
	})

	It("follows nobody and tells others once it is active", func() {
		r := newStandby()
		_, ok := r.MemberView()
		Expect(ok).To(BeFalse())
		for _, name := range []string{"large1", "large2", "large3"} {
			r.remove("jacinthferry/members/" + name)
		}
		r.advance(3000)
		r.advance(1500)
		r.advance(0)
		Expect(r.Following()).To(BeFalse())
		r.member("self", "a", 0.2)
		r.member("large1", "a", 0.8)
		r.now += 3000
		changed := r.MembersChanged()
		r.Iterate(context.Background())
		Expect(changed).To(BeClosed())
		view, ok := r.MemberView()
		Expect(ok).To(BeTrue())
		Expect(view.Revision).To(Equal(r.revision))
		Expect(view.Members).To(HaveLen(2))
		r.now += 700
		view, _ = r.MemberView()
		Expect(view.Age).To(BeEquivalentTo(700))
		changed = r.MembersChanged()
		r.put("u1", "upstream s")
		r.advance(1000)
		Expect(changed).NotTo(BeClosed(), "an upstream is no news for daemons on standby")
	})

	It("is idle once others have replaced it and callers forgot it", func() {
		r := newHarness(registry.Member{Name: "self", Zone: "a", Cores: 0.4})
		r.put("c", "config")
		r.member("self", "a", 0.4)
		r.advance(0)
		Expect(r.Role()).To(Equal(subset.Active))
		for _, name := range []string{"large1", "large2", "large3"} {
			r.member(name, "a", 0.8)
		}
		r.advance(2500)
		Expect(r.Role()).To(Equal(subset.Idle))
		Expect(r.Following()).To(BeFalse(), "it still watches the store")
		r.advance(10_000)
		Expect(r.Following()).To(BeTrue())
		Expect(r.memberNames()).To(Equal([]string{"large1", "large2"}))
	})

	It("asks a store that fails less and less often", func() {
		r := newStandby()
		r.storeErr = errUnavailable
		r.now += 10 * clock.Second
		var waits []clock.Milli
		for range 8 {
			waits = append(waits, r.Iterate(context.Background()))
			r.now += waits[len(waits)-1]
		}
		Expect(waits[len(waits)-1]).To(BeNumerically(">=", 2000))
		Expect(slices.Max(waits)).To(BeNumerically("<=", 4000))
	})
})

var _ = Describe("A lease", func() {
	It("is kept by active daemons and those in reserve, and left to expire by idle ones", func() {
		var role atomic.Int32
		changes := make(chan struct{}, 1)
		calls := make(chan string, 100)
		options := registry.Options{
			Self: smallSelf, Record: func(event.Event) {}, Store: store.Store{
				Grant: func(_ context.Context, span clock.Milli) (store.Lease, error) {
					calls <- fmt.Sprint("grant ", span)

					return store.Lease{ID: "1", Live: true, TTL: span}, nil
				},
				Put: func(_ context.Context, _, value string, _ int64, _ string) (store.WriteResult, error) {
					calls <- "put " + value

					return store.WriteResult{Applied: true}, nil
				},
				Renew: func(_ context.Context, id string) (store.Lease, error) {
					calls <- "renew"

					return store.Lease{ID: id, Live: true}, nil
				},
			},
		}
		lease := registry.NewLease(options, func() subset.Role { return subset.Role(role.Load()) }, changes)
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go lease.Run(ctx)
		Consistently(calls, 300*time.Millisecond).ShouldNot(Receive())
		change := func(to subset.Role) {
			role.Store(int32(to))
			changes <- struct{}{}
		}
		change(subset.Reserve)
		Eventually(calls).Should(Receive(Equal(fmt.Sprint("grant ", 6*clock.Second))))
		Eventually(calls).Should(Receive(And(HavePrefix("put"), ContainSubstring(`"reserve":true`))))
		change(subset.Active)
		Eventually(calls).Should(Receive(Equal(fmt.Sprint("grant ", 2*clock.Second))))
		Eventually(calls).Should(Receive(And(HavePrefix("put"), Not(ContainSubstring("reserve")))))
		Eventually(calls, 2*time.Second).Should(Receive(Equal("renew")))
		change(subset.Idle)
		time.Sleep(200 * time.Millisecond)
		for len(calls) > 0 {
			<-calls
		}
		Consistently(calls, 2*time.Second).ShouldNot(Receive())
	})

	// Guards against a stop that waits for the calls of a store that does not respond.
	for _, hanging := range []string{"grant", "put", "renew"} {
		It("is released without waiting for a "+hanging+" that gets no response", func() {
			calls := make(chan string, 100)
			call := func(ctx context.Context, name string) error {
				calls <- name
				if name != hanging {
					return nil
				}
				<-ctx.Done()

				return ctx.Err()
			}
			options := registry.Options{Self: smallSelf, Record: func(event.Event) {}, Store: store.Store{
				Grant: func(ctx context.Context, span clock.Milli) (store.Lease, error) {
					return store.Lease{ID: "1", Live: true, TTL: span}, call(ctx, "grant")
				},
				Put: func(ctx context.Context, _, _ string, _ int64, _ string) (store.WriteResult, error) {
					return store.WriteResult{Applied: true}, call(ctx, "put")
				},
				Renew: func(ctx context.Context, id string) (store.Lease, error) {
					return store.Lease{ID: id, Live: true}, call(ctx, "renew")
				},
				Revoke: func(ctx context.Context, id string) error { return call(ctx, "revoke "+id) },
			}}
			lease := registry.NewLease(options, func() subset.Role { return subset.Active }, nil)
			ctx, cancel := context.WithCancel(context.Background())
			DeferCleanup(cancel)
			go lease.Run(ctx)
			Eventually(calls, 2*time.Second).Should(Receive(Equal(hanging)))
			released := make(chan struct{})
			go func() {
				defer close(released)
				lease.Release(context.Background())
			}()
			Eventually(released, 500*time.Millisecond).Should(BeClosed())
			if hanging != "grant" {
				Expect(calls).To(Receive(Equal("revoke 1")), "the entry may have been written")
			}
			Consistently(calls, 800*time.Millisecond).ShouldNot(Receive(), "the daemon does not register again")
		})
	}
})
