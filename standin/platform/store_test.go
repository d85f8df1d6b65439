package platform_test

import (
	"context"
	"strings"
	"time"

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

// patience is the timeout of calls that must be answered, however busy the machine is.
const patience = 20 * time.Second

var _ = Describe("the platform stand-in", func() {
	var (
		standIn *platform.Store
		client  store.Store
	)
	start := func(l platform.Limits) {
		standIn = platform.NewWithLimits(timer.NewClock(), l)
		server, err := rpc.Listen("127.0.0.1:0", standIn.Handler())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		client = wire.NewStore(server.Address(), rpc.NewClient(0))
	}
	refusalOf := func(err error) reason.Refusal {
		var r *reason.Refusal
		if !errors.As(err, &r) {
			return reason.Refusal{}
		}

		return reason.Refusal{Reason: r.Reason, Run: r.Run}
	}
	BeforeEach(func() { start(platform.DefaultLimits()) })

	It("writes only at the expected revision, and otherwise returns the current entry", func(spec SpecContext) {
		// Replaces the client's own timeout, which values of 1 MiB exceed on a busy machine with the race detector.
		ctx, cancel := context.WithTimeout(spec, patience)
		defer cancel()
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
		Expect(refusalOf(err)).To(Equal(reason.Refusal{Reason: reason.Size, Run: reason.NotExecuted}))
	})

	It("gives out numbers again after it was restored from a backup, which clients tell from the earlier ones", func(ctx SpecContext) {
		copied := standIn.Copy()
		lost, err := client.Grant(ctx, 300*clock.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		old, err := client.Put(ctx, "a", "1", store.Any, "")
		Expect(err).NotTo(HaveOccurred())
		standIn.Restore(copied)
		_, _, err = client.Watch(ctx, "", old.Revision, clock.Second)
		Expect(refusalOf(err)).To(Equal(reason.Refusal{Reason: reason.Compacted, Run: reason.NotExecuted}))
		other, err := client.Grant(ctx, 300*clock.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		Expect([]string{lost.ID, other.ID}).To(Equal([]string{"0/1", "1/1"}))
		again, err := client.Put(ctx, "a", "2", store.Any, other.ID)
		Expect(err).NotTo(HaveOccurred())
		Expect(store.Number(again.Revision)).To(Equal(store.Number(old.Revision)))
		Expect(again.Revision).To(BeNumerically(">", old.Revision))
		// Nothing that refers to the lost writes has an effect.
		Expect(client.Renew(ctx, lost.ID)).To(HaveField("Live", false))
		Expect(client.Revoke(ctx, lost.ID)).To(Succeed())
		_, err = client.Put(ctx, "b", "1", store.Any, lost.ID)
		Expect(refusalOf(err)).To(Equal(reason.Refusal{Reason: reason.Lapsed, Run: reason.NotExecuted}))
		done, err := client.Put(ctx, "a", "3", old.Revision, "")
		Expect(err).NotTo(HaveOccurred())
		Expect(done.Applied).To(BeFalse())
		Expect(done.Current).To(HaveField("Value", "2"))
	})

	It("deletes the keys of a lease when it expires, and notifies a watch", func(ctx SpecContext) {
		lease, err := client.Grant(ctx, 200*clock.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		w, err := client.Put(ctx, "seat/a", "1", store.Any, lease.ID)
		Expect(err).NotTo(HaveOccurred())
		changes, _, err := client.Watch(ctx, "seat/", w.Revision, 20*clock.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(changes).To(HaveLen(1))
		Expect(changes[0].Deleted).To(BeTrue())
		lease, err = client.Renew(ctx, lease.ID)
		Expect(err).NotTo(HaveOccurred())
		Expect(lease.Live).To(BeFalse())
	})

	It("refuses a watch from a revision that is no longer kept", func(ctx SpecContext) {
		start(platform.Limits{ReadRate: 2000, WriteRate: 2000, KeptRevisions: 10})
		for range 40 {
			_, err := client.Put(ctx, "a", "1", store.Any, "")
			Expect(err).NotTo(HaveOccurred())
			_, err = client.Delete(ctx, "a", store.Any)
			Expect(err).NotTo(HaveOccurred())
		}
		_, _, err := client.Watch(ctx, "", 1, clock.Second)
		Expect(refusalOf(err)).To(Equal(reason.Refusal{Reason: reason.Compacted, Run: reason.NotExecuted}))
		_, revision, err := client.List(ctx, "")
		Expect(err).NotTo(HaveOccurred())
		_, _, err = client.Watch(ctx, "", revision, clock.Millisecond)
		Expect(err).NotTo(HaveOccurred())
	})

	It("refuses calls above its rate limits as not run, and counts them", func(ctx SpecContext) {
		start(platform.Limits{ReadRate: 5, WriteRate: 3, KeptRevisions: 10})
		refused := 0
		for range 20 {
			if _, err := client.Put(ctx, "a", "1", store.Any, ""); err != nil {
				Expect(refusalOf(err)).To(Equal(reason.Refusal{Reason: reason.Overload, Run: reason.NotExecuted}))
				refused++
			}
		}
		Expect(refused).To(BeNumerically(">", 0))
		puts, counted := 0, 0
		for _, s := range standIn.CountsPerSecond() {
			puts += s.Calls[wire.CallWrite]
			counted += s.Refused
		}
		Expect(puts).To(Equal(20))
		Expect(counted).To(Equal(refused))
	})

	It("loses responses after the call took effect", func(ctx SpecContext) {
		standIn.SetFaults(platform.Faults{LostShare: 1, LostKind: wire.CallWrite})
		_, err := client.Put(ctx, "a", "1", store.Any, "")
		Expect(refusalOf(err).Run).To(Equal(reason.ExecutionUnknown))
		e, err := client.Get(ctx, "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(e.Value).To(Equal("1"))
		lost := 0
		for _, s := range standIn.CountsPerSecond() {
			lost += s.Lost
		}
		Expect(lost).To(Equal(1))
	})

	It("ends waiting watches in an outage, and recovers", func(ctx SpecContext) {
		_, err := client.Put(ctx, "a", "1", store.Any, "")
		Expect(err).NotTo(HaveOccurred())
		ended := make(chan error, 1)
		go func() {
			_, _, err := client.Watch(context.Background(), "b", 1, clock.Minute)
			ended <- err
		}()
		Eventually(func() int {
			n := 0
			for _, s := range standIn.CountsPerSecond() {
				n += s.Calls[wire.CallWatch]
			}

			return n
		}).WithTimeout(20 * clock.Second.Duration()).Should(Equal(1))
		standIn.SetFaults(platform.Faults{Outage: platform.AbortConnections})
		Eventually(ended).WithTimeout(20 * clock.Second.Duration()).Should(Receive(HaveOccurred()))
		_, err = client.Put(ctx, "a", "2", store.Any, "")
		Expect(err).To(HaveOccurred())
		standIn.SetFaults(platform.Faults{Outage: platform.HangCalls})
		short, cancel := context.WithTimeout(ctx, (100 * clock.Millisecond).Duration())
		defer cancel()
		_, err = client.Get(short, "a")
		Expect(refusalOf(err).Reason).To(Equal(reason.Deadline))
		standIn.SetFaults(platform.Faults{Latency: clock.Millisecond})
		e, err := client.Get(ctx, "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(e.Value).To(Equal("1"))
	})

	It("lists live and leaving instances, after a delay if told to", func(ctx SpecContext) {
		standIn.SetInstance("one", false)
		standIn.SetInstance("one", true)
		standIn.SetInstance("two", false)
		standIn.RemoveInstance("two")
		Expect(client.Instances(ctx)).To(Equal([]store.Instance{{Name: "one", Leaving: true}}))
		standIn.SetFaults(platform.Faults{InstanceListLag: clock.Hour})
		Expect(client.Instances(ctx)).To(BeEmpty())
	})
})
