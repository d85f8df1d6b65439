package ledger_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"jacinthferry/core/clock"
	"jacinthferry/core/ledger"
	"jacinthferry/core/leg"
	"jacinthferry/core/reason"
)

// simulation runs page state machines against a store and an upstream that fail, in virtual time.
type simulation struct {
	random     *rand.Rand
	now        clock.Milli
	queue      eventQueue
	seq        int
	faults     faults
	entries    []ledger.Entry
	rev        int64
	ownerCount int
	daemons    map[int]*daemon

	ticket uint64

	// runs counts the completed runs of each id at the upstream, and inFlight those in progress.
	runs       map[string]int
	inFlight   map[string]int
	replies    map[uint64]reply
	violations []string
}

type daemon struct {
	index int
	page  *ledger.Page
}

type reply struct {
	id     string
	result leg.Result
}

// faults are the probabilities that a single step fails.
type faults struct {
	lostResponse, lostWrite, kill, unknownOutcome, refuse, storeDown float64
}

type event struct {
	at  clock.Milli
	seq int
	do  func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]

	return x
}

func newSimulation(seed uint64, f faults) *simulation {
	return &simulation{
		random: rand.New(rand.NewPCG(seed, 0)), now: 1e6, faults: f, daemons: make(map[int]*daemon),
		runs: make(map[string]int), inFlight: make(map[string]int), replies: make(map[uint64]reply),
	}
}

func (sim *simulation) scheduleAfter(delay clock.Milli, do func()) {
	sim.scheduleAt(sim.now+delay, do)
}

func (sim *simulation) scheduleAt(instant clock.Milli, do func()) {
	sim.seq++
	heap.Push(&sim.queue, event{instant, sim.seq, do})
}

func (sim *simulation) chance(p float64) bool { return sim.random.Float64() < p }

func (sim *simulation) delay() clock.Milli { return clock.Milli(1 + 8*sim.random.Float64()) }

// runUntil processes all events that are scheduled up to the given time.
func (sim *simulation) runUntil(until clock.Milli) {
	for len(sim.queue) > 0 && sim.queue[0].at <= until {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		e.do()
	}
	sim.now = until
}

// daemon returns the daemon with the given index, a new one after a kill.
func (sim *simulation) daemon(index int) *daemon {
	if sim.daemons[index] == nil {
		sim.ownerCount++
		sim.daemons[index] = &daemon{index, ledger.NewPage(fmt.Sprintf("owner-%d", sim.ownerCount), ledger.Config{
			MaxEntries: 1000, MinWriteInterval: 20, RetryInterval: 15,
		})}
	}

	return sim.daemons[index]
}

// callerTimeout is how long a caller waits for one attempt.
const callerTimeout clock.Milli = 200

// call sends an id and, after a refusal or a timeout, sends it again through a random daemon.
func (sim *simulation) call(id string, attempts int) { sim.send(id, attempts, false) }

func (sim *simulation) send(id string, attempts int, resend bool) {
	if attempts == 0 {
		return
	}
	sim.ticket++
	ticket := sim.ticket
	sim.submit(sim.random.IntN(3), ledger.Request{
		WaiterID: ticket, ID: id, RequestHash: "sum", Deadline: sim.now + callerTimeout, Resend: resend,
	})
	sim.scheduleAfter(callerTimeout+5, func() {
		if r, ok := sim.replies[ticket]; !ok || r.result.Refusal != nil {
			sim.send(id, attempts-1, true)
		}
	})
}

// startNewPage replaces the page by an empty one, as happens every minute.
func (sim *simulation) startNewPage() {
	sim.entries, sim.rev, sim.daemons = nil, 0, make(map[int]*daemon)
}

func (sim *simulation) outcomeCount() int {
	n := 0
	for _, r := range sim.replies {
		if r.result.Refusal == nil {
			n++
		}
	}

	return n
}

// summary describes the replies by the execution that they report.
func (sim *simulation) summary() string {
	counts := make(map[reason.Execution]int)
	for _, r := range sim.replies {
		if r.result.Refusal != nil {
			counts[r.result.Refusal.Run]++
		}
	}

	return fmt.Sprintf("%d ids ran; %d outcomes; refusals by execution: %v", len(sim.runs), sim.outcomeCount(), counts)
}

func (sim *simulation) submit(index int, r ledger.Request) {
	d := sim.daemon(index)
	sim.execute(d, d.page.HandleSubmit(sim.now, r))
}

// deliver passes an event to a daemon unless it was killed in the meantime.
func (sim *simulation) deliver(d *daemon, handle func() []ledger.Action) {
	if sim.daemons[d.index] == d {
		sim.execute(d, handle())
	}
}

func (sim *simulation) execute(d *daemon, actions []ledger.Action) {
	for _, a := range actions {
		if sim.chance(sim.faults.kill) {
			delete(sim.daemons, d.index)

			return
		}
		sim.executeAction(d, a)
	}
}

func (sim *simulation) executeAction(d *daemon, a ledger.Action) {
	switch a.Kind {
	case ledger.Load:
		sim.load(d)
	case ledger.Write:
		sim.write(d, a)
	case ledger.Run:
		sim.start(d, a.ID)
	case ledger.Reply:
		sim.checkReply(a)
	case ledger.SetTimer:
		sim.scheduleAt(a.At, func() { sim.deliver(d, func() []ledger.Action { return d.page.HandleTimeout(sim.now) }) })
	}
}

func (sim *simulation) load(d *daemon) {
	down := sim.chance(sim.faults.storeDown)
	sim.scheduleAfter(sim.delay(), func() {
		entries, rev := append([]ledger.Entry(nil), sim.entries...), sim.rev
		sim.scheduleAfter(sim.delay(), func() {
			sim.deliver(d, func() []ledger.Action {
				if down {
					return d.page.HandleLoadFailure(sim.now)
				}

				return d.page.HandleLoaded(sim.now, entries, rev)
			})
		})
	})
}

// write takes effect after a delay. If its response is lost, the daemon learns of a failure, possibly
// before the write takes effect.
func (sim *simulation) write(d *daemon, a ledger.Action) {
	latency := sim.delay()
	lost := sim.chance(sim.faults.lostResponse)
	if lost {
		latency *= 10
		sim.scheduleAfter(sim.delay(), func() {
			sim.deliver(d, func() []ledger.Action { return d.page.HandleWriteFailure(sim.now, false) })
		})
	}
	if sim.chance(sim.faults.lostWrite) {
		if !lost {
			sim.scheduleAfter(sim.delay(), func() {
				sim.deliver(d, func() []ledger.Action { return d.page.HandleWriteFailure(sim.now, false) })
			})
		}

		return
	}
	sim.scheduleAfter(latency, func() {
		done := a.ExpectedRevision == sim.rev
		if done {
			sim.rev++
			sim.entries = append([]ledger.Entry(nil), a.Entries...)
		}
		rev := sim.rev
		if lost {
			return
		}
		sim.scheduleAfter(sim.delay(), func() {
			sim.deliver(d, func() []ledger.Action {
				if done {
					return d.page.HandleWritten(sim.now, rev)
				}

				return d.page.HandleWriteFailure(sim.now, true)
			})
		})
	})
}

func (sim *simulation) start(d *daemon, id string) {
	refused := sim.chance(sim.faults.refuse)
	unknown := sim.chance(sim.faults.unknownOutcome)
	sim.inFlight[id]++
	sim.scheduleAfter(sim.delay(), func() {
		sim.inFlight[id]--
		result := leg.Result{Answer: leg.Answer{Body: []byte("outcome of " + id)}}
		if refused {
			result = leg.Refused(reason.Overload, reason.NotExecuted, "")
		} else {
			sim.runs[id]++
		}
		if unknown {
			result = leg.Refused(reason.Connection, reason.ExecutionUnknown, "")
		}
		sim.scheduleAfter(sim.delay(), func() {
			sim.deliver(d, func() []ledger.Action { return d.page.HandleResult(sim.now, id, result) })
		})
	})
}

func (sim *simulation) checkReply(a ledger.Action) {
	if _, replied := sim.replies[a.WaiterID]; replied {
		sim.violations = append(sim.violations, fmt.Sprintf("ticket %d got two replies", a.WaiterID))
	}
	sim.replies[a.WaiterID] = reply{a.ID, a.Result}
	refusal := a.Result.Refusal
	if refusal == nil && sim.runs[a.ID] == 0 {
		sim.violations = append(sim.violations, a.ID+" got an outcome but never ran")
	}
	if refusal != nil && refusal.Run == reason.NotExecuted && refusal.Reason != reason.Reused &&
		(sim.runs[a.ID] > 0 || sim.inFlight[a.ID] > 0) {
		sim.violations = append(sim.violations, a.ID+" was reported as not run, but it ran or is running: "+refusal.Error())
	}
}
