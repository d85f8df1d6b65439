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

// world drives page machines against a store and an upstream that fail, in virtual time.
type world struct {
	random  *rand.Rand
	now     clock.Milli
	queue   timeline
	seq     int
	faults  faults
	entries []ledger.Entry
	rev     int64
	owners  int
	pages   map[int]*machine

	ticket uint64

	// ran counts how often the upstream ran an id, and flying the runs under way.
	ran     map[string]int
	flying  map[string]int
	replies map[uint64]reply
	wrong   []string
}

type machine struct {
	slot int
	page *ledger.Page
}

type reply struct {
	id     string
	result leg.Result
}

// faults are probabilities of one step going wrong.
type faults struct {
	lostAnswer, lostWrite, kill, unknownRun, notRun, storeDown float64
}

type step struct {
	at  clock.Milli
	seq int
	do  func()
}

type timeline []step

func (t timeline) Len() int { return len(t) }
func (t timeline) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].seq < t[j].seq
}
func (t timeline) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timeline) Push(x any)   { *t = append(*t, x.(step)) }
func (t *timeline) Pop() any {
	old := *t
	x := old[len(old)-1]
	*t = old[:len(old)-1]

	return x
}

func newWorld(seed uint64, f faults) *world {
	return &world{
		random: rand.New(rand.NewPCG(seed, 0)), now: 1e6, faults: f, pages: make(map[int]*machine),
		ran: make(map[string]int), flying: make(map[string]int), replies: make(map[uint64]reply),
	}
}

func (w *world) after(wait clock.Milli, do func()) {
	w.at(w.now+wait, do)
}

func (w *world) at(instant clock.Milli, do func()) {
	w.seq++
	heap.Push(&w.queue, step{instant, w.seq, do})
}

func (w *world) chance(p float64) bool { return w.random.Float64() < p }

func (w *world) delay() clock.Milli { return clock.Milli(1 + 8*w.random.Float64()) }

// run lets everything happen that is planned until an instant.
func (w *world) run(until clock.Milli) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		s := heap.Pop(&w.queue).(step)
		w.now = s.at
		s.do()
	}
	w.now = until
}

// machine returns the page machine of a daemon, a new one after a kill.
func (w *world) machine(slot int) *machine {
	if w.pages[slot] == nil {
		w.owners++
		w.pages[slot] = &machine{slot, ledger.New(fmt.Sprintf("owner-%d", w.owners), ledger.Limits{
			Entries: 1000, Interval: 20, Retry: 15,
		})}
	}

	return w.pages[slot]
}

// patience is how long a caller waits for one sending.
const patience clock.Milli = 200

// call sends an id and, after a refusal or a silence, again through another daemon.
func (w *world) call(id string, times int) { w.send(id, times, false) }

func (w *world) send(id string, times int, resend bool) {
	if times == 0 {
		return
	}
	w.ticket++
	ticket := w.ticket
	w.submit(w.random.IntN(3), ledger.Request{
		Ticket: ticket, ID: id, Sum: "sum", Deadline: w.now + patience, Resend: resend,
	})
	w.after(patience+5, func() {
		if r, ok := w.replies[ticket]; !ok || r.result.Refusal != nil {
			w.send(id, times-1, true)
		}
	})
}

// turnPage begins a new page, as a new minute does.
func (w *world) turnPage() {
	w.entries, w.rev, w.pages = nil, 0, make(map[int]*machine)
}

func (w *world) answered() int {
	n := 0
	for _, r := range w.replies {
		if r.result.Refusal == nil {
			n++
		}
	}

	return n
}

// outcomes counts the replies by what they say of the run.
func (w *world) outcomes() string {
	counts := make(map[reason.Execution]int)
	for _, r := range w.replies {
		if r.result.Refusal != nil {
			counts[r.result.Refusal.Run]++
		}
	}

	return fmt.Sprintf("%d ids ran; %d answers; refusals by run: %v", len(w.ran), w.answered(), counts)
}

func (w *world) submit(slot int, r ledger.Request) {
	m := w.machine(slot)
	w.do(m, m.page.Submit(w.now, r))
}

// tell gives a machine an event unless it was killed meanwhile.
func (w *world) tell(m *machine, event func() []ledger.Action) {
	if w.pages[m.slot] == m {
		w.do(m, event())
	}
}

func (w *world) do(m *machine, actions []ledger.Action) {
	for _, a := range actions {
		if w.chance(w.faults.kill) {
			delete(w.pages, m.slot)

			return
		}
		w.act(m, a)
	}
}

func (w *world) act(m *machine, a ledger.Action) {
	switch a.Kind {
	case ledger.Load:
		w.load(m)
	case ledger.Write:
		w.write(m, a)
	case ledger.Run:
		w.start(m, a.ID)
	case ledger.Reply:
		w.answer(a)
	case ledger.Wake:
		w.at(a.At, func() { w.tell(m, func() []ledger.Action { return m.page.Due(w.now) }) })
	}
}

func (w *world) load(m *machine) {
	down := w.chance(w.faults.storeDown)
	w.after(w.delay(), func() {
		entries, rev := append([]ledger.Entry(nil), w.entries...), w.rev
		w.after(w.delay(), func() {
			w.tell(m, func() []ledger.Action {
				if down {
					return m.page.LoadFailed(w.now)
				}

				return m.page.Loaded(w.now, entries, rev)
			})
		})
	})
}

// write takes effect after a while. Its answer may be lost, and then the machine hears of a failure
// possibly before the write takes effect.
func (w *world) write(m *machine, a ledger.Action) {
	travel := w.delay()
	lost := w.chance(w.faults.lostAnswer)
	if lost {
		travel *= 10
		w.after(w.delay(), func() {
			w.tell(m, func() []ledger.Action { return m.page.WriteFailed(w.now, false) })
		})
	}
	if w.chance(w.faults.lostWrite) {
		if !lost {
			w.after(w.delay(), func() {
				w.tell(m, func() []ledger.Action { return m.page.WriteFailed(w.now, false) })
			})
		}

		return
	}
	w.after(travel, func() {
		done := a.Expect == w.rev
		if done {
			w.rev++
			w.entries = append([]ledger.Entry(nil), a.Entries...)
		}
		rev := w.rev
		if lost {
			return
		}
		w.after(w.delay(), func() {
			w.tell(m, func() []ledger.Action {
				if done {
					return m.page.Written(w.now, rev)
				}

				return m.page.WriteFailed(w.now, true)
			})
		})
	})
}

func (w *world) start(m *machine, id string) {
	refused := w.chance(w.faults.notRun)
	unknown := w.chance(w.faults.unknownRun)
	w.flying[id]++
	w.after(w.delay(), func() {
		w.flying[id]--
		result := leg.Result{Answer: leg.Answer{Body: []byte("outcome of " + id)}}
		if refused {
			result = leg.Refused(reason.Overload, reason.NotExecuted, "")
		} else {
			w.ran[id]++
		}
		if unknown {
			result = leg.Refused(reason.Connection, reason.ExecutionUnknown, "")
		}
		w.after(w.delay(), func() {
			w.tell(m, func() []ledger.Action { return m.page.Ran(w.now, id, result) })
		})
	})
}

func (w *world) answer(a ledger.Action) {
	if _, twice := w.replies[a.Ticket]; twice {
		w.wrong = append(w.wrong, fmt.Sprintf("ticket %d answered twice", a.Ticket))
	}
	w.replies[a.Ticket] = reply{a.ID, a.Result}
	refusal := a.Result.Refusal
	if refusal == nil && w.ran[a.ID] == 0 {
		w.wrong = append(w.wrong, a.ID+" answered but never ran")
	}
	if refusal != nil && refusal.Run == reason.NotExecuted && refusal.Reason != reason.Reused &&
		(w.ran[a.ID] > 0 || w.flying[a.ID] > 0) {
		w.wrong = append(w.wrong, a.ID+" said not run, but it ran or is running: "+refusal.Error())
	}
}
