package admit_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"

	"jacinthferry/core/admit"
	"jacinthferry/core/clock"
	"jacinthferry/core/leg"
	"jacinthferry/core/reason"
)

// event is a function to run at an instant of virtual time.
type event struct {
	at  clock.Milli
	seq int
	run func(now clock.Milli)
}

type eventHeap []event

func (c eventHeap) Len() int { return len(c) }
func (c eventHeap) Less(i, j int) bool {
	return c[i].at < c[j].at || (c[i].at == c[j].at && c[i].seq < c[j].seq)
}
func (c eventHeap) Swap(i, j int) { c[i], c[j] = c[j], c[i] }
func (c *eventHeap) Push(x any)   { *c = append(*c, x.(event)) }
func (c *eventHeap) Pop() any {
	old := *c
	x := old[len(old)-1]
	*c = old[:len(old)-1]

	return x
}

// simulation simulates queues in front of one upstream in virtual time.
type simulation struct {
	random *rand.Rand
	events eventHeap
	seq    int
	policy *admit.Policy
	// slots and coldLimit are the limits of the upstream, which sheds legs above its slots. It is cold
	// until it has answered warmupLegs.
	slots, coldLimit, warmupLegs int
	// peerDelay is the one-way delay between two daemons, and upstreamDelay that between a daemon and
	// the upstream.
	peerDelay, upstreamDelay clock.Milli
	deadline                 clock.Milli
	// backoff is the shortest time that a sender waits after a leg was shed; the longest is twice that.
	backoff clock.Milli
	// burst is the number of legs that arrive at once.
	burst int

	running, completed int
	// aboveColdLimit counts legs above the cold limit, and shed those above the slots.
	aboveColdLimit, shed int
	legs                 map[uint64]*simulatedLeg
	result               callerStats
}

type simulatedLeg struct {
	item     admit.Item
	arrived  clock.Milli
	queue    int
	remote   bool
	attempts int
}

// callerStats holds the results that callers saw; latencies are in milliseconds.
type callerStats struct {
	offered, refused, late, inTime int
	urgent, routine                []float64
}

func (w *simulation) schedule(at clock.Milli, run func(clock.Milli)) {
	w.seq++
	heap.Push(&w.events, event{at, w.seq, run})
}

func (w *simulation) drawServiceTime() clock.Milli { return 2 + clock.Milli(w.random.ExpFloat64()*3) }

// meanServiceTime is the mean of the service times, in milliseconds.
const meanServiceTime = 5

// apply carries out a queue's actions.
func (w *simulation) apply(now clock.Milli, queues []*admit.Queue, actions []admit.Action) {
	for _, a := range slices.Clone(actions) {
		f := w.legs[a.Ticket]
		switch a.Kind {
		case admit.Dispatch:
			w.schedule(now+w.upstreamDelay, func(now clock.Milli) { w.arrive(now, queues, a.Ticket, f) })
		case admit.Refuse:
			w.result.refused++
		default:
		}
	}
}

func (w *simulation) arrive(now clock.Milli, queues []*admit.Queue, ticket uint64, f *simulatedLeg) {
	q := queues[f.queue]
	if w.completed < w.warmupLegs && w.running >= w.coldLimit {
		w.aboveColdLimit++
	}
	if w.running >= w.slots {
		w.shed++
		w.schedule(now+w.upstreamDelay, func(now clock.Milli) {
			w.apply(now, queues, q.Done(now, ticket, refused(reason.Overload, true, "")))
			f.attempts++
			if f.attempts >= 3 {
				w.result.refused++

				return
			}
			w.schedule(now+w.backoff*clock.Milli(1+w.random.Float64()), func(now clock.Milli) {
				w.apply(now, queues, q.Enqueue(now, f.item))
			})
		})

		return
	}
	w.running++
	w.schedule(now+w.drawServiceTime(), func(now clock.Milli) {
		w.running--
		w.completed++
		cold := w.completed < w.warmupLegs
		w.schedule(now+w.upstreamDelay, func(now clock.Milli) {
			w.apply(now, queues, q.Done(now, ticket, success(leg.Load{Cold: cold, ColdLimit: w.coldLimit, Slots: w.slots})))
			if f.remote {
				now += w.peerDelay
			}
			w.recordAnswer(now, f)
		})
	})
}

func (w *simulation) recordAnswer(now clock.Milli, f *simulatedLeg) {
	if now > f.item.Deadline {
		w.result.late++

		return
	}
	w.result.inTime++
	latency := float64(now - f.arrived)
	if f.item.Urgent {
		w.result.urgent = append(w.result.urgent, latency)
	} else {
		w.result.routine = append(w.result.routine, latency)
	}
}

// arrivals schedules the arrivals of legs at a rate per second for a span; queueOf returns the queue of
// a daemon's legs, and whether another daemon has it.
func (w *simulation) arrivals(rate float64, span clock.Milli, daemons int, urgent float64,
	queues []*admit.Queue, queueOf func(daemon int) (int, bool),
) {
	ticket := uint64(0)
	group := max(1, w.burst)
	for at := clock.Milli(0); at < span; at += clock.Milli(w.random.ExpFloat64() * 1000 / rate * float64(group)) {
		for range group {
			ticket++
			daemon := w.random.IntN(daemons)
			queue, remote := queueOf(daemon)
			f := &simulatedLeg{arrived: at, queue: queue, remote: remote, item: admit.Item{
				Ticket: ticket, Deadline: at + w.deadline, Flow: uint64(daemon), Urgent: w.random.Float64() < urgent,
			}}
			w.legs[ticket] = f
			when := at
			if remote {
				when += w.peerDelay
			}
			w.result.offered++
			w.schedule(when, func(now clock.Milli) { w.apply(now, queues, queues[queue].Enqueue(now, f.item)) })
		}
	}
}

func (w *simulation) run() {
	for len(w.events) > 0 {
		h := heap.Pop(&w.events).(event)
		h.run(h.at)
	}
}

func newSimulation(seed uint64, p *admit.Policy) *simulation {
	return &simulation{
		random: rand.New(rand.NewPCG(seed, 2)), policy: p, slots: 2, coldLimit: 1, warmupLegs: 20,
		peerDelay: 0.5, upstreamDelay: 0.5, deadline: 200, backoff: 5, legs: make(map[uint64]*simulatedLeg),
	}
}

func quantile(list []float64, q float64) float64 {
	if len(list) == 0 {
		return math.NaN()
	}
	slices.Sort(list)

	return list[min(len(list)-1, int(q*float64(len(list))))]
}
