package upstream

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"jacinthferry/core/clock"
	"jacinthferry/core/leg"
	"jacinthferry/core/reason"
	"jacinthferry/core/route"
	"jacinthferry/io/timer"
	"jacinthferry/io/upstream"
	"jacinthferry/standin/records"
)

// snapshot is a snapshot that the stand-in holds, with the records of its shards.
type snapshot struct {
	held   route.Held
	shards map[int][]records.Record
}

// Upstream is the stand-in.
type Upstream struct {
	options Options
	all     []records.Record
	now     func() clock.Milli

	mu        sync.Mutex
	random    *rand.Rand
	snapshots map[string]snapshot
	faults    Faults
	faultsAt  clock.Milli
	starts    int
	running   int
	warmed    int
	told      clock.Milli
	draining  bool
	left      clock.Milli
	ran       map[string]bool
	last      leg.Answer
	lagging   leg.Load
	laggingAt clock.Milli
	counts    Counts

	connections connections
}

// New returns a stand-in that searches the records of its service.
func New(o Options, all []records.Record) *Upstream {
	u := &Upstream{
		options: o, now: timer.NewClock(), random: rand.New(rand.NewPCG(o.Seed, 1)), ran: make(map[string]bool),
	}
	for _, r := range all {
		if r.Service == o.Service {
			u.all = append(u.all, r)
		}
	}
	u.Hold(route.Held{Name: o.Snapshot, Order: o.Order, Total: o.Total, Shards: o.Shards})

	return u
}

// Upstream returns the calls that the stand-in serves.
func (u *Upstream) Upstream() upstream.Upstream {
	return upstream.Upstream{Run: u.run, Report: u.report}
}

// Name returns the stand-in's name.
func (u *Upstream) Name() string { return u.options.Name }

// Counts returns what was counted so far.
func (u *Upstream) Counts() Counts {
	u.mu.Lock()
	defer u.mu.Unlock()
	c := u.counts
	c.Open, c.Crowded, c.Silenced = u.connections.counts()

	return c
}

// Hold replaces the snapshots that the stand-in holds.
func (u *Upstream) Hold(list ...route.Held) {
	holding := make(map[string]snapshot, len(list))
	for _, h := range list {
		s := snapshot{held: h, shards: make(map[int][]records.Record, len(h.Shards))}
		for _, shard := range h.Shards {
			s.shards[shard] = nil
		}
		for _, r := range u.all {
			shard := records.Shard(r.ID, h.Total)
			if _, here := s.shards[shard]; here {
				s.shards[shard] = append(s.shards[shard], r)
			}
		}
		holding[h.Name] = s
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.snapshots = holding
}

func (u *Upstream) report() upstream.Report {
	u.mu.Lock()
	defer u.mu.Unlock()
	r := upstream.Report{Version: u.options.Version, Incarnation: u.incarnation(), Load: u.tell()}
	for _, s := range u.snapshots {
		r.Snapshots = append(r.Snapshots, s.held)
	}
	slices.SortFunc(r.Snapshots, func(a, b route.Held) int { return cmp.Compare(a.Order, b.Order) })

	return r
}

func (u *Upstream) incarnation() string {
	return fmt.Sprintf("%s.%d", u.options.Incarnation, u.starts)
}

func (u *Upstream) cold() bool { return u.warmed < u.options.Warm }

// tell returns the load that the stand-in reports, which can lag or lie.
func (u *Upstream) tell() leg.Load {
	if u.faults.Load != nil {
		return *u.faults.Load
	}
	if now := u.now(); now-u.laggingAt >= u.faults.Lag {
		u.laggingAt = now
		u.lagging = leg.Load{
			Running: u.running, Slots: u.options.Slots, Cold: u.cold(), Bears: u.options.Bears, Draining: u.draining,
		}
	}
	if u.lagging.Cold && u.told == 0 {
		u.told = u.now()
	}

	return u.lagging
}

func (u *Upstream) run(ctx context.Context, l leg.Leg) leg.Result {
	w, refusal := u.enter(l)
	if refusal != nil {
		return leg.Result{Refusal: refusal}
	}
	early := u.wait(ctx, l, w)
	u.mu.Lock()
	defer u.mu.Unlock()
	if w.start != u.starts {
		return leg.Refused(reason.Failed, reason.ExecutionUnknown, "crashed")
	}
	u.running--
	if early != nil {
		if early.Reason == reason.Deadline {
			u.counts.Expired++
		} else {
			u.counts.Cancelled++
		}

		return leg.Result{Refusal: early}
	}
	u.counts.Legs++
	u.warmed++

	return leg.Result{Answer: u.answer(l, w)}
}

// work is what a leg goes through.
type work struct {
	// start is the count of starts when the leg began.
	start   int
	span    clock.Milli
	late    bool
	crossed bool
}

// enter counts the leg and takes a slot for it.
func (u *Upstream) enter(l leg.Leg) (work, *reason.Refusal) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.now()
	if u.left != 0 && now > u.left+u.options.Grace {
		u.counts.After++
	}
	if now >= l.Deadline {
		u.counts.Expired++

		return work{}, reason.NewRefusal(reason.Deadline, reason.NotExecuted, "came too late")
	}
	if _, here := u.snapshots[l.Snapshot].shards[l.Shard]; !here && !l.Submit {
		return work{}, reason.NewRefusal(reason.Snapshot, reason.NotExecuted, "not held here")
	}
	if u.cold() && u.running >= u.options.Bears {
		u.over()
	}
	if u.running >= u.options.Slots {
		u.counts.Shed++

		return work{}, reason.NewRefusal(reason.Overload, reason.NotExecuted, "no free slot")
	}
	if u.faults.Crash != "" && strings.Contains(asked(l), u.faults.Crash) {
		u.crash(u.faults.Down)

		return work{}, reason.NewRefusal(reason.Failed, reason.ExecutionUnknown, "crashed")
	}
	u.running++
	if l.Submit {
		u.submit(l)
	}

	return u.plan(l, now)
}

// notice is the time that the first word of a cold start takes to reach the daemons.
const notice = 50 * clock.Millisecond

// over counts a leg above the cold bound.
func (u *Upstream) over() {
	u.counts.Over++
	if u.told == 0 || u.now() < u.told+notice {
		u.counts.Unwarned++
	}
}

// submit counts a submit from the moment it starts to run.
func (u *Upstream) submit(l leg.Leg) {
	u.counts.Submits++
	if u.ran[l.Request] {
		u.counts.Doubled++
	}
	u.ran[l.Request] = true
}

// asked returns what a leg asks for: the text of a query or the body of a submit.
func asked(l leg.Leg) string {
	if l.Submit {
		return string(l.Body)
	}

	return l.Text
}

// plan decides what goes wrong with a leg that has a slot.
func (u *Upstream) plan(l leg.Leg, now clock.Milli) (work, *reason.Refusal) {
	w := work{start: u.starts, span: u.options.Work}
	if u.chance(u.faults.Straggle) {
		u.counts.Straggled++
		w.span *= clock.Milli(u.faults.Factor)
	}
	for _, r := range u.faults.Rules {
		if !u.matches(r, l, now) {
			continue
		}
		if u.chance(r.Fail) {
			u.counts.Failed++
			u.running--

			return w, reason.NewRefusal(reason.Failed, reason.Executed, "failed on command")
		}
		if r.Factor > 0 {
			u.counts.Slowed++
			w.span *= clock.Milli(r.Factor)
		}
	}
	w.late, w.crossed = u.chance(u.faults.Late), u.chance(u.faults.Crossed)
	if w.late {
		u.counts.Late++
		w.span = max(w.span, l.Deadline-now+lateness)
	}

	return w, nil
}

// lateness is how long after the deadline a late answer comes.
const lateness = 20 * clock.Millisecond

func (u *Upstream) chance(share float64) bool { return share > 0 && u.random.Float64() < share }

func (u *Upstream) matches(r Rule, l leg.Leg, now clock.Milli) bool {
	return (r.Version == "" || r.Version == u.options.Version) &&
		strings.HasPrefix(asked(l), r.Route) && u.running >= r.Running && now-u.faultsAt >= r.After
}

// wait lets the leg's time pass. It returns why the leg ended early. Late legs and submits run to
// their end.
func (u *Upstream) wait(ctx context.Context, l leg.Leg, w work) *reason.Refusal {
	done := time.After(w.span.Duration())
	if w.late || l.Submit {
		<-done

		return nil
	}
	select {
	case <-done:
		return nil
	case <-time.After((l.Deadline - u.now()).Duration()):
		return reason.NewRefusal(reason.Deadline, reason.Executed, "deadline passed while running")
	case <-ctx.Done():
		return reason.NewRefusal(reason.Cancelled, reason.Executed, "cancelled while running")
	}
}

// answer returns the answer to a leg, or an earlier one in its place.
func (u *Upstream) answer(l leg.Leg, w work) leg.Answer {
	if w.crossed && u.last.Request != "" && u.last.Request != l.Request {
		u.counts.Crossed++

		return u.last
	}
	a := leg.Answer{
		Request: l.Request, Shard: l.Shard, Snapshot: l.Snapshot, Version: u.options.Version,
		Incarnation: u.incarnation(), Load: u.tell(),
	}
	if l.Submit {
		a.Body = []byte("done " + l.Request)

		return a
	}
	a.Documents = records.Search(u.snapshots[l.Snapshot].shards[l.Shard], u.options.Service, l.Text, l.Top)
	u.last = a

	return a
}
