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

var order = rollout.Order{Service: "s", Version: "v2", MaxDuration: 40 * clock.Second, Revision: 7, Seen: start}

// follow carries an order out and returns the stages with the times after the order at which they begin.
func follow(verdict func(now clock.Milli) rollout.Verdict) (stages []catalog.Stage, at []clock.Milli) {
	p := rollout.Begin(start, order, rollout.Progress{}, nil)
	stages, at = append(stages, p.Rollout.Stage), append(at, 0)
	for now := start; now < start+order.MaxDuration; now += 100 {
		next, changed := rollout.Next(now, order, p, verdict(now))
		if changed {
			p = next
			stages, at = append(stages, p.Rollout.Stage), append(at, now-start)
		}
	}

	return stages, at
}

var _ = Describe("A rollout", func() {
	It("completes in time when the new version is good", func() {
		stages, at := follow(func(clock.Milli) rollout.Verdict { return rollout.Healthy })
		Expect(stages).To(Equal([]catalog.Stage{catalog.Canary, catalog.Shifted, catalog.Completed}))
		Expect(at[1]).To(BeNumerically(">", order.MaxDuration/2))
		Expect(at[2]).To(BeNumerically("<", order.MaxDuration-2*clock.Second))
	})

	for _, when := range []clock.Milli{0, 5 * clock.Second, 27 * clock.Second} {
		It("rolls back for good when the new version is found bad after "+when.String(), func() {
			// The rollback is final, also when the version is found good again later.
			stages, at := follow(func(now clock.Milli) rollout.Verdict {
				if now >= start+when && now < start+when+1000 {
					return rollout.Regressed
				}

				return rollout.Healthy
			})
			Expect(stages[len(stages)-1]).To(Equal(catalog.RolledBack))
			Expect(at[len(at)-1]).To(BeNumerically("<=", when+100))
		})
	}

	It("waits for a version that proves itself late, and completes in time", func() {
		late := 30 * clock.Second
		stages, at := follow(func(now clock.Milli) rollout.Verdict {
			if now < start+late {
				return rollout.Undecided
			}

			return rollout.Healthy
		})
		Expect(stages).To(Equal([]catalog.Stage{catalog.Canary, catalog.Shifted, catalog.Completed}))
		Expect(at[1]).To(Equal(late))
		Expect(at[2]).To(BeNumerically("<", order.MaxDuration-clock.Second))
	})

	It("never sends all requests to a version whose answers are too few to tell, and rolls it back in time", func() {
		stages, at := follow(func(clock.Milli) rollout.Verdict { return rollout.Undecided })
		Expect(stages).To(Equal([]catalog.Stage{catalog.Canary, catalog.RolledBack}))
		Expect(at[1]).To(BeNumerically("<", order.MaxDuration))
	})

	It("starts again for another order", func() {
		done := rollout.Progress{Rollout: catalog.Rollout{Version: "v2", Stage: catalog.RolledBack, OrderRevision: order.Revision}}
		again := order
		again.Revision++
		p := rollout.Begin(start, again, done, nil)
		Expect(p.Rollout).To(Equal(catalog.Rollout{
			Version: "v2", Stage: catalog.Canary, OrderRevision: again.Revision, TrialRevision: again.Revision,
		}))
	})

	It("does not change the progress of a newer order", func() {
		newer := rollout.Progress{Rollout: catalog.Rollout{Version: "v3", Stage: catalog.RolledBack, OrderRevision: order.Revision + 1}}
		_, changed := rollout.Next(start, order, newer, rollout.Regressed)
		Expect(changed).To(BeFalse())
	})

	It("does not continue once it has ended", func() {
		for _, stage := range []catalog.Stage{catalog.Completed, catalog.RolledBack} {
			p := rollout.Progress{Rollout: catalog.Rollout{Version: "v2", Stage: stage, OrderRevision: order.Revision}, Seen: start}
			_, changed := rollout.Next(start+order.MaxDuration, order, p, rollout.Regressed)
			Expect(changed).To(BeFalse(), string(stage))
		}
	})
})

// monitor counts the answers of one daemon and analyses the counts after each.
type monitor struct {
	counter  *rollout.Counter
	analyzer *rollout.Analyzer
	verdict  rollout.Verdict
}

func newMonitor() *monitor {
	return &monitor{counter: rollout.NewCounter(), analyzer: rollout.NewAnalyzer()}
}

func (m *monitor) add(canary catalog.Rollout, a rollout.Sample) {
	m.counter.Add(canary, a)
	m.verdict = m.analyse(a.Service, canary)
}

func (m *monitor) analyse(service string, canary catalog.Rollout) rollout.Verdict {
	return m.analyzer.Judge(service, canary, m.counter.Counts(service, canary))
}

// behaviour is how the upstreams of a version answer.
type behaviour struct {
	failureRate, slowRate float64
	slowFactor            clock.Milli
}

var _ = Describe("The analyzer", func() {
	canary := catalog.Rollout{Version: "v2", Stage: catalog.Canary, OrderRevision: 7, TrialRevision: 7}
	healthy := behaviour{failureRate: 0.01, slowRate: 0.04, slowFactor: 10}

	// simulate sends n requests, a tenth of them to the new version, and returns how many failures and slow
	// answers of the new version came before it was found bad, and whether it was.
	simulate := func(seed uint64, n int, old, target behaviour) (badAnswers int, regressed bool) {
		random := rand.New(rand.NewPCG(seed, 1))
		m := newMonitor()
		for range n {
			a := rollout.Sample{Service: "s", Route: "r", Version: "v1", OK: true, Latency: clock.Milli(10 + 5*random.Float64())}
			b := old
			if random.Float64() < 0.1 {
				a.Version, b = "v2", target
			}
			a.OK = random.Float64() >= b.failureRate
			if random.Float64() < b.slowRate {
				a.Latency *= b.slowFactor
			}
			m.add(canary, a)
			if a.Version == "v2" && (!a.OK || a.Latency > 30) {
				badAnswers++
			}
			if m.verdict == rollout.Regressed {
				return badAnswers, true
			}
		}

		return badAnswers, false
	}

	for _, c := range []struct {
		what   string
		target behaviour
	}{
		{"fails a third of its requests", behaviour{failureRate: 0.33}},
		{"fails all its requests", behaviour{failureRate: 1}},
		{"takes four times as long", behaviour{slowRate: 1, slowFactor: 4}},
	} {
		It("detects a version that "+c.what, func() {
			for seed := range uint64(40) {
				badAnswers, regressed := simulate(seed, 2000, healthy, c.target)
				Expect(regressed).To(BeTrue(), "seed %d", seed)
				// Ten daemons may each detect it on their own before the fiftieth bad answer and some more.
				Expect(badAnswers).To(BeNumerically("<=", 20), "seed %d", seed)
			}
		})
	}

	It("does not reject a version that answers like the old one", func() {
		falseAlarms := 0
		for seed := range uint64(100) {
			if _, regressed := simulate(seed, 10_000, healthy, healthy); regressed {
				falseAlarms++
			}
		}
		Expect(falseAlarms).To(BeNumerically("<=", 1))
	})

	It("does not reject a version when the old one fails as often", func() {
		failing := behaviour{failureRate: 0.3}
		falseAlarms := 0
		for seed := range uint64(100) {
			if _, regressed := simulate(seed, 2000, failing, failing); regressed {
				falseAlarms++
			}
		}
		Expect(falseAlarms).To(BeNumerically("<=", 20))
	})

	It("detects a version that is bad on one route only", func() {
		m := newMonitor()
		for range 10 {
			m.add(canary, rollout.Sample{Service: "s", Route: "fine", Version: "v2", OK: true, Latency: 10})
			m.add(canary, rollout.Sample{Service: "s", Route: "broken", Version: "v2"})
		}
		Expect(m.analyse("s", canary)).To(Equal(rollout.Regressed))
	})

	It("starts from zero for each order", func() {
		m := newMonitor()
		for range 10 {
			m.add(canary, rollout.Sample{Service: "s", Route: "r", Version: "v2"})
		}
		next := canary
		next.OrderRevision++
		next.TrialRevision++
		Expect(m.analyse("s", next)).To(Equal(rollout.Undecided))
		m.add(next, rollout.Sample{Service: "s", Route: "r", Version: "v2", OK: true, Latency: 10})
		Expect(m.analyse("s", next)).To(Equal(rollout.Undecided))
	})
})

var _ = Describe("The sums of several daemons", func() {
	canary := catalog.Rollout{Version: "v2", Stage: catalog.Canary, OrderRevision: 7, TrialRevision: 7}

	// detect simulates daemons that each get few answers, and returns after how many answers of the new
	// version they find it bad together, and whether they do. The first goodAnswers of them are good and are
	// not counted in the result.
	detect := func(daemons, goodAnswers int, failureRate float64) (answers int, regressed bool) {
		random := rand.New(rand.NewPCG(2, 3))
		analyzer := rollout.NewAnalyzer()
		var sum rollout.Counts
		for answers = 0; answers < goodAnswers+200; {
			for range daemons {
				sum.Old += 10
				sum.OldFailures += 0.1
				sum.New++
				answers++
				if answers > goodAnswers && random.Float64() < failureRate {
					sum.NewFailures++
				}
			}
			if analyzer.Judge("s", canary, map[string]rollout.Counts{"r": sum}) == rollout.Regressed {
				return answers - goodAnswers, true
			}
		}

		return answers, false
	}

	It("reveal a bad version after few answers of each daemon", func() {
		answers, regressed := detect(4, 0, 0.25)
		Expect(regressed).To(BeTrue())
		Expect(answers).To(BeNumerically("<=", 60))
	})

	It("reveal a version that turns bad late", func() {
		answers, regressed := detect(4, 400, 0.25)
		Expect(regressed).To(BeTrue())
		Expect(answers).To(BeNumerically("<=", 60))
	})

	It("do not reject a version that fails no more often than is allowed", func() {
		_, regressed := detect(4, 0, 0.03)
		Expect(regressed).To(BeFalse())
	})

	It("may decrease when a daemon is gone", func() {
		analyzer := rollout.NewAnalyzer()
		sums := func(answers int, failures float64) map[string]rollout.Counts {
			return map[string]rollout.Counts{"r": {New: answers, NewFailures: failures}}
		}
		Expect(analyzer.Judge("s", canary, sums(100, 5))).NotTo(Equal(rollout.Regressed))
		Expect(analyzer.Judge("s", canary, sums(40, 2))).NotTo(Equal(rollout.Regressed))
		Expect(analyzer.Judge("s", canary, sums(44, 6))).To(Equal(rollout.Regressed))
	})

	It("keep a version bad when the daemon that counted its failures is gone", func() {
		analyzer := rollout.NewAnalyzer()
		Expect(analyzer.Judge("s", canary, map[string]rollout.Counts{"r": {New: 5, NewFailures: 5}})).To(Equal(rollout.Regressed))
		Expect(analyzer.Judge("s", canary, map[string]rollout.Counts{"other": {New: 50}})).To(Equal(rollout.Regressed))
		Expect(analyzer.Judge("s", canary, nil)).To(Equal(rollout.Regressed))
	})

	// decide simulates a canary of 14 s, which may go on for 3 s while the answers are too few to tell, and
	// returns the verdict at its end. The new version gives some answers a second.
	decide := func(seed uint64, answers int, failureRate float64) rollout.Verdict {
		random := rand.New(rand.NewPCG(seed, 5))
		analyzer := rollout.NewAnalyzer()
		var sum rollout.Counts
		verdict := rollout.Undecided
		for second := 1; second <= 17; second++ {
			sum.Old += 10 * answers
			sum.OldFailures += 0.3 * float64(answers)
			for range answers {
				sum.New++
				if random.Float64() < failureRate {
					sum.NewFailures++
				}
			}
			verdict = analyzer.Judge("s", canary, map[string]rollout.Counts{"r": sum})
			if verdict == rollout.Regressed || second >= 14 && verdict == rollout.Healthy {
				return verdict
			}
		}

		return verdict
	}

	It("do not call a version healthy from few answers", func() {
		analyzer := rollout.NewAnalyzer()
		Expect(analyzer.Judge("s", canary, nil)).To(Equal(rollout.Undecided))
		Expect(analyzer.Judge("s", canary, map[string]rollout.Counts{"r": {New: 8, Old: 80}})).To(Equal(rollout.Undecided))
		Expect(decide(1, 0, 0)).To(Equal(rollout.Undecided))
	})

	It("call a version healthy after some twenty good answers", func() {
		Expect(decide(1, 2, 0)).To(Equal(rollout.Healthy))
	})

	It("seldom call a version healthy that fails a quarter of its requests, however few there are", func() {
		for _, answers := range []int{1, 2, 3, 5} {
			wrong := 0
			for seed := range uint64(1000) {
				if decide(seed, answers, 0.25) == rollout.Healthy {
					wrong++
				}
			}
			Expect(wrong).To(BeNumerically("<=", 50), "%d answers a second", answers)
		}
	})

	It("call most versions healthy that fail one request in 30 like the old one", func() {
		healthy := 0
		for seed := range uint64(1000) {
			if decide(seed, 3, 0.03) == rollout.Healthy {
				healthy++
			}
		}
		Expect(healthy).To(BeNumerically(">=", 800))
	})
})
