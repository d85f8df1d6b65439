package registry_test

import (
	"fmt"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/core/rollout"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// badCounts are the counts of a daemon for which every request to the new version failed.
var badCounts = map[string]rollout.Counts{"r": {New: 10, NewFailures: 10}}

// goodCounts are the counts of a daemon for which every request to both versions was answered.
var goodCounts = map[string]rollout.Counts{"r": {New: 40, Old: 400}}

var _ = Describe("A version move", func() {
	report := func(r *harness) string { return r.entries["report/s"].Value }
	stage := func(r *harness) catalog.Stage {
		m, _ := r.View().Rollout("s")

		return m.Stage
	}
	begin := func() *harness {
		r := newHarness(self)
		r.put("c", "config")
		r.put("u1", "upstream s")
		r.advance(0)
		r.put("order", "order v2")
		r.advance(1000)

		return r
	}

	It("goes through trial and shift to completion, and is reported to the operators", func() {
		r := begin()
		Expect(stage(r)).To(Equal(catalog.Canary))
		Expect(report(r)).To(Equal("report trial"))
		Expect(r.writes).To(Equal(2))
		r.advance(9000)
		Expect(r.writes).To(Equal(2), "nothing is written while nothing changes")
		r.results = goodCounts
		r.advance(1000)
		Expect(r.writes).To(Equal(3), "the counts are written")
		r.advance(20_000)
		Expect(stage(r)).To(Equal(catalog.Shifted))
		r.advance(4000)
		Expect(stage(r)).To(Equal(catalog.Completed))
		Expect(report(r)).To(Equal("report completed"))
		r.results = badCounts
		r.advance(1000)
		Expect(stage(r)).To(Equal(catalog.Completed))
	})

	It("is rolled back for good when the new version is bad", func() {
		r := begin()
		r.results = badCounts
		r.advance(1000)
		Expect(stage(r)).To(Equal(catalog.RolledBack))
		Expect(report(r)).To(Equal("report back"))
		r.results = nil
		r.advance(60 * clock.Second)
		Expect(stage(r)).To(Equal(catalog.RolledBack))
	})

	It("is rolled back, never completed, when the new version got too few requests to tell", func() {
		r := begin()
		r.results = map[string]rollout.Counts{"r": {New: 2, Old: 20}}
		r.advance(30_000)
		Expect(stage(r)).To(Equal(catalog.Canary))
		r.advance(6000)
		Expect(stage(r)).To(Equal(catalog.RolledBack))
		Expect(report(r)).To(Equal("report back"))
	})

	It("counts the requests from before a restart of the daemon that counted them", func() {
		r := begin()
		r.results = map[string]rollout.Counts{"r": {New: 5, NewFailures: 2, Old: 50}}
		r.advance(1000)
		Expect(r.entries).To(HaveKey("jacinthferry/results/s/self"))
		r.restart()
		r.results = map[string]rollout.Counts{"r": {New: 3, NewFailures: 1, Old: 10}}
		r.advance(1000)
		Expect(stage(r)).To(Equal(catalog.Canary))
		Expect(r.entries["jacinthferry/results/s/self"].Value).To(ContainSubstring(`"new":8,"bad":3,"old":60`))
		r.advance(1000)
		r.results = map[string]rollout.Counts{"r": {New: 5, NewFailures: 3, Old: 20}}
		r.advance(1000)
		Expect(stage(r)).To(Equal(catalog.RolledBack), "the second run alone counted 3 failures of 5")
	})

	It("is in the trial stage as soon as its order is known, even if its progress cannot be written", func() {
		r := newHarness(self)
		r.put("c", "config")
		r.put("order", "order v2")
		r.loseReplies = true
		r.advance(0)
		Expect(stage(r)).To(Equal(catalog.Canary))
		r.loseReplies = false
		r.advance(1000)
		r.advance(1000)
		Expect(report(r)).To(Equal("report trial"))
	})

	It("adopts a stage that another daemon wrote", func() {
		r := begin()
		Expect(r.entries["order"].Revision).To(BeEquivalentTo(3))
		r.put("jacinthferry/moves/s", `{"order":3,"version":"v2","stage":"back"}`)
		r.advance(1000)
		Expect(stage(r)).To(Equal(catalog.RolledBack))
		Expect(report(r)).To(Equal("report back"))
	})

	It("does not overwrite a stage that it has not read yet", func() {
		r := begin()
		r.put("jacinthferry/moves/s", `{"order":3,"version":"v2","stage":"back"}`)
		r.pending = nil
		r.advance(30_000)
		Expect(r.entries["jacinthferry/moves/s"].Value).To(ContainSubstring("back"))
	})

	It("restarts in the trial stage with a new order", func() {
		r := begin()
		r.results = badCounts
		r.advance(1000)
		Expect(stage(r)).To(Equal(catalog.RolledBack))
		r.results = nil
		r.put("order", "order v3")
		r.advance(1000)
		m, _ := r.View().Rollout("s")
		Expect(m.Version).To(Equal("v3"))
		Expect(m.Stage).To(Equal(catalog.Canary))
		Expect(report(r)).To(Equal("report trial"))
	})

	It("is rolled back when the counts of all daemons together suffice, though no single daemon's do", func() {
		r := begin()
		r.results = map[string]rollout.Counts{"r": {New: 5, NewFailures: 2, Old: 100}}
		r.advance(1000)
		Expect(stage(r)).To(Equal(catalog.Canary))
		other := func(order int, tried, bad int) {
			r.put("jacinthferry/results/s/other", fmt.Sprintf(
				`{"order":%d,"routes":{"r":{"new":%d,"bad":%d,"old":100,"failed":0}}}`, order, tried, bad))
		}
		other(2, 5, 5)
		r.advance(1000)
		Expect(stage(r)).To(Equal(catalog.Canary), "the counts belong to another order")
		other(3, 6, 3)
		r.advance(1000)
		Expect(stage(r)).To(Equal(catalog.RolledBack))
		r.advance(1000)
		for key := range r.entries {
			Expect(key).NotTo(HavePrefix("jacinthferry/results/"))
		}
	})

	It("publishes this daemon's counts at most once a second, and only when they change", func() {
		r := begin()
		before := r.writes
		r.results = map[string]rollout.Counts{"r": {New: 1, Old: 10}}
		r.advance(1000)
		Expect(r.writes).To(Equal(before + 1))
		Expect(r.entries).To(HaveKey("jacinthferry/results/s/self"))
		r.advance(1000)
		Expect(r.writes).To(Equal(before + 1))
		r.results = map[string]rollout.Counts{"r": {New: 2, Old: 20}}
		r.advance(1000)
		Expect(r.writes).To(Equal(before + 2))
		r.results = map[string]rollout.Counts{"r": {New: 3, Old: 30}}
		r.advance(100)
		Expect(r.writes).To(Equal(before + 2))
	})
})
