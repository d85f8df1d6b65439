package control_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"jacinthferry/core/clock"
	"jacinthferry/core/config"
	"jacinthferry/core/leg"
	"jacinthferry/core/reason"
	"jacinthferry/core/route"
	"jacinthferry/io/control"
	"jacinthferry/io/upstream"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

// timeout is how long specs wait for an expected condition.
const timeout = 20 * time.Second

func refusal(err error) reason.Refusal {
	var r *reason.Refusal
	ExpectWithOffset(1, errors.As(err, &r)).To(BeTrue(), "%v", err)

	return *r
}

var _ = Describe("a fleet of daemons", func() {
	var f *fleet

	BeforeEach(func() {
		ctx, cancel := context.WithCancel(context.Background())
		f = newFleet(ctx)
		DeferCleanup(cancel)
	})

	startFleet := func(ctx context.Context, count int) {
		f.startAll(count, 3)
		Eventually(f.allListed).WithTimeout(timeout).Should(BeTrue())
		applied, err := f.get("d000").Apply(ctx, sampleConfig(3, 12), control.ApplyOptions{Who: "ann"})
		Expect(err).NotTo(HaveOccurred())
		Eventually(f.lowestRevision).WithTimeout(timeout).Should(Equal(applied.Revision))
	}

	It("puts a change in force everywhere if the store fails right after accepting it", func(ctx SpecContext) {
		startFleet(ctx, 9)
		applied, err := f.get("d001").Apply(ctx, sampleConfig(3, 13), control.ApplyOptions{Who: "ann"})
		f.store.down.Store(true)
		Expect(err).NotTo(HaveOccurred())
		Eventually(f.lowestRevision).WithTimeout(timeout).Should(Equal(applied.Revision))
		for _, n := range f.nodes {
			Expect(n.regressed.Load()).To(BeFalse())
		}
	})

	It("gives a daemon that starts during a store outage the configuration of its peers", func(ctx SpecContext) {
		startFleet(ctx, 3)
		f.store.down.Store(true)
		late := f.start("late", "z0")
		Consistently(func() bool { return late.table.Load() == nil }).WithTimeout(time.Second).Should(BeTrue())
		late.HandleLinkOpened("d000")
		Eventually(func() uint64 { return late.highest.Load() }).WithTimeout(timeout).
			Should(Equal(f.get("d000").highest.Load()))
		Eventually(func() bool { _, holds := late.Membership(); return holds }).WithTimeout(timeout).Should(BeTrue())
	})

	It("gives a restarted daemon no older revision than the accepted one", func(ctx SpecContext) {
		startFleet(ctx, 3)
		f.kill("d002")
		applied, err := f.get("d000").Apply(ctx, sampleConfig(3, 14), control.ApplyOptions{})
		Expect(err).NotTo(HaveOccurred())
		again := f.start("d002", "z2")
		Eventually(func() uint64 { return again.highest.Load() }).WithTimeout(timeout).
			Should(Equal(uint64(applied.Revision)))
		Expect(again.regressed.Load()).To(BeFalse())
	})

	It("refuses a conflicting change and names the author of the one made first", func(ctx SpecContext) {
		startFleet(ctx, 3)
		race := func() {
			_, err := f.get("d001").Apply(ctx, sampleConfig(3, 20), control.ApplyOptions{Who: "bob", Note: "more"})
			Expect(err).NotTo(HaveOccurred())
		}
		f.store.beforeHeadWrite.Store(&race)
		_, err := f.get("d000").Apply(ctx, sampleConfig(3, 30), control.ApplyOptions{Who: "ann"})
		r := refusal(err)
		Expect(r.Reason).To(Equal(reason.Conflict))
		Expect(r.Run).To(Equal(reason.NotExecuted))
		Expect(r.Detail).To(ContainSubstring("bob"))
		c, _, _ := f.get("d001").CurrentConfig(ctx)
		Expect(c.Services[0].Versions[0].Upstreams).To(HaveLen(20))
		_, err = f.get("d001").Apply(ctx, sampleConfig(3, 1), control.ApplyOptions{Expect: 1})
		Expect(refusal(err).Reason).To(Equal(reason.Conflict))
	})

	It("detects that a change took effect although the responses were lost", func(ctx SpecContext) {
		startFleet(ctx, 3)
		f.store.loseResponses.Store(2)
		applied, err := f.get("d000").Apply(ctx, sampleConfig(3, 15), control.ApplyOptions{Who: "ann", Note: "lost"})
		Expect(err).NotTo(HaveOccurred())
		list, err := f.get("d001").History(ctx, 10)
		Expect(err).NotTo(HaveOccurred())
		Expect(list[0].Revision).To(Equal(applied.Revision))
		Expect(list).To(HaveLen(2))
	})

	It("reports whether a change took effect when the store is unreachable", func(ctx SpecContext) {
		startFleet(ctx, 3)
		f.store.down.Store(true)
		_, err := f.get("d000").Apply(ctx, sampleConfig(3, 16), control.ApplyOptions{})
		Expect(refusal(err)).To(And(HaveField("Reason", reason.Store), HaveField("Run", reason.NotExecuted)))
		f.store.down.Store(false)
		f.store.loseResponses.Store(1000)
		short, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
		defer cancel()
		outage := func() { f.store.down.Store(true) }
		f.store.beforeHeadWrite.Store(&outage)
		_, err = f.get("d000").Apply(short, sampleConfig(3, 17), control.ApplyOptions{})
		Expect(refusal(err)).To(And(HaveField("Reason", reason.Store), HaveField("Run", reason.ExecutionUnknown)))
	})

	It("keeps every accepted change in the history under concurrent changes", func(ctx SpecContext) {
		startFleet(ctx, 3)
		var accepted sync.Map
		var group sync.WaitGroup
		for who := range 3 {
			group.Go(func() {
				defer GinkgoRecover()
				for i := range 40 {
					applied, err := f.get(fmt.Sprintf("d%03d", who)).Apply(ctx, sampleConfig(3, 12+i%3), control.ApplyOptions{Force: true})
					Expect(err).NotTo(HaveOccurred())
					_, twice := accepted.LoadOrStore(applied.Revision, true)
					Expect(twice).To(BeFalse())
				}
			})
		}
		group.Wait()
		list, err := f.get("d000").History(ctx, 1000)
		Expect(err).NotTo(HaveOccurred())
		Expect(list).To(HaveLen(121))
		for _, r := range list[:120] {
			_, ok := accepted.Load(r.Revision)
			Expect(ok).To(BeTrue())
		}
		Eventually(f.lowestRevision).WithTimeout(timeout).Should(Equal(list[0].Revision))
		Eventually(func() int {
			entries, _, _ := f.store.List(ctx, control.PartPrefix)

			return len(entries)
		}).WithTimeout(timeout).Should(Equal(1), "unused parts must be removed")
	})

	It("ignores invalid values in the store", func(ctx SpecContext) {
		startFleet(ctx, 3)
		before := f.lowestRevision()
		_, err := f.store.Put(ctx, control.HeadKey, `{"nonce":"x","parts":["none-x"]`, -1, "")
		Expect(err).NotTo(HaveOccurred())
		_, err = f.store.Put(ctx, "seat/ghost", `{"name":"other"}`, -1, "")
		Expect(err).NotTo(HaveOccurred())
		Consistently(f.lowestRevision).WithTimeout(time.Second).Should(Equal(before))
		Expect(f.allListed()).To(BeTrue())
		_, err = f.get("d000").Apply(ctx, sampleConfig(3, 18), control.ApplyOptions{})
		Expect(refusal(err).Run).To(Equal(reason.NotExecuted))
	})

	It("keeps the members during a store outage and drops a killed one", func(ctx SpecContext) {
		startFleet(ctx, 9)
		f.store.down.Store(true)
		Consistently(f.allListed).WithTimeout(5 * time.Second).Should(BeTrue())
		f.kill("d004")
		start := f.now()
		Eventually(f.allListed).WithTimeout(timeout).Should(BeTrue())
		GinkgoWriter.Printf("killed daemon removed from all entry lists after %v\n", f.now()-start)
	})

	It("takes a zone out of service on all daemons unless the remaining capacity is too small", func(ctx SpecContext) {
		f.reports = func(config.Upstream) (upstream.Report, error) {
			return upstream.Report{Load: leg.Load{Running: 1}}, nil
		}
		startFleet(ctx, 9)
		Eventually(func() float64 { return f.get("d001").Status(ctx).RunningLegs["s"] }).WithTimeout(timeout).
			Should(BeNumerically("~", 12, 0.1))
		_, err := f.get("d000").SetZone(ctx, "z0", true, control.ApplyOptions{Who: "ann"})
		Expect(err).NotTo(HaveOccurred())
		f.store.down.Store(true)
		Eventually(func() int { return len(f.get("d008").Entries("z0")) }).WithTimeout(timeout).Should(Equal(6))
		u := config.Upstream{Name: "u0", Zone: "z0"}
		for _, n := range f.nodes {
			Eventually(func() *reason.Refusal { return n.Allow(u) }).WithTimeout(timeout).Should(HaveField("Reason", reason.Zone))
		}
		f.store.down.Store(false)
		Eventually(func() reason.Code {
			_, err = f.get("d000").SetZone(ctx, "z1", true, control.ApplyOptions{Who: "ann"})

			return refusal(err).Reason
		}).WithTimeout(timeout).Should(Equal(reason.Zone))
		Expect(refusal(err).Detail).To(ContainSubstring("8 of 24 slots left"))
		_, err = f.get("d000").SetZone(ctx, "z1", true, control.ApplyOptions{Force: true})
		Expect(err).NotTo(HaveOccurred())
		_, err = f.get("d000").SetZone(ctx, "nowhere", true, control.ApplyOptions{})
		Expect(refusal(err).Reason).To(Equal(reason.Invalid))
	})

	It("refuses to take out the zone of a shard's last replica", func(ctx SpecContext) {
		f.reports = func(u config.Upstream) (upstream.Report, error) {
			shard := 0
			if u.Zone == "z2" {
				shard = 1
			}

			return upstream.Report{Snapshots: []route.HeldSnapshot{{Name: "at", Order: 1, Total: 2, Shards: []int{shard}}}}, nil
		}
		startFleet(ctx, 3)
		Eventually(func() string {
			_, err := f.get("d000").SetZone(ctx, "z2", true, control.ApplyOptions{})
			if err == nil {
				_, err = f.get("d000").SetZone(ctx, "z2", false, control.ApplyOptions{})
				Expect(err).NotTo(HaveOccurred())

				return ""
			}

			return refusal(err).Detail
		}).WithTimeout(timeout).Should(ContainSubstring("1 shards would have no replica left"))
		_, err := f.get("d000").SetZone(ctx, "z1", true, control.ApplyOptions{})
		Expect(err).NotTo(HaveOccurred())
	})

	It("sends no work to a draining upstream, whichever source reports it first", func(ctx SpecContext) {
		startFleet(ctx, 3)
		refusedByAll := func(name string) func() bool {
			return func() bool {
				for _, n := range f.nodes {
					if r := n.Allow(config.Upstream{Name: name, Zone: "z0"}); r == nil || r.Reason != reason.Draining {
						return false
					}
				}

				return true
			}
		}
		Eventually(func() int { return f.get("d000").Status(ctx).UpstreamCounts["live"] }).WithTimeout(timeout).Should(Equal(12))
		Eventually(func() bool {
			f.get("d001").HandleDraining("u3") // as after each answer that reports it

			return refusedByAll("u3")()
		}).WithTimeout(timeout).Should(BeTrue())
		c := sampleConfig(3, 12)
		c.Services[0].Versions[0].Upstreams[4].Drain = true
		_, err := f.get("d000").Apply(ctx, c, control.ApplyOptions{})
		Expect(err).NotTo(HaveOccurred())
		Eventually(refusedByAll("u4")).WithTimeout(timeout).Should(BeTrue())
		Consistently(refusedByAll("u3")).WithTimeout(time.Second).Should(BeTrue(), "a report that is out of date must not end the draining")
		Expect(f.get("d002").Status(ctx).UpstreamCounts).To(HaveKeyWithValue("leaving", 2))
	})

	It("shows the revision and state of each daemon", func(ctx SpecContext) {
		startFleet(ctx, 3)
		status := f.get("d001").Status(ctx)
		Expect(status.Daemons).To(HaveLen(3))
		for _, d := range status.Daemons {
			Expect(d).To(And(HaveField("Revision", status.Revision), HaveField("Answered", true), HaveField("State", "alive")))
		}
		f.kill("d002")
		Eventually(func() string {
			for _, d := range f.get("d001").Status(ctx).Daemons {
				if d.Name == "d002" {
					return fmt.Sprint(d.State, d.Answered)
				}
			}

			return ""
		}).WithTimeout(timeout).Should(Equal("deadfalse"))
	})

	It("limits the rate of store calls before, during and after an outage", func(ctx SpecContext) {
		startFleet(ctx, 9)
		callRate := func(span clock.Milli) float64 {
			before := f.store.calls.Load()
			time.Sleep(span.Duration())

			return float64(f.store.calls.Load()-before) / float64(span/clock.Second)
		}
		up := callRate(4 * clock.Second)
		f.store.down.Store(true)
		down := callRate(8 * clock.Second)
		f.store.down.Store(false)
		after := callRate(4 * clock.Second)
		GinkgoWriter.Printf("store calls a second, 9 daemons: up %.1f, down %.1f, after %.1f\n", up, down, after)
		const budget = 200
		Expect([]float64{up, down, after}).To(HaveEach(BeNumerically("<", budget)))
		Expect(f.allListed()).To(BeTrue())
	})

	It("removes a daemon from the entry lists when it begins a planned stop", func(ctx SpecContext) {
		startFleet(ctx, 3)
		f.get("d001").Leave()
		Eventually(f.allListed).WithTimeout(timeout).Should(BeFalse())
		for _, n := range f.nodes {
			Eventually(func() string { return fmt.Sprint(n.Entries("z1")) }).WithTimeout(timeout).
				ShouldNot(ContainSubstring("d001"))
		}
		Eventually(func() string {
			entries, _, _ := f.store.List(ctx, "seat/")
			var names []string
			for _, e := range entries {
				names = append(names, e.Key)
			}

			return strings.Join(names, " ")
		}).WithTimeout(timeout).Should(Equal("seat/d000 seat/d002"))
	})
})
