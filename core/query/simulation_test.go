package query_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"jacinthferry/core/clock"
	"jacinthferry/core/leg"
	"jacinthferry/core/quarantine"
	"jacinthferry/core/query"
	"jacinthferry/core/reason"
	"jacinthferry/core/route"
)

// simulation drives planners in virtual time against upstreams that have slots, a queue and a service
// time. It simulates no network, no homes and no control.
type simulation struct {
	layout
	daemons int
	policy  query.Policy
	canary  bool
	seed    uint64
	// warmup is the time before queries are counted.
	warmup clock.Milli
	// rate is the number of queries per second, count the number of all queries, texts the number of
	// distinct search texts, and timeout the time from the start of a query to its deadline.
	rate, count, texts int
	timeout            clock.Milli
	// serviceTime is the median of the service times and sigma the standard deviation of their logarithm.
	serviceTime clock.Milli
	sigma       float64
	// stragglerRatio is the fraction of the legs that take 50 times as long.
	stragglerRatio float64
	// slowUpstreams is the number of upstreams that take five times as long.
	slowUpstreams int
	// maxQueued is the maximum number of legs in the queue of one upstream.
	maxQueued int
}

const upstreamSlots = 2

type timedEvent struct {
	at     clock.Milli
	seq    int
	handle func(now clock.Milli)
}

type eventQueue []timedEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(timedEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]

	return x
}

// simulatedLeg is a leg at an upstream.
type simulatedLeg struct {
	query     *simulatedQuery
	number    int
	leg       leg.Leg
	cancelled bool
	running   bool
}

// simulatedQuery is a query and its legs by number.
type simulatedQuery struct {
	query  *query.Query
	caller string
	start  clock.Milli
	legs   map[int]*simulatedLeg
}

type simulatedUpstream struct {
	running int
	waiting []*simulatedLeg
	factor  float64
}

// outcome is the result of one or more simulations.
type outcome struct {
	latencies     []float64
	legs, shards  int
	full, refused int
	// fullByCaller is the number of responses with full coverage by caller.
	fullByCaller map[string]int
}

type simulator struct {
	simulation
	outcome
	now       clock.Milli
	seq       int
	events    eventQueue
	random    *rand.Rand
	table     *route.Table
	planners  []*query.Planner
	simulated map[string]*simulatedUpstream
}

func (m simulation) run() outcome {
	w := &simulator{
		simulation: m, random: rand.New(rand.NewPCG(m.seed, 11)), table: m.table(),
		simulated: make(map[string]*simulatedUpstream), outcome: outcome{fullByCaller: make(map[string]int)},
	}
	for i := range m.upstreams {
		w.simulated[upstreamName(i)] = &simulatedUpstream{factor: 1}
		if m.slowUpstreams > 0 && i%(m.upstreams/m.slowUpstreams) == 0 {
			w.simulated[upstreamName(i)].factor = 5
		}
	}
	for i := range max(1, m.daemons) {
		tracker := quarantine.NewTracker(trackerConfig(m.canary))
		w.planners = append(w.planners, query.NewPlanner(m.policy, trackerFuncs(tracker),
			func() *route.Table { return w.table }, rand.New(rand.NewPCG(uint64(i), 5))))
	}
	at := clock.Milli(0)
	for i := range m.count {
		at += clock.Milli(w.random.ExpFloat64() * 1000 / float64(m.rate))
		w.schedule(at, func(clock.Milli) { w.arrive(i) })
	}
	for len(w.events) > 0 {
		d := heap.Pop(&w.events).(timedEvent)
		w.now = d.at
		d.handle(d.at)
	}
	slices.Sort(w.latencies)

	return w.outcome
}

func (w *simulator) schedule(at clock.Milli, do func(clock.Milli)) {
	w.seq++
	heap.Push(&w.events, timedEvent{at, w.seq, do})
}

func (w *simulator) arrive(i int) {
	r := request(fmt.Sprint(w.random.IntN(max(1, w.texts))), w.now+w.timeout)
	r.ID = fmt.Sprint("q", i)
	r.Caller = "light"
	if i%10 > 0 {
		r.Caller = "heavy"
	}
	sq := &simulatedQuery{caller: r.Caller, start: w.now, legs: make(map[int]*simulatedLeg)}
	var actions []query.Action
	sq.query, actions = w.planners[i%len(w.planners)].Begin(w.now, r)
	w.apply(sq, actions)
}

func (w *simulator) apply(sq *simulatedQuery, actions []query.Action) {
	for _, a := range actions {
		switch a.Kind {
		case query.Send:
			w.send(sq, a)
		case query.Cancel:
			w.cancel(sq.legs[a.Number])
		case query.Wake:
			w.schedule(a.At, func(now clock.Milli) { w.apply(sq, sq.query.HandleTimeout(now)) })
		case query.Finish:
			w.finish(sq, a.Response)
		case query.Note:
		}
	}
}

func (w *simulator) finish(sq *simulatedQuery, r *query.Reply) {
	if sq.start < w.warmup {
		return
	}
	w.legs += r.Legs
	w.shards += r.Total
	w.latencies = append(w.latencies, float64(w.now-sq.start))
	switch {
	case r.Refusal != nil:
		w.refused++
	case r.Covered == r.Total:
		w.full++
		w.fullByCaller[sq.caller]++
	}
}

func (w *simulator) send(sq *simulatedQuery, a query.Action) {
	f := &simulatedLeg{query: sq, number: a.Number, leg: a.Leg}
	sq.legs[a.Number] = f
	s := w.simulated[a.Replica.Upstream]
	if len(s.waiting) >= w.maxQueued {
		f.cancelled = true
		w.schedule(w.now, func(now clock.Milli) {
			w.apply(sq, sq.query.HandleResult(now, f.number, leg.Refused(reason.Overload, reason.NotExecuted, "")))
		})

		return
	}
	s.waiting = append(s.waiting, f)
	w.serve(s)
}

func (w *simulator) cancel(f *simulatedLeg) {
	f.cancelled = true
	if f.running {
		w.release(w.simulated[f.leg.Upstream], f)
	}
}

func (w *simulator) release(s *simulatedUpstream, f *simulatedLeg) {
	f.running = false
	s.running--
	w.serve(s)
}

// serve starts queued legs while slots are free.
func (w *simulator) serve(s *simulatedUpstream) {
	for s.running < upstreamSlots && len(s.waiting) > 0 {
		f := s.waiting[0]
		s.waiting = s.waiting[1:]
		if f.cancelled {
			continue
		}
		s.running++
		f.running = true
		took := float64(w.serviceTime) * s.factor * math.Exp(w.sigma*w.random.NormFloat64())
		if w.random.Float64() < w.stragglerRatio {
			took *= 50
		}
		w.schedule(w.now+clock.Milli(took), func(now clock.Milli) {
			if f.cancelled {
				return
			}
			w.release(s, f)
			w.apply(f.query, f.query.query.HandleResult(now, f.number, validResult(f.leg)))
		})
	}
}

// add adds the outcome of other simulations to o.
func (o *outcome) add(other outcome) {
	o.latencies = append(o.latencies, other.latencies...)
	slices.Sort(o.latencies)
	o.legs += other.legs
	o.shards += other.shards
	o.full += other.full
	o.refused += other.refused
	for caller, n := range other.fullByCaller {
		if o.fullByCaller == nil {
			o.fullByCaller = make(map[string]int)
		}
		o.fullByCaller[caller] += n
	}
}

func (o outcome) quantile(q float64) float64 {
	return o.latencies[min(len(o.latencies)-1, int(q*float64(len(o.latencies))))]
}

// extraRatio returns the number of legs beyond one for each shard, as a ratio to the number of shards.
func (o outcome) extraRatio() float64 { return float64(o.legs)/float64(o.shards) - 1 }
