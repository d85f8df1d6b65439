package gather_test

import (
	"fmt"

	"jacinthferry/core/balance"
	"jacinthferry/core/clock"
	"jacinthferry/core/gather"
	"jacinthferry/core/reason"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// rateLimits are the rate limits that a server names, each from an instant on until the next one. A negative one means
// that the server names none.
type rateLimits []struct {
	from clock.Milli
	rate balance.RateLimit
}

// at returns the rate limit that the server names at an instant, or nil.
func (l rateLimits) at(now clock.Milli) *balance.RateLimit {
	for i := len(l) - 1; i >= 0; i-- {
		if now < start+l[i].from {
			continue
		}
		if l[i].rate < 0 {
			return nil
		}

		return &l[i].rate
	}

	return nil
}

// allowed returns how many requests the limits allow from one instant to another, at which a limit holds throughout.
func (l rateLimits) allowed(from, to clock.Milli) float64 {
	sum := 0.0
	for i := range l {
		end := to
		if i+1 < len(l) {
			end = min(to, start+l[i+1].from)
		}
		if span := end - max(from, start+l[i].from); span > 0 {
			sum += float64(l[i].rate) * float64(span/clock.Second)
		}
	}

	return sum
}

// seeds is how many runs of a scenario are added up.
const seeds = 5

const (
	// limitWindow is the time over which a limit is checked, and limitGrace how long after the first limit the checks
	// begin.
	limitWindow = 4 * clock.Second
	limitGrace  = 4 * clock.Second
	// limitTolerance and limitSlack bound the requests in a window: as a factor of what the limit allows, and beyond.
	limitTolerance = 1.5
	limitSlack     = 5
)

// plus returns the sum of two tallies.
func (t tally) plus(other tally) tally {
	return tally{
		t.queries + other.queries, t.inTime + other.inTime, t.late + other.late, t.refused + other.refused,
		t.failed + other.failed, t.coverage + other.coverage,
	}
}

// worstExcess returns by how many requests the busiest window of a server exceeds what its limits tolerate.
func worstExcess(s *server) float64 {
	last := s.rates[len(s.rates)-1]
	end := start + simulationSpan
	if last.rate < 0 {
		end = start + last.from
	}
	worst := -1000.0
	for i, from := range s.arrivals {
		if from < start+s.rates[0].from+limitGrace || from+limitWindow > end {
			continue
		}
		n := 0
		for _, at := range s.arrivals[i:] {
			if at >= from+limitWindow {
				break
			}
			n++
		}
		worst = max(worst, float64(n)-limitTolerance*s.rates.allowed(from, from+limitWindow)-limitSlack)
	}

	return worst
}

// supply returns how many queries a second that need a number of shards the limits allow, at most perSecond.
func (m *simulation) supply(needed int, rate balance.RateLimit, perSecond float64) float64 {
	enough := func(queries float64) bool {
		sum := 0.0
		for i := range shardCount {
			legs := 0.0
			for r := range 2 {
				if s := m.servers[fmt.Sprintf("shard%d-%d", i, r)]; s.rates == nil {
					legs += queries
				} else {
					legs += float64(rate)
				}
			}
			sum += min(queries, legs)
		}

		return sum >= float64(needed)*queries
	}
	for perSecond > 1 && !enough(perSecond) {
		perSecond--
	}

	return perSecond
}

var _ = Describe("Upstreams that name a rate limit", func() {
	for _, c := range []struct {
		name     string
		limited  float64
		rates    rateLimits
		rate     balance.RateLimit
		restarts clock.Milli
		low      float64
	}{
		{"some of them", 0.3, rateLimits{{2 * clock.Second, 16}}, 16, 0, 0.25},
		{"most of them", 0.7, rateLimits{{2 * clock.Second, 16}}, 16, 0, 0.25},
		{"all of them", 1, rateLimits{{2 * clock.Second, 24}}, 24, 0, 0.25},
		{"a limit that falls", 0.7, rateLimits{{0, 40}, {4 * clock.Second, 16}}, 16, 0, 0.25},
		{"a limit that rises", 0.7, rateLimits{{0, 16}, {9 * clock.Second, 40}}, 16, 0, 0.25},
		{"a limit that lapses", 0.7, rateLimits{{0, 16}, {9 * clock.Second, -1}}, 16, 0, 0.25},
		{"a low one", 0.7, rateLimits{{2 * clock.Second, 3}}, 3, 0, 0.25},
		{"while daemons restart", 0.7, rateLimits{{2 * clock.Second, 16}}, 16, 1500 * clock.Millisecond, 0.25},
	} {
		It("get no more from all daemons, and callers get what it leaves: "+c.name, func() {
			worst, limited := -1000.0, 0
			var high, low tally
			var m *simulation
			for seed := range uint64(seeds) {
				m = newSimulation(scenario{
					perSecond: burstRate, burst: 1, burstSpan: 12 * clock.Second, reports: true, lowPriority: c.low,
					limited: c.limited, rates: c.rates, restarts: c.restarts, seed: seed,
				})
				m.run()
				high, low = high.plus(m.high), low.plus(m.low)
				for _, s := range m.servers {
					if s.rates != nil {
						limited++
						worst = max(worst, worstExcess(s))
					}
				}
			}
			supply := m.supply(18, c.rate, burstRate)
			_, _ = fmt.Fprintf(GinkgoWriter, "%s: %d servers, excess %.1f, supply %.0f, %+v %+v\n", c.name, limited, worst, supply,
				high, low)
			Expect(limited).To(BeNumerically(">", 0))
			Expect(worst).To(BeNumerically("<=", 0))
			answered := high.share(high.inTime + high.late)
			// Half of what the limits leave room for is answered, and nobody waits until the deadline for nothing.
			Expect(answered).To(BeNumerically(">=", 0.5*supply/burstRate))
			Expect(high.share(high.failed)).To(BeNumerically("<=", 0.01))
			Expect(low.share(low.failed)).To(BeNumerically("<=", 0.01))
			// Less urgent queries need fewer shards, and are not answered more often for that.
			Expect(low.share(low.inTime + low.late)).To(BeNumerically("<=", answered+0.05))
		})
	}

	// limitAll names a rate limit in an answer of each shard.
	limitAll := func(d *daemon, rate balance.RateLimit, shards int) {
		q, _ := d.begin(start)
		for n := range shards {
			limited := success
			limited.Limit = &rate
			q.HandleResult(start+10, n, limited)
		}
		Expect(q.Done()).To(BeTrue())
	}

	It("get no request that their limit leaves no room for; the caller is told when there is room", func() {
		d := newDaemon(3, 1, lookup)
		limitAll(d, 2, 3)
		_, actions := d.begin(start + 20)
		Expect(actions).To(HaveLen(1))
		outcome := actions[0].Outcome
		Expect(outcome.Refusal.Reason).To(Equal(reason.Limit))
		Expect(outcome.Refusal.Run).To(Equal(reason.NotExecuted))
		Expect(outcome.RetryAfter).To(BeNumerically(">=", 490))
		Expect(outcome.RetryAfter).To(BeNumerically("<", 1000))
		_, actions = d.begin(start + 20 + outcome.RetryAfter)
		Expect(ofKind(actions, gather.Send)).To(HaveLen(3))
	})

	It("are left out where the answer can do without them, and spared where there is another replica", func() {
		d := newDaemon(10, 1, lookup)
		q, _ := d.begin(start)
		limited := success
		limited.Limit = new(balance.RateLimit(2))
		q.HandleResult(start+10, 0, limited)
		for n := 1; n < 10; n++ {
			q.HandleResult(start+10, n, success)
		}
		_, actions := d.begin(start + 20)
		Expect(ofKind(actions, gather.Send)).To(HaveLen(9))

		d = newDaemon(1, 2, lookup)
		limitAll(d, 2, 1)
		_, actions = d.begin(start + 20)
		Expect(ofKind(actions, gather.Send)).To(HaveLen(1))
		Expect(actions[0].Upstream.ID).To(Equal("shard0-1"))
	})

	It("are spared where there is a slower replica, also when there is room again soon", func() {
		d := newDaemon(1, 2, lookup)
		limitAll(d, 2, 1)
		q, actions := d.begin(start + 20)
		Expect(actions[0].Upstream.ID).To(Equal("shard0-1"))
		slow := success
		slow.Load = &balance.Load{Running: 1, Slots: 2}
		q.HandleResult(start+70, 0, slow)
		_, actions = d.begin(start + 505)
		Expect(ofKind(actions, gather.Send)).To(HaveLen(1))
		Expect(actions[0].Upstream.ID).To(Equal("shard0-1"))
	})

	It("get their full load again soon after the limit lapsed", func() {
		m := newSimulation(scenario{
			perSecond: burstRate, burst: 1, reports: true, limited: 1, rates: rateLimits{{0, 8}, {4 * clock.Second, -1}},
		})
		m.run()
		_, _ = fmt.Fprintf(GinkgoWriter, "%+v\n", m.high)
		// The burst begins a second after the lapse.
		Expect(m.high.share(m.high.inTime)).To(BeNumerically(">=", 0.95))
	})
})
