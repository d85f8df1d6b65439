package gather_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"

	"jacinthferry/core/balance"
	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/core/gather"
	"jacinthferry/core/reason"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// event is a function that the simulation calls at an instant.
type event struct {
	at clock.Milli
	do func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]

	return last
}

// scenario is how callers and upstreams behave in a simulation, and the least that is expected of it.
type scenario struct {
	name string
	// perSecond is the number of queries per second, and burst the factor by which it is higher from the
	// fifth second on, for burstSpan or, if that is 0, three seconds.
	perSecond float64
	burst     float64
	burstSpan clock.Milli
	// slow is the share of upstreams that take slowdown times as long, dead that of upstreams that accept
	// no connection, silent that of upstreams that never answer, and shed that of requests that upstreams
	// refuse.
	slow, dead, silent, shed float64
	slowdown                 float64
	// slowShards is how many shards have only servers that take slowdown times as long.
	slowShards int
	// lost is the share of answers that half of the upstreams lose from lossFrom to lossTo.
	lost float64
	// reports is set when servers report their load with each answer.
	reports bool
	// lowPriority is the share of low-priority queries, which take a third of the work, have half of the
	// objective and need fewer shards.
	lowPriority float64
	// minInTime is the least share of queries that are answered within the objective, and minCoverage the
	// least share of the shards that their answers cover on average.
	minInTime, minCoverage float64
	// limited is the share of servers that name the rate limits of rates, and restarts how often a daemon is replaced
	// by one that knows nothing.
	limited  float64
	rates    rateLimits
	restarts clock.Milli
	// seed is added to the seed of the random numbers.
	seed uint64
}

// task is a request that waits for a slot.
type task struct {
	work clock.Milli
	done func()
}

// server is an upstream with slots and a queue, which pauses for pauseSpan every pauseEvery.
type server struct {
	slots, limit int
	queue        []task
	slowdown     float64
	dead, silent bool
	lossy        bool
	pausedUntil  clock.Milli
	// rates are the rate limits that the server names, by time.
	rates rateLimits
	// arrivals are when requests reached the server.
	arrivals []clock.Milli
}

const (
	shardCount       = 20
	daemonCount      = 7
	serverSlots      = 2
	simulationSpan   = 20 * clock.Second
	meanWork         = 13 * clock.Millisecond
	pauseSpan        = 150 * clock.Millisecond
	pauseEvery       = 3600 * clock.Millisecond
	meanNetworkDelay = 0.5 * clock.Millisecond
	lossFrom         = start + 10*clock.Second
	lossTo           = lossFrom + 4*clock.Second
	// capacity is how many queries a second the servers can serve: the two upstreams of each shard have two
	// slots each, and pause for a part of the time.
	capacity  = 2 * serverSlots * float64(clock.Second/meanWork) * (1 - float64(pauseSpan/pauseEvery))
	burstRate = 90
)

// simulation runs a scenario against the coordinators of several daemons in virtual time.
type simulation struct {
	scenario     scenario
	now          clock.Milli
	events       eventQueue
	random       *rand.Rand
	coordinators []*gather.Coordinator
	// startedAt is when each daemon started.
	startedAt []clock.Milli
	view      *catalog.View
	route     *catalog.Route
	// lowPriorityRoute is the route of the low-priority queries.
	lowPriorityRoute *catalog.Route
	servers          map[string]*server

	// legs counts the legs that reach servers, and firstLegs those that are the first of their shard.
	queries, inTime, legs, firstLegs int
	// coverage sums the shares of the shards that answers in time cover.
	coverage float64
	// lossQueries and lossInTime count the queries that come while answers are lost.
	lossQueries, lossInTime int
	// high and low count the queries of high and low priority that come during a burst.
	high, low tally
}

// tally counts how queries end.
type tally struct {
	queries, inTime, late, refused, failed int
	// coverage sums the shares of the shards that answers in time cover.
	coverage float64
}

func (t tally) share(n int) float64 { return float64(n) / float64(max(1, t.queries)) }

func (m *simulation) after(span clock.Milli, do func()) {
	heap.Push(&m.events, event{m.now + span, do})
}

func newSimulation(sc scenario) *simulation {
	m := &simulation{scenario: sc, now: start, random: rand.New(rand.NewPCG(3+sc.seed, 4)), servers: make(map[string]*server)}
	d := newDaemon(shardCount, 2, lookup)
	m.view, m.route = d.view, d.route
	low := *d.route
	low.Name, low.Priority, low.Timeout, low.Objective, low.MinCoverage = "quick", d.route.Priority+1, 300, 60, 0.75
	low.Prefix = "/quick/"
	m.lowPriorityRoute = catalog.NewConfig(1, 1, []catalog.Route{*d.route, low}, nil, catalog.Limits{}).Match("host", "/quick/")
	m.coordinators, m.startedAt = make([]*gather.Coordinator, daemonCount), make([]clock.Milli, daemonCount)
	for i := range m.coordinators {
		m.startDaemon(i)
		m.startedAt[i] = 0
	}
	m.scheduleRestarts(0)
	for i := range shardCount {
		for r := range 2 {
			s := &server{
				slots: serverSlots, limit: 14, slowdown: 1, dead: m.random.Float64() < sc.dead,
				silent: m.random.Float64() < sc.silent,
			}
			if sc.limited > 0 && m.random.Float64() < sc.limited {
				s.rates = sc.rates
			}
			s.lossy = sc.lost > 0 && m.random.Float64() < 0.5
			if i < sc.slowShards || m.random.Float64() < sc.slow {
				s.slowdown = sc.slowdown
			}
			m.servers[fmt.Sprintf("shard%d-%d", i, r)] = s
			m.schedulePauses(s, clock.Milli(m.random.Float64())*pauseEvery)
		}
	}

	return m
}

// startDaemon replaces a daemon by one that knows nothing.
func (m *simulation) startDaemon(i int) {
	m.startedAt[i] = m.now
	daemons := func() int {
		// A daemon that has just started does not know the others yet.
		if m.now < m.startedAt[i]+4*clock.Second {
			return 16
		}

		return daemonCount
	}
	balancer := balance.New(balance.Options{Zone: "zone0", Daemons: daemons, Uniform: m.random.Float64})
	m.coordinators[i] = gather.New(policy, balancer, daemons, m.random.Float64)
}

// scheduleRestarts restarts the daemons in turn, from the given one on.
func (m *simulation) scheduleRestarts(i int) {
	if m.scenario.restarts == 0 {
		return
	}
	m.after(m.scenario.restarts, func() {
		m.startDaemon(i)
		m.scheduleRestarts((i + 1) % daemonCount)
	})
}

// report returns the load that a server reports.
func (s *server) report() *balance.Load {
	return &balance.Load{Running: serverSlots - s.slots, Waiting: len(s.queue), Slots: serverSlots}
}

func (m *simulation) schedulePauses(s *server, in clock.Milli) {
	m.after(in, func() {
		s.pausedUntil = m.now + pauseSpan
		m.schedulePauses(s, pauseEvery)
	})
}

// scheduleQueries schedules queries as a Poisson process.
func (m *simulation) scheduleQueries() {
	rate := m.scenario.perSecond
	if m.inBurst(m.now) {
		rate *= m.scenario.burst
	}
	m.after(clock.Milli(-math.Log(1-m.random.Float64())/rate)*clock.Second, func() {
		if m.now < start+simulationSpan {
			m.startQuery()
			m.scheduleQueries()
		}
	})
}

// inBurst reports whether there is a burst at an instant.
func (m *simulation) inBurst(now clock.Milli) bool {
	span := m.scenario.burstSpan
	if span == 0 {
		span = 3 * clock.Second
	}
	began := start + 5*clock.Second

	return m.scenario.burst > 0 && now >= began && now < began+span
}

// attempt is one attempt of a caller.
type attempt struct {
	query *gather.Query
	route *catalog.Route
	// began is when the caller sent its first attempt, and arrived when this attempt arrived.
	began, arrived clock.Milli
	retry          bool
	// reached holds the services that legs of this attempt reached.
	reached map[string]bool
}

func (m *simulation) startQuery() {
	m.queries++
	if inLoss(m.now) {
		m.lossQueries++
	}
	route := m.route
	if m.scenario.lowPriority > 0 && m.random.Float64() < m.scenario.lowPriority {
		route = m.lowPriorityRoute
	}
	if m.inBurst(m.now) {
		m.tally(route).queries++
	}
	m.begin(&attempt{route: route, began: m.now, arrived: m.now, reached: map[string]bool{}})
}

func (m *simulation) tally(route *catalog.Route) *tally {
	if route == m.lowPriorityRoute {
		return &m.low
	}

	return &m.high
}

// begin sends an attempt to a random daemon.
func (m *simulation) begin(t *attempt) {
	query, actions := m.coordinators[m.random.IntN(daemonCount)].Begin(m.now, m.view, t.route, gather.Request{
		ID: "r", Arrived: m.now, FirstSent: t.began, Deadline: t.began + t.route.Timeout,
	})
	t.query = query
	m.execute(t, actions)
}

// execute executes the actions of a query and schedules its next timeout.
func (m *simulation) execute(t *attempt, actions []gather.Action) {
	for _, a := range append([]gather.Action(nil), actions...) {
		switch a.Kind {
		case gather.Send:
			m.send(t, a)
		case gather.Finish:
			m.finish(t, &a.Outcome)
		default:
			// Callers do not leave here, so that nothing is cancelled.
		}
	}
	if next := t.query.NextTimeout(); !t.query.Done() {
		m.after(max(0, next-m.now), func() { m.execute(t, t.query.HandleTimeout(m.now)) })
	}
}

// finish handles the outcome that a caller gets. A caller that is refused early with a time for a retry
// retries once.
func (m *simulation) finish(t *attempt, outcome *gather.Outcome) {
	early := m.now-t.arrived <= t.route.Objective/4 &&
		(outcome.Refusal == nil || outcome.Refusal.Run == reason.NotExecuted)
	inTime := outcome.Refusal == nil && m.now-t.arrived <= t.route.Objective
	if outcome.Refusal != nil && early && outcome.RetryAfter > 0 && !t.retry {
		Expect(t.reached).To(BeEmpty())
		// Callers wait for a third of the time that they have left at most.
		m.after(min(outcome.RetryAfter, (t.began+t.route.Timeout-m.now)/3), func() {
			m.begin(&attempt{route: t.route, began: t.began, arrived: m.now, retry: true, reached: map[string]bool{}})
		})

		return
	}
	if inTime && !t.retry {
		m.countInTime(t, outcome)
	}
	if !m.inBurst(t.began) {
		return
	}
	c := m.tally(t.route)
	switch {
	case inTime:
		c.inTime++
		c.coverage += float64(len(outcome.Legs)) / shardCount
	case outcome.Refusal == nil:
		c.late++
	case early:
		c.refused++
	default:
		c.failed++
	}
}

// countInTime counts an answer in time to a first attempt. Only the tally of a burst also counts answers
// to retries, whose objective starts anew.
func (m *simulation) countInTime(t *attempt, outcome *gather.Outcome) {
	m.inTime++
	m.coverage += float64(len(outcome.Legs)) / shardCount
	if inLoss(t.began) {
		m.lossInTime++
	}
}

func (m *simulation) send(t *attempt, a gather.Action) {
	s := m.servers[a.Upstream.ID]
	end := func(in clock.Milli, r gather.Result) {
		if m.scenario.reports && r.Sent && !s.silent {
			r.Load = s.report()
		}
		if r.Sent && !s.silent {
			r.Limit = s.rates.at(m.now)
		}
		m.after(in, func() { m.execute(t, t.query.HandleResult(m.now, a.Number, r)) })
	}
	if s.dead {
		end(meanNetworkDelay, gather.Result{Run: reason.NotExecuted, Reason: reason.Connection})

		return
	}
	m.legs++
	s.arrivals = append(s.arrivals, m.now)
	if !t.reached[a.Service.Name] {
		t.reached[a.Service.Name] = true
		m.firstLegs++
	}
	if s.silent {
		end(m.route.Timeout, gather.Result{Sent: true, Run: reason.ExecutionUnknown, Reason: reason.Failed})

		return
	}
	if m.random.Float64() < m.scenario.shed || len(s.queue) >= s.limit {
		end(meanNetworkDelay, gather.Result{Sent: true, Run: reason.NotExecuted, Reason: reason.Overload})

		return
	}
	result := success
	if s.lossy && inLoss(m.now) && m.random.Float64() < m.scenario.lost {
		result = gather.Result{Sent: true, Run: reason.ExecutionUnknown, Reason: reason.Failed}
	}
	work := meanWork
	if t.route == m.lowPriorityRoute {
		work /= 3
	}
	s.queue = append(s.queue, task{work: work, done: func() { end(meanNetworkDelay, result) }})
	m.startTasks(s)
}

// inLoss reports whether answers are lost at an instant.
func inLoss(now clock.Milli) bool { return now >= lossFrom && now < lossTo }

// startTasks starts the queued tasks of a server while it has free slots.
func (m *simulation) startTasks(s *server) {
	for s.slots > 0 && len(s.queue) > 0 {
		t := s.queue[0]
		s.queue = s.queue[1:]
		s.slots--
		span := t.work*clock.Milli(s.slowdown*(0.5+m.random.Float64())) + max(0, s.pausedUntil-m.now)
		m.after(span, func() {
			s.slots++
			t.done()
			m.startTasks(s)
		})
	}
}

func (m *simulation) run() {
	m.scheduleQueries()
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(event)
		if e.at > start+simulationSpan+2*clock.Second {
			return
		}
		m.now = e.at
		e.do()
	}
}

var _ = Describe("Seven daemons over 20 shards of two upstreams each", func() {
	for _, sc := range []scenario{
		{name: "no faults but pauses of 150 ms", perSecond: 60, minInTime: 0.99, minCoverage: 0.985},
		{name: "a burst of twice the load", perSecond: 60, burst: 2, minInTime: 0.99, minCoverage: 0.97},
		{
			name: "one upstream in seven eight times slower", perSecond: 60, slow: 0.15, slowdown: 8,
			minInTime: 0.97, minCoverage: 0.95,
		},
		{name: "one upstream in ten unreachable", perSecond: 60, dead: 0.1, minInTime: 0.97, minCoverage: 0.96},
		{name: "one upstream in ten silent", perSecond: 60, silent: 0.1, minInTime: 0.97, minCoverage: 0.95},
		{name: "one request in ten refused at all upstreams", perSecond: 60, shed: 0.1, minInTime: 0.97, minCoverage: 0.95},
	} {
		It("answer in time and cover nearly all shards, within the retry budget: "+sc.name, func() {
			m := newSimulation(sc)
			m.run()
			extra := m.legs - m.firstLegs
			allowed := policy.RetryRatio*float64(m.queries*shardCount) +
				shardCount*policy.RetrySlack*float64(simulationSpan/(10*clock.Second))
			_, _ = fmt.Fprintf(GinkgoWriter, "%s: %d queries, %.3f in time, coverage %.3f, %.3f extra per first leg\n",
				sc.name, m.queries, float64(m.inTime)/float64(m.queries), m.coverage/float64(m.inTime),
				float64(extra)/float64(m.firstLegs))
			Expect(float64(m.inTime) / float64(m.queries)).To(BeNumerically(">=", sc.minInTime))
			Expect(m.coverage / float64(m.inTime)).To(BeNumerically(">=", sc.minCoverage))
			Expect(float64(extra)).To(BeNumerically("<=", allowed))
		})
	}

	for _, burst := range []float64{4, 8, 16} {
		It(fmt.Sprintf("refuse at once what they cannot answer in time under %g times the load", burst), func() {
			m := newSimulation(scenario{perSecond: burstRate, burst: burst, reports: true})
			m.run()
			_, _ = fmt.Fprintf(GinkgoWriter, "%g times the load: %+v, %.3f in time, %.3f failed late\n", burst, m.high,
				m.high.share(m.high.inTime), m.high.share(m.high.failed))
			// Half of the queries that the upstreams can serve are answered in time, and refusals come early.
			Expect(m.high.share(m.high.inTime)).To(BeNumerically(">=", 0.5*capacity/(burstRate*burst)))
			Expect(m.high.share(m.high.failed)).To(BeNumerically("<=", 0.01))
		})

		It(fmt.Sprintf("serve queries of high and low priority alike under %g times the load", burst), func() {
			m := newSimulation(scenario{perSecond: burstRate, burst: burst, reports: true, lowPriority: 0.25})
			m.run()
			high, low := m.high.share(m.high.inTime+m.high.late), m.low.share(m.low.inTime+m.low.late)
			_, _ = fmt.Fprintf(GinkgoWriter, "%g times the load, high and low priority: %+v %+v, answered %.3f %.3f\n", burst,
				m.high, m.low, high, low)
			Expect(low).To(BeNumerically("<=", high+0.05))
			Expect(low).To(BeNumerically(">=", high/4))
			Expect(m.low.share(m.low.failed)).To(BeNumerically("<=", 0.01))
		})
	}

	for _, slowShards := range []int{1, 2, 3, 4} {
		It(fmt.Sprintf("answer what they can while all upstreams of %d shards are slow", slowShards), func() {
			m := newSimulation(scenario{
				perSecond: burstRate, burst: 1, reports: true, slowShards: slowShards, slowdown: 8, lowPriority: 0.25,
			})
			m.run()
			_, _ = fmt.Fprintf(GinkgoWriter, "%d slow shards: %+v %+v\n", slowShards, m.high, m.low)
			// High-priority answers need all but two of the shards, low-priority ones all but five.
			needed := max(0, slowShards-2)
			share := 1.0
			if needed > 0 {
				share = min(share, 0.5*float64(slowShards)*capacity/8/(0.75*burstRate*float64(needed)))
			}
			Expect(m.high.share(m.high.inTime + m.high.late)).To(BeNumerically(">=", share-0.02))
			// At most one query in ten waits until its deadline and then fails.
			Expect(m.high.share(m.high.failed)).To(BeNumerically("<=", 0.1))
			Expect(m.low.share(m.low.inTime)).To(BeNumerically(">=", 0.97))
		})
	}

	It("use budget that was left unused earlier when many answers are lost", func() {
		m := newSimulation(scenario{perSecond: 60, lost: 0.5})
		m.run()
		_, _ = fmt.Fprintf(GinkgoWriter, "%d queries while answers were lost, %d in time\n", m.lossQueries, m.lossInTime)
		Expect(float64(m.lossInTime) / float64(m.lossQueries)).To(BeNumerically(">=", 0.5))
	})
})
