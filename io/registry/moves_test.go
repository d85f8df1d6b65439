package registry_test

import (
	"fmt"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/core/rollout"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// bad is what a daemon counts that gets only failures from a new version.
var bad = map[string]rollout.Counts{"r": {New: 10, NewBad: 10}}

var _ = Describe("a version move", func() {
	report := func(r *rig) string { return r.entries["report/s"].Value }
	stage := func(r *rig) catalog.Stage {
		m, _ := r.View().Move("s")

		return m.Stage
	}
	begin := func() *rig {
		r := newRig(self)
		r.put("c", "config")
		r.put("u1", "upstream s")
		r.turn(0)
		r.put("order", "order v2")
		r.turn(1000)

		return r
	}

	It("is tried, shifted and completed, and told to the operators", func() {
		r := begin()
		Expect(stage(r)).To(Equal(catalog.Trial))
		Expect(report(r)).To(Equal("report trial"))
		Expect(r.writes).To(Equal(2))
		r.turn(10_000)
		Expect(r.writes).To(Equal(2), "nothing is written while nothing changes")
		r.turn(20_000)
		Expect(stage(r)).To(Equal(catalog.Shift))
		r.turn(4000)
		Expect(stage(r)).To(Equal(catalog.Completed))
		Expect(report(r)).To(Equal("report completed"))
		r.results = bad
		r.turn(1000)
		Expect(stage(r)).To(Equal(catalog.Completed))
	})

	It("goes back when the new version is bad, and stays there", func() {
		r := begin()
		r.results = bad
		r.turn(1000)
		Expect(stage(r)).To(Equal(catalog.Back))
		Expect(report(r)).To(Equal("report back"))
		r.results = nil
		r.turn(60 * clock.Second)
		Expect(stage(r)).To(Equal(catalog.Back))
	})

	It("is on trial from the moment its order is known, also when nothing can be written", func() {
		r := newRig(self)
		r.put("c", "config")
		r.put("order", "order v2")
		r.lose = true
		r.turn(0)
		Expect(stage(r)).To(Equal(catalog.Trial))
		r.lose = false
		r.turn(1000)
		r.turn(1000)
		Expect(report(r)).To(Equal("report trial"))
	})

	It("follows the step that another daemon took", func() {
		r := begin()
		Expect(r.entries["order"].Revision).To(BeEquivalentTo(3))
		r.put("jacinthferry/moves/s", `{"order":3,"version":"v2","stage":"back"}`)
		r.turn(1000)
		Expect(stage(r)).To(Equal(catalog.Back))
		Expect(report(r)).To(Equal("report back"))
	})

	It("takes no step over one that it has not seen", func() {
		r := begin()
		r.put("jacinthferry/moves/s", `{"order":3,"version":"v2","stage":"back"}`)
		r.pending = nil
		r.turn(30_000)
		Expect(r.entries["jacinthferry/moves/s"].Value).To(ContainSubstring("back"))
	})

	It("begins anew with a new order", func() {
		r := begin()
		r.results = bad
		r.turn(1000)
		Expect(stage(r)).To(Equal(catalog.Back))
		r.results = nil
		r.put("order", "order v3")
		r.turn(1000)
		m, _ := r.View().Move("s")
		Expect(m.Version).To(Equal("v3"))
		Expect(m.Stage).To(Equal(catalog.Trial))
		Expect(report(r)).To(Equal("report trial"))
	})

	It("goes back when all daemons together have seen enough, and nobody alone", func() {
		r := begin()
		r.results = map[string]rollout.Counts{"r": {New: 5, NewBad: 2, Old: 100}}
		r.turn(1000)
		Expect(stage(r)).To(Equal(catalog.Trial))
		other := func(order int, tried, bad int) {
			r.put("jacinthferry/results/s/other", fmt.Sprintf(
				`{"order":%d,"routes":{"r":{"new":%d,"bad":%d,"old":100,"failed":0}}}`, order, tried, bad))
		}
		other(2, 5, 5)
		r.turn(1000)
		Expect(stage(r)).To(Equal(catalog.Trial), "that was for another order")
		other(3, 6, 3)
		r.turn(1000)
		Expect(stage(r)).To(Equal(catalog.Back))
		r.turn(1000)
		for key := range r.entries {
			Expect(key).NotTo(HavePrefix("jacinthferry/results/"))
		}
	})

	It("tells what this daemon counted once a second at most, and only what is new", func() {
		r := begin()
		before := r.writes
		r.results = map[string]rollout.Counts{"r": {New: 1, Old: 10}}
		r.turn(1000)
		Expect(r.writes).To(Equal(before + 1))
		Expect(r.entries).To(HaveKey("jacinthferry/results/s/self"))
		r.turn(1000)
		Expect(r.writes).To(Equal(before + 1))
		r.results = map[string]rollout.Counts{"r": {New: 2, Old: 20}}
		r.turn(1000)
		Expect(r.writes).To(Equal(before + 2))
		r.results = map[string]rollout.Counts{"r": {New: 3, Old: 30}}
		r.turn(100)
		Expect(r.writes).To(Equal(before + 2))
	})
})
