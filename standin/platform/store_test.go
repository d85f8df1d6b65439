package platform_test

import (
	"context"
	"strings"

	"jacinthferry/core/clock"
	"jacinthferry/core/reason"
	"jacinthferry/io/rpc"
	"jacinthferry/io/store"
	"jacinthferry/io/timer"
	wire "jacinthferry/platform"
	"jacinthferry/standin/platform"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

var _ = Describe("the platform stand-in", func() {
	var (
		standIn *platform.Store
		client  store.Store
	)
	start := func(l platform.Limits) {
		standIn = platform.NewLimited(timer.NewClock(), l)
		server, err := rpc.Listen("127.0.0.1:0", standIn.Handler())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		client = wire.NewStore(server.Address(), rpc.Client(0))
	}
	why := func(err error) reason.Refusal {
		var r *reason.Refusal
		if !errors.As(err, &r) {
			return reason.Refusal{}
		}

		return reason.Refusal{Reason: r.Reason, Run: r.Run}
	}
	BeforeEach(func() { start(platform.Usual()) })

	It("writes only on the revision expected, and says what stands there", func(ctx SpecContext) {
		first, err := client.Put(ctx, "a", "1", store.Absent, "")
		Expect(err).NotTo(HaveOccurred())
		Expect(first.Applied).To(BeTrue())
		second, err := client.Put(ctx, "a", "2", store.Absent, "")
		Expect(err).NotTo(HaveOccurred())
		Expect(second.Applied).To(BeFalse())
		Expect(second.Current.Value).To(Equal("1"))
		_, err = client.Put(ctx, "a", strings.Repeat("x", 1<<20), first.Revision, "")
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Put(ctx, "a", strings.Repeat("x", 1<<20+1), store.Any, "")
		Expect(why(err)).To(Equal(reason.Refusal{Reason: reason.Size, Run: reason.NotExecuted}))
	})

	It("ends a lease's keys with the lease, and tells a watch", func(ctx SpecContext) {
		lease, err := client.Grant(ctx, 200*clock.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		w, err := client.Put(ctx, "seat/a", "1", store.Any, lease.ID)
		Expect(err).NotTo(HaveOccurred())
		gone, _, err := client.Watch(ctx, "seat/", w.Revision, 20*clock.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(gone).To(HaveLen(1))
		Expect(gone[0].Deleted).To(BeTrue())
		lease, err = client.Renew(ctx, lease.ID)
		Expect(err).NotTo(HaveOccurred())
		Expect(lease.Live).To(BeFalse())
	})

	It("tells a watch that its revision is no longer kept", func(ctx SpecContext) {
		start(platform.Limits{Reads: 2000, Writes: 2000, Kept: 10})
		for range 40 {
			_, err := client.Put(ctx, "a", "1", store.Any, "")
			Expect(err).NotTo(HaveOccurred())
			_, err = client.Delete(ctx, "a", store.Any)
			Expect(err).NotTo(HaveOccurred())
		}
		_, _, err := client.Watch(ctx, "", 1, clock.Second)
		Expect(why(err)).To(Equal(reason.Refusal{Reason: reason.Compacted, Run: reason.NotExecuted}))
		_, revision, err := client.List(ctx, "")
		Expect(err).NotTo(HaveOccurred())
		_, _, err = client.Watch(ctx, "", revision, clock.Millisecond)
		Expect(err).NotTo(HaveOccurred())
	})

	It("refuses calls over its rates as not run, and counts them", func(ctx SpecContext) {
		start(platform.Limits{Reads: 5, Writes: 3, Kept: 10})
		refused := 0
		for range 20 {
			if _, err := client.Put(ctx, "a", "1", store.Any, ""); err != nil {
				Expect(why(err)).To(Equal(reason.Refusal{Reason: reason.Overload, Run: reason.NotExecuted}))
				refused++
			}
		}
		Expect(refused).To(BeNumerically(">", 0))
		puts, counted := 0, 0
		for _, s := range standIn.Seconds() {
			puts += s.Calls[wire.CallWrite]
			counted += s.Refused
		}
		Expect(puts).To(Equal(20))
		Expect(counted).To(Equal(refused))
	})

	It("loses answers after their effect", func(ctx SpecContext) {
		standIn.SetFaults(platform.Faults{Lost: 1, Only: wire.CallWrite})
		_, err := client.Put(ctx, "a", "1", store.Any, "")
		Expect(why(err).Run).To(Equal(reason.ExecutionUnknown))
		e, err := client.Get(ctx, "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(e.Value).To(Equal("1"))
		lost := 0
		for _, s := range standIn.Seconds() {
			lost += s.Lost
		}
		Expect(lost).To(Equal(1))
	})

	It("has outages that end waiting watches, and comes back", func(ctx SpecContext) {
		_, err := client.Put(ctx, "a", "1", store.Any, "")
		Expect(err).NotTo(HaveOccurred())
		ended := make(chan error, 1)
		go func() {
			_, _, err := client.Watch(context.Background(), "b", 1, clock.Minute)
			ended <- err
		}()
		Eventually(func() int {
			n := 0
			for _, s := range standIn.Seconds() {
				n += s.Calls[wire.CallWatch]
			}

			return n
		}).WithTimeout(20 * clock.Second.Duration()).Should(Equal(1))
		standIn.SetFaults(platform.Faults{Outage: platform.Cut})
		Eventually(ended).WithTimeout(20 * clock.Second.Duration()).Should(Receive(HaveOccurred()))
		_, err = client.Put(ctx, "a", "2", store.Any, "")
		Expect(err).To(HaveOccurred())
		standIn.SetFaults(platform.Faults{Outage: platform.Hang})
		short, cancel := context.WithTimeout(ctx, (100 * clock.Millisecond).Duration())
		defer cancel()
		_, err = client.Get(short, "a")
		Expect(why(err).Reason).To(Equal(reason.Deadline))
		standIn.SetFaults(platform.Faults{Slow: clock.Millisecond})
		e, err := client.Get(ctx, "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(e.Value).To(Equal("1"))
	})

	It("lists live and leaving instances late", func(ctx SpecContext) {
		standIn.SetInstance("one", false)
		standIn.SetInstance("one", true)
		standIn.SetInstance("two", false)
		standIn.RemoveInstance("two")
		Expect(client.Instances(ctx)).To(Equal([]store.Instance{{Name: "one", Leaving: true}}))
		standIn.SetFaults(platform.Faults{Lag: clock.Hour})
		Expect(client.Instances(ctx)).To(BeEmpty())
	})
})
