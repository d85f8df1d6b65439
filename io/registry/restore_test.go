package registry_test

import (
	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// rewriteAfter is when the owners of lost entries have rewritten them.
const rewriteAfter = clock.Second

var _ = Describe("A registry whose store is restored from a backup", func() {
	var r *harness
	usable := func() int { return len(r.View().Usable("s")) }
	BeforeEach(func() {
		r = newHarness(self)
		r.put("c", "config 1")
		r.put("u1", "upstream s")
		r.put("u2", "upstream s")
		r.advance(0)
	})
	// afterRestore brings the store back and lets the registry notice.
	afterRestore := func(restore func()) {
		restore()
		r.advance(rewriteAfter / 2)
		r.advance(rewriteAfter / 2)
	}

	It("takes over the changes after it, although their revisions were given out before", func() {
		restore := r.copyStore()
		for range 20 {
			r.put("other", "report x")
		}
		r.put("c", "config 2")
		r.advance(1000)
		afterRestore(restore)
		r.put("c", "config 3")
		r.advance(1000)
		Expect(r.View().Config.Version).To(BeEquivalentTo(3))
	})

	It("never goes back to an earlier configuration", func() {
		restore := r.copyStore()
		r.put("c", "config 2")
		r.advance(1000)
		afterRestore(restore)
		Expect(r.View().Config.Version).To(BeEquivalentTo(2))
		r.advance(clock.Minute)
		Expect(r.View().Config.Version).To(BeEquivalentTo(2))
	})

	It("gives no requests to an upstream that the backup does not know to be draining or gone, until it rewrites its entry", func() {
		restore := r.copyStore()
		r.put("u1", "upstream s draining")
		r.remove("u2")
		r.advance(1000)
		Expect(usable()).To(BeZero())
		afterRestore(restore)
		Expect(usable()).To(BeZero())
		r.put("u2", "upstream s")
		r.advance(100)
		Expect(usable()).To(Equal(1))
	})

	It("takes what the store holds once the owners have had time to rewrite them, also if it is away by then", func() {
		restore := r.copyStore()
		r.put("u1", "upstream s draining")
		r.remove("u2")
		r.advance(1000)
		afterRestore(restore)
		r.storeErr = errUnavailable
		r.advance(2000)
		r.storeErr = nil
		r.advance(1000)
		Expect(usable()).To(Equal(2))
	})

	It("keeps upstreams and daemons that the backup lacks, until their owners had time to rewrite them", func() {
		restore := r.copyStore()
		r.put("u3", "upstream s")
		r.member("other", "a", 0.4)
		r.member("self", "a", 0.4)
		r.advance(1000)
		Expect(usable()).To(Equal(3))
		afterRestore(restore)
		Expect(usable()).To(Equal(3))
		Expect(r.State().Members).To(HaveLen(2))
		r.advance(2000)
		r.advance(1000)
		Expect(usable()).To(Equal(2))
		Expect(r.State().Members).To(BeEmpty())
	})

	It("keeps an availability zone out of service that the backup does not have out", func() {
		restore := r.copyStore()
		r.put("z", "out a")
		r.advance(1000)
		Expect(usable()).To(BeZero())
		afterRestore(restore)
		Expect(usable()).To(BeZero())
		r.put("z", "out a")
		for range 5 {
			r.advance(1000)
			Expect(usable()).To(BeZero())
		}
	})

	It("brings a version move no step back, and rewrites it and its report", func() {
		r.put("order", "order v2")
		r.advance(1000)
		ordered := r.copyStore()
		stage := func() catalog.Stage {
			m, _ := r.View().Rollout("s")

			return m.Stage
		}
		Expect(stage()).To(Equal(catalog.Canary))
		r.results = badCounts
		r.advance(1000)
		r.results = nil
		Expect(stage()).To(Equal(catalog.RolledBack))
		afterRestore(ordered)
		Expect(stage()).To(Equal(catalog.RolledBack))
		r.put("order", "order v2")
		for range 10 {
			r.advance(1000)
			Expect(stage()).To(Equal(catalog.RolledBack))
		}
		Expect(r.entries["report/s"].Value).To(Equal("report back"))
		Expect(r.entries["jacinthferry/moves/s"].Value).To(ContainSubstring("back"))
		// The next order of the same version begins anew.
		r.put("order", "order v2")
		r.advance(1000)
		r.advance(1000)
		Expect(stage()).To(Equal(catalog.Canary))
	})

	It("rewrites a version move that the backup lacks", func() {
		restore := r.copyStore()
		r.put("order", "order v2")
		r.advance(1000)
		r.results = badCounts
		r.advance(1000)
		r.results = nil
		afterRestore(restore)
		Expect(r.entries["report/s"].Value).To(Equal("report back"))
		Expect(r.entries["jacinthferry/moves/s"].Value).To(ContainSubstring("back"))
		r.put("order", "order v2")
		r.advance(1000)
		m, _ := r.View().Rollout("s")
		Expect(m.Stage).To(Equal(catalog.RolledBack))
	})

	It("publishes again the crashes of upstreams that the backup lacks", func() {
		restore := r.copyStore()
		r.PublishCrash(crashWarning)
		r.advance(1000)
		Expect(r.entries).To(HaveKey(crashKey))
		afterRestore(restore)
		r.advance(1000)
		Expect(r.entries).To(HaveKey(crashKey))
	})
})
