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

// model drives planners with virtual time against upstreams that have slots, a queue and a service
// time. It stands for nothing else: no network, no homes, no control.
type model struct {
	layout
	daemons int
	policy  query.Policy
	canary  bool
	seed    uint64
	// warm is how long the model runs before it counts.
	warm clock.Milli
	// rate is how many queries arrive in a second, count how many in all, span their time to answer,
	// and texts how many different ones there are.
	rate, count, texts int
	span               clock.Milli
	// work is the median service time and spread the standard deviation of its logarithm.
	work   clock.Milli
	spread float64
	// straggle is the part of the legs that take 50 times as long.
	straggle float64
	// slow is how many upstreams take five times as long.
	slow int
	// queue is how many legs wait at one upstream at most.
	queue int
}

const slots = 2

type due struct {
	at  clock.Milli
	seq int
	do  func(now clock.Milli)
}

type dues []due

func (d dues) Len() int { return len(d) }
func (d dues) Less(i, j int) bool {
	return d[i].at < d[j].at || (d[i].at == d[j].at && d[i].seq < d[j].seq)
}
func (d dues) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *dues) Push(x any)   { *d = append(*d, x.(due)) }
func (d *dues) Pop() any {
	old := *d
	x := old[len(old)-1]
	*d = old[:len(old)-1]

	return x
}

// flight is one leg at an upstream.
type flight struct {
	run       *run
	number    int
	leg       leg.Leg
	cancelled bool
	running   bool
}

// run is one query.
type run struct {
	query  *query.Query
	caller string
	start  clock.Milli
	legs   map[int]*flight
}

type server struct {
	running int
	waiting []*flight
	factor  float64
}

// outcome is what the model counts.
type outcome struct {
	latencies      []float64
	legs, shards   int
	whole, refused int
	// wholeBy counts the whole answers of each caller.
	wholeBy map[string]int
}

type world struct {
	model
	outcome
	now     clock.Milli
	seq     int
	agenda  dues
	random  *rand.Rand
	table   *route.Table
	desks   []*query.Planner
	servers map[string]*server
}

func (m model) run() outcome {
	w := &world{
		model: m, random: rand.New(rand.NewPCG(m.seed, 11)), table: m.table(), servers: make(map[string]*server),
		outcome: outcome{wholeBy: make(map[string]int)},
	}
	for i := range m.upstreams {
		w.servers[upstreamName(i)] = &server{factor: 1}
		if m.slow > 0 && i%(m.upstreams/m.slow) == 0 {
			w.servers[upstreamName(i)].factor = 5
		}
	}
	for i := range max(1, m.daemons) {
		list := quarantine.NewTracker(terms(m.canary))
		w.desks = append(w.desks, query.NewPlanner(m.policy, guardOf(list), func() *route.Table { return w.table },
			rand.New(rand.NewPCG(uint64(i), 5))))
	}
	at := clock.Milli(0)
	for i := range m.count {
		at += clock.Milli(w.random.ExpFloat64() * 1000 / float64(m.rate))
		w.plan(at, func(clock.Milli) { w.arrive(i) })
	}
	for len(w.agenda) > 0 {
		d := heap.Pop(&w.agenda).(due)
		w.now = d.at
		d.do(d.at)
	}
	slices.Sort(w.latencies)

	return w.outcome
}

func (w *world) plan(at clock.Milli, do func(clock.Milli)) {
	w.seq++
	heap.Push(&w.agenda, due{at, w.seq, do})
}

func (w *world) arrive(i int) {
	r := request(fmt.Sprint(w.random.IntN(max(1, w.texts))), w.now+w.span)
	r.ID = fmt.Sprint("q", i)
	r.Caller = "light"
	if i%10 > 0 {
		r.Caller = "heavy"
	}
	one := &run{caller: r.Caller, start: w.now, legs: make(map[int]*flight)}
	var actions []query.Action
	one.query, actions = w.desks[i%len(w.desks)].Begin(w.now, r)
	w.take(one, actions)
}

func (w *world) take(one *run, actions []query.Action) {
	for _, a := range actions {
		switch a.Kind {
		case query.Send:
			w.send(one, a)
		case query.Cancel:
			w.cancel(one.legs[a.Number])
		case query.Wake:
			w.plan(a.At, func(now clock.Milli) { w.take(one, one.query.Due(now)) })
		case query.Finish:
			w.finish(one, a.Reply)
		case query.Note:
		}
	}
}

func (w *world) finish(one *run, r *query.Reply) {
	if one.start < w.warm {
		return
	}
	w.legs += r.Legs
	w.shards += r.Total
	w.latencies = append(w.latencies, float64(w.now-one.start))
	switch {
	case r.Refusal != nil:
		w.refused++
	case r.Covered == r.Total:
		w.whole++
		w.wholeBy[one.caller]++
	}
}

func (w *world) send(one *run, a query.Action) {
	f := &flight{run: one, number: a.Number, leg: a.Leg}
	one.legs[a.Number] = f
	s := w.servers[a.Replica.Upstream]
	if len(s.waiting) >= w.queue {
		f.cancelled = true
		w.plan(w.now, func(now clock.Milli) {
			w.take(one, one.query.Answered(now, f.number, leg.Refused(reason.Overload, reason.NotExecuted, "")))
		})

		return
	}
	s.waiting = append(s.waiting, f)
	w.serve(s)
}

func (w *world) cancel(f *flight) {
	f.cancelled = true
	if f.running {
		w.free(w.servers[f.leg.Upstream], f)
	}
}

func (w *world) free(s *server, f *flight) {
	f.running = false
	s.running--
	w.serve(s)
}

// serve starts waiting legs while slots are free.
func (w *world) serve(s *server) {
	for s.running < slots && len(s.waiting) > 0 {
		f := s.waiting[0]
		s.waiting = s.waiting[1:]
		if f.cancelled {
			continue
		}
		s.running++
		f.running = true
		took := float64(w.work) * s.factor * math.Exp(w.spread*w.random.NormFloat64())
		if w.random.Float64() < w.straggle {
			took *= 50
		}
		w.plan(w.now+clock.Milli(took), func(now clock.Milli) {
			if f.cancelled {
				return
			}
			w.free(s, f)
			w.take(f.run, f.run.query.Answered(now, f.number, good(f.leg)))
		})
	}
}

// add puts the counts of another run to those of o.
func (o *outcome) add(other outcome) {
	o.latencies = append(o.latencies, other.latencies...)
	slices.Sort(o.latencies)
	o.legs += other.legs
	o.shards += other.shards
	o.whole += other.whole
	o.refused += other.refused
	for caller, n := range other.wholeBy {
		if o.wholeBy == nil {
			o.wholeBy = make(map[string]int)
		}
		o.wholeBy[caller] += n
	}
}

func (o outcome) quantile(q float64) float64 {
	return o.latencies[min(len(o.latencies)-1, int(q*float64(len(o.latencies))))]
}

// extra is how many legs were sent beyond one for each shard, as a part of those.
func (o outcome) extra() float64 { return float64(o.legs)/float64(o.shards) - 1 }
