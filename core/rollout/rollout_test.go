package rollout_test

import (
	"math/rand/v2"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/core/rollout"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const start = 1000 * clock.Second

var order = rollout.Order{Service: "s", Version: "v2", Span: 40 * clock.Second, Revision: 7, Seen: start}

// play follows an order until its end and returns the stages with their instants after the order.
func play(bad func(now clock.Milli) bool) (stages []catalog.Stage, at []clock.Milli) {
	var p rollout.Progress
	for now := start; now < start+order.Span; now += 100 {
		next, changed := rollout.Next(now, order, p, bad(now))
		if changed {
			p = next
			stages, at = append(stages, p.Move.Stage), append(at, now-start)
		}
	}

	return stages, at
}

var _ = Describe("A move", func() {
	It("ends in time when the new version is good", func() {
		stages, at := play(func(clock.Milli) bool { return false })
		Expect(stages).To(Equal([]catalog.Stage{catalog.Trial, catalog.Shift, catalog.Completed}))
		Expect(at[1]).To(BeNumerically(">", order.Span/2))
		Expect(at[2]).To(BeNumerically("<", order.Span-2*clock.Second))
	})

	for _, when := range []clock.Milli{0, 5 * clock.Second, 27 * clock.Second} {
		It("goes back for good when the new version turns out bad after "+when.String(), func() {
			// A version that is found good again later stays refused.
			stages, at := play(func(now clock.Milli) bool { return now >= start+when && now < start+when+1000 })
			Expect(stages[len(stages)-1]).To(Equal(catalog.Back))
			Expect(at[len(at)-1]).To(BeNumerically("<=", when+100))
		})
	}

	It("begins anew with another order", func() {
		done := rollout.Progress{Move: catalog.Move{Version: "v2", Stage: catalog.Back, Order: order.Revision}}
		again := order
		again.Revision++
		p, changed := rollout.Next(start, again, done, false)
		Expect(changed).To(BeTrue())
		Expect(p.Move).To(Equal(catalog.Move{Version: "v2", Stage: catalog.Trial, Order: again.Revision}))
	})

	It("leaves alone what follows a newer order", func() {
		newer := rollout.Progress{Move: catalog.Move{Version: "v3", Stage: catalog.Back, Order: order.Revision + 1}}
		_, changed := rollout.Next(start, order, newer, true)
		Expect(changed).To(BeFalse())
	})

	It("does not go on with a move that is over", func() {
		for _, stage := range []catalog.Stage{catalog.Completed, catalog.Back} {
			p := rollout.Progress{Move: catalog.Move{Version: "v2", Stage: stage, Order: order.Revision}, Seen: start}
			_, changed := rollout.Next(start+order.Span, order, p, true)
			Expect(changed).To(BeFalse(), string(stage))
		}
	})
})

// trial counts the answers of one daemon and looks at them after each.
type trial struct {
	counter  *rollout.Counter
	analyzer *rollout.Analyzer
	bad      bool
}

func newTrial() *trial { return &trial{counter: rollout.NewCounter(), analyzer: rollout.NewAnalyzer()} }

func (t *trial) add(move catalog.Move, a rollout.Answer) {
	t.counter.Add(move, a)
	t.bad = t.worse(a.Service, move)
}

func (t *trial) worse(service string, move catalog.Move) bool {
	return t.analyzer.Worse(service, move, t.counter.Counts(service, move))
}

// behaviour is how the upstreams of a version answer.
type behaviour struct {
	fails, slow float64
	slowTimes   clock.Milli
}

var _ = Describe("The analyzer", func() {
	move := catalog.Move{Version: "v2", Stage: catalog.Trial, Order: 7}
	usual := behaviour{fails: 0.01, slow: 0.04, slowTimes: 10}

	// answers feeds requests, a tenth of which go to the new version, and returns how many failures and
	// slow answers of it came before the verdict, and whether there was one.
	answers := func(seed uint64, n int, old, target behaviour) (cost int, bad bool) {
		random := rand.New(rand.NewPCG(seed, 1))
		t := newTrial()
		for range n {
			a := rollout.Answer{Service: "s", Route: "r", Version: "v1", Good: true, Latency: clock.Milli(10 + 5*random.Float64())}
			b := old
			if random.Float64() < 0.1 {
				a.Version, b = "v2", target
			}
			a.Good = random.Float64() >= b.fails
			if random.Float64() < b.slow {
				a.Latency *= b.slowTimes
			}
			t.add(move, a)
			if a.Version == "v2" && (!a.Good || a.Latency > 30) {
				cost++
			}
			if t.bad {
				return cost, true
			}
		}

		return cost, false
	}

	for _, c := range []struct {
		what   string
		target behaviour
	}{
		{"fails a third of its requests", behaviour{fails: 0.33}},
		{"fails all", behaviour{fails: 1}},
		{"answers four times slower", behaviour{slow: 1, slowTimes: 4}},
	} {
		It("finds a version bad that "+c.what, func() {
			for seed := range uint64(40) {
				cost, bad := answers(seed, 2000, usual, c.target)
				Expect(bad).To(BeTrue(), "seed %d", seed)
				// Ten daemons may find it out each for itself before the fiftieth bad answer and some more.
				Expect(cost).To(BeNumerically("<=", 20), "seed %d", seed)
			}
		})
	}

	It("does not find a version bad that answers like the old one", func() {
		wrong := 0
		for seed := range uint64(100) {
			if _, bad := answers(seed, 10_000, usual, usual); bad {
				wrong++
			}
		}
		Expect(wrong).To(BeNumerically("<=", 1))
	})

	It("does not find a version bad when everything fails", func() {
		trouble := behaviour{fails: 0.3}
		wrong := 0
		for seed := range uint64(100) {
			if _, bad := answers(seed, 2000, trouble, trouble); bad {
				wrong++
			}
		}
		Expect(wrong).To(BeNumerically("<=", 20))
	})

	It("sees a version that is bad on one route only", func() {
		t := newTrial()
		for range 10 {
			t.add(move, rollout.Answer{Service: "s", Route: "fine", Version: "v2", Good: true, Latency: 10})
			t.add(move, rollout.Answer{Service: "s", Route: "broken", Version: "v2"})
		}
		Expect(t.worse("s", move)).To(BeTrue())
	})

	It("keeps nothing from one order to the next", func() {
		t := newTrial()
		for range 10 {
			t.add(move, rollout.Answer{Service: "s", Route: "r", Version: "v2"})
		}
		next := move
		next.Order++
		Expect(t.worse("s", next)).To(BeFalse())
		t.add(next, rollout.Answer{Service: "s", Route: "r", Version: "v2", Good: true, Latency: 10})
		Expect(t.worse("s", next)).To(BeFalse())
	})
})

var _ = Describe("The sums of several daemons", func() {
	move := catalog.Move{Version: "v2", Stage: catalog.Trial, Order: 7}

	// found plays daemons that each see few answers, and returns after how many of the new version they
	// find it bad together. Before has that many good answers at first.
	found := func(daemons, before int, fails float64) (tried int, bad bool) {
		random := rand.New(rand.NewPCG(2, 3))
		analyzer := rollout.NewAnalyzer()
		var sum rollout.Counts
		for tried = 0; tried < before+200; {
			for range daemons {
				sum.Old += 10
				sum.OldBad += 0.1
				sum.New++
				tried++
				if tried > before && random.Float64() < fails {
					sum.NewBad++
				}
			}
			if analyzer.Worse("s", move, map[string]rollout.Counts{"r": sum}) {
				return tried - before, true
			}
		}

		return tried, false
	}

	It("show a bad version after few answers of each daemon", func() {
		tried, bad := found(4, 0, 0.25)
		Expect(bad).To(BeTrue())
		Expect(tried).To(BeNumerically("<=", 60))
	})

	It("show a version that turns bad late", func() {
		tried, bad := found(4, 400, 0.25)
		Expect(bad).To(BeTrue())
		Expect(tried).To(BeNumerically("<=", 60))
	})

	It("show nothing bad in a version that fails no more than is allowed", func() {
		_, bad := found(4, 0, 0.03)
		Expect(bad).To(BeFalse())
	})

	It("may lack a daemon that has gone", func() {
		analyzer := rollout.NewAnalyzer()
		sums := func(tried int, bad float64) map[string]rollout.Counts {
			return map[string]rollout.Counts{"r": {New: tried, NewBad: bad}}
		}
		Expect(analyzer.Worse("s", move, sums(100, 5))).To(BeFalse())
		Expect(analyzer.Worse("s", move, sums(40, 2))).To(BeFalse())
		Expect(analyzer.Worse("s", move, sums(44, 6))).To(BeTrue())
	})
})
