package registry_test

import (
	"slices"
	"strings"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/core/rollout"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// unclearCounts are counts that do not show yet whether a version is bad. Twice as many show it.
var unclearCounts = map[string]rollout.Counts{"r": {New: 4, NewFailures: 2, Old: 400}}

// orders is a registry whose service s runs version v1, with upstreams of v2 and v3 that started later.
type orders struct {
	*harness
}

func newOrders() *orders {
	r := &orders{newHarness(self)}
	r.put("c", "config")
	r.put("u1", "upstream s v1 100")
	r.advance(0)
	r.put("u2", "upstream s v2 200")
	r.put("u3", "upstream s v3 300")

	return r
}

// order orders a version and lets the registry follow for a while.
func (r *orders) order(version string) {
	r.write(version)
	r.advance(1000)
	r.advance(1000)
}

// write orders a version, which the registry learns of later.
func (r *orders) write(version string) { r.put("order", "order "+version) }

// judge lets the registry see some counts of the trial.
func (r *orders) judge(counts map[string]rollout.Counts) {
	r.results = counts
	r.advance(1000)
	r.results = nil
}

// complete lets a trial end well, and waits until it is completed.
func (r *orders) complete() {
	r.results = goodCounts
	r.advance(30 * clock.Second)
	r.advance(5 * clock.Second)
	r.results = nil
}

// restartWithout restarts the daemon, which then learns of the orders by a list.
func (r *orders) restartWithout() {
	r.restart()
	r.advance(0)
}

// assignment returns the versions that take requests and those that take a share, as text.
func (r *orders) assignment() string {
	versions := func(upstreams []*catalog.Upstream) string {
		var list []string
		for _, u := range upstreams {
			list = append(list, u.Version)
		}
		slices.Sort(list)

		return strings.Join(slices.Compact(list), "+")
	}

	return versions(r.View().Usable("s")) + "/" + versions(r.View().Canaries("s"))
}

// Guards against review/1: a version on trial, or one that was found bad, counted as the one that runs as soon as another
// version was ordered, and got nearly all requests.
var _ = Describe("Several orders for one service", func() {
	for _, c := range []struct {
		what string
		play func(r *orders)
		// want are the versions that take requests and, after the slash, those that take a share.
		want string
	}{
		{"back to the version that ran, during the trial", func(r *orders) {
			r.order("v2")
			r.order("v1")
		}, "v1/"},
		{"back to the version that ran, in one batch", func(r *orders) {
			r.write("v2")
			r.write("v1")
			r.advance(1000)
		}, "v1/"},
		{"back to the version that ran, while all requests go to the other one", func(r *orders) {
			r.order("v2")
			r.results = goodCounts
			r.advance(30 * clock.Second)
			Expect(r.assignment()).To(Equal("v2/"))
			r.order("v1")
		}, "v1/"},
		{"back to the version that ran, after a roll-back", func(r *orders) {
			r.order("v2")
			r.judge(badCounts)
			r.order("v1")
		}, "v1/"},
		{"back to the version that ran, whose upstreams have all gone", func(r *orders) {
			r.order("v2")
			r.remove("u1")
			r.order("v1")
		}, "v3/"},
		{"a third version during the trial", func(r *orders) {
			r.order("v2")
			r.order("v3")
		}, "v1/v3"},
		{"a third version in one batch", func(r *orders) {
			r.write("v2")
			r.write("v3")
			r.advance(1000)
		}, "v1/v3"},
		{"a third version after a roll-back", func(r *orders) {
			r.order("v2")
			r.judge(badCounts)
			r.order("v3")
		}, "v1/v3"},
		{"a third version that is bad too", func(r *orders) {
			r.order("v2")
			r.order("v3")
			r.judge(badCounts)
		}, "v1/"},
		{"a third version, and back to the one that ran", func(r *orders) {
			r.order("v2")
			r.order("v3")
			r.order("v1")
		}, "v1/"},
		{"a third version, and again the second", func(r *orders) {
			r.order("v2")
			r.order("v3")
			r.order("v2")
		}, "v1/v2"},
		{"the same version twice", func(r *orders) {
			r.order("v2")
			r.order("v2")
		}, "v1/v2"},
		{"a third version after the second completed", func(r *orders) {
			r.order("v2")
			r.complete()
			r.order("v3")
		}, "v2/v3"},
		{"back to the first version after the second completed", func(r *orders) {
			r.order("v2")
			r.complete()
			r.order("v1")
		}, "v2/v1"},
		{"back to the version that ran, after a restart", func(r *orders) {
			r.order("v2")
			r.restartWithout()
			r.order("v1")
		}, "v1/"},
		{"a third version after a roll-back, a restart in between", func(r *orders) {
			r.order("v2")
			r.judge(badCounts)
			r.restartWithout()
			r.order("v3")
		}, "v1/v3"},
		{"back to the version that ran, of two orders that no daemon saw come", func(r *orders) {
			r.write("v2")
			r.write("v1")
			r.restartWithout()
			r.advance(1000)
		}, "v1/"},
		{"a third version, of two orders that no daemon saw come", func(r *orders) {
			r.write("v2")
			r.write("v3")
			r.restartWithout()
			r.advance(1000)
		}, "v1/v3"},
		{"back to the version that ran, while the store was away", func(r *orders) {
			r.order("v2")
			r.storeErr = errUnavailable
			r.advance(1000)
			r.write("v1")
			r.storeErr = nil
			r.advance(1000)
		}, "v1/"},
	} {
		It("do not make a version stable that passed no trial: "+c.what, func() {
			r := newOrders()
			c.play(r)
			Expect(r.assignment()).To(Equal(c.want))
		})
	}

	It("complete the move back to the version that ran within some seconds, whatever its answers are", func() {
		r := newOrders()
		r.order("v2")
		r.order("v1")
		Expect(r.entries["report/s"].Value).To(Equal("report shift"))
		r.judge(badCounts)
		r.advance(2000)
		Expect(r.entries["report/s"].Value).To(Equal("report completed"))
		Expect(r.assignment()).To(Equal("v1/"))
	})

	It("do not complete the move back to a version that no upstream runs", func() {
		r := newOrders()
		r.order("v2")
		r.remove("u1")
		r.order("v1")
		r.advance(clock.Minute)
		Expect(r.entries["report/s"].Value).To(Equal("report shift"))
	})

	for _, c := range []struct {
		what   string
		orders []string
	}{
		{"the same version again", []string{"v2"}},
		{"another version in between", []string{"v3", "v2"}},
		{"the version that ran in between", []string{"v1", "v2"}},
		{"orders that alternate", []string{"v1", "v2", "v1", "v2", "v1", "v2"}},
	} {
		It("go on with an interrupted trial and what it has shown: "+c.what, func() {
			r := newOrders()
			r.order("v2")
			r.judge(unclearCounts)
			Expect(r.assignment()).To(Equal("v1/v2"))
			for _, version := range c.orders {
				r.write(version)
				r.advance(1000)
			}
			Expect(r.assignment()).To(Equal("v1/v2"))
			// The daemon has gone on counting the trial.
			r.judge(map[string]rollout.Counts{"r": {New: 8, NewFailures: 4, Old: 800}})
			Expect(r.assignment()).To(Equal("v1/"))
		})
	}

	It("give no requests to a version whose upstreams register before it is ordered", func() {
		r := newOrders()
		r.order("v2")
		r.judge(badCounts)
		r.put("u4", "upstream s v4 400")
		r.advance(1000)
		Expect(r.assignment()).To(Equal("v1/"))
		r.order("v4")
		Expect(r.assignment()).To(Equal("v1/v4"))
	})

	It("follow what another daemon recorded of them", func() {
		r := newOrders()
		r.write("v2")
		r.write("v3")
		r.put("jacinthferry/moves/s",
			`{"order":6,"version":"v3","stage":"trial","trial":6,"stable":["v1"],"withheld":[{"version":"v2","trial":5}]}`)
		Expect(r.entries["order"].Revision).To(BeEquivalentTo(6))
		r.restartWithout()
		Expect(r.assignment()).To(Equal("v1/v3"))
		r.order("v2")
		Expect(r.assignment()).To(Equal("v1/v2"))
		Expect(r.entries["jacinthferry/moves/s"].Value).To(ContainSubstring(`"trial":5`))
	})

	for _, c := range []struct {
		what string
		// held is set if the backup holds the first of the two orders.
		held bool
	}{
		{"that holds none of them", false},
		{"that holds the first of them", true},
	} {
		It("stay as they are when they are written again after the store was restored from a backup "+c.what, func() {
			r := newOrders()
			restore := r.copyStore()
			r.order("v2")
			r.judge(badCounts)
			if c.held {
				restore = r.copyStore()
			}
			r.order("v1")
			restore()
			r.advance(500)
			r.advance(500)
			Expect(r.assignment()).To(Equal("v1/"))
			for _, version := range []string{"v2", "v1"} {
				r.write(version)
				r.advance(500)
				Expect(r.assignment()).To(Equal("v1/"), "%s is written again", version)
			}
			for range 6 {
				r.advance(1000)
				Expect(r.assignment()).To(Equal("v1/"))
			}
			Expect(r.entries["report/s"].Value).To(Equal("report completed"))
		})
	}
})
