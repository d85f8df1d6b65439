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

// snapshot is a snapshot held by the stand-in, with its records by shard.
type snapshot struct {
	held   route.HeldSnapshot
	shards map[int][]records.Record
}

// Upstream is a stand-in for an upstream. Listen serves it.
type Upstream struct {
	options        Options
	serviceRecords []records.Record
	now            func() clock.Milli

	mu            sync.Mutex
	random        *rand.Rand
	snapshots     map[string]snapshot
	faults        Faults
	faultsSetAt   clock.Milli
	starts        int
	running       int
	legsSinceCold int
	coldReported  clock.Milli
	draining      bool
	drainStart    clock.Milli
	executed      map[string]bool
	lastAnswer    leg.Answer
	lastLoad      leg.Load
	lastLoadAt    clock.Milli
	counts        Counts

	connections connectionSet
}

// New returns a stand-in that searches those of the given records that belong to its service.
func New(o Options, all []records.Record) *Upstream {
	u := &Upstream{
		options: o, now: timer.NewClock(), random: rand.New(rand.NewPCG(o.Seed, 1)), executed: make(map[string]bool),
	}
	for _, r := range all {
		if r.Service == o.Service {
			u.serviceRecords = append(u.serviceRecords, r)
		}
	}
	u.SetSnapshots(route.HeldSnapshot{Name: o.Snapshot, Order: o.Order, Total: o.Total, Shards: o.Shards})

	return u
}

// Operations returns the operations of the stand-in for upstream.Handler.
func (u *Upstream) Operations() upstream.Operations {
	return upstream.Operations{Run: u.run, Report: u.report}
}

// Name returns the name from the options.
func (u *Upstream) Name() string { return u.options.Name }

// Counts returns the counts since New.
func (u *Upstream) Counts() Counts {
	u.mu.Lock()
	defer u.mu.Unlock()
	c := u.counts
	c.OpenConnections, c.ExcessConnections, c.BlackholedConnections = u.connections.counts()

	return c
}

// SetSnapshots replaces the snapshots held by the stand-in.
func (u *Upstream) SetSnapshots(list ...route.HeldSnapshot) {
	byName := make(map[string]snapshot, len(list))
	for _, h := range list {
		s := snapshot{held: h, shards: make(map[int][]records.Record, len(h.Shards))}
		for _, shard := range h.Shards {
			s.shards[shard] = nil
		}
		for _, r := range u.serviceRecords {
			shard := records.ShardOf(r.ID, h.Total)
			if _, here := s.shards[shard]; here {
				s.shards[shard] = append(s.shards[shard], r)
			}
		}
		byName[h.Name] = s
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.snapshots = byName
}

func (u *Upstream) report() upstream.Report {
	u.mu.Lock()
	defer u.mu.Unlock()
	r := upstream.Report{Version: u.options.Version, Incarnation: u.incarnation(), Load: u.reportedLoad()}
	for _, s := range u.snapshots {
		r.Snapshots = append(r.Snapshots, s.held)
	}
	slices.SortFunc(r.Snapshots, func(a, b route.HeldSnapshot) int { return cmp.Compare(a.Order, b.Order) })

	return r
}

func (u *Upstream) incarnation() string {
	return fmt.Sprintf("%s.%d", u.options.Incarnation, u.starts)
}

func (u *Upstream) cold() bool { return u.legsSinceCold < u.options.WarmupLegs }

// reportedLoad returns the load to report, which faults can make outdated or false.
func (u *Upstream) reportedLoad() leg.Load {
	if u.faults.FalseLoad != nil {
		return *u.faults.FalseLoad
	}
	if now := u.now(); now-u.lastLoadAt >= u.faults.LoadLag {
		u.lastLoadAt = now
		u.lastLoad = leg.Load{
			Running: u.running, Slots: u.options.Slots, Cold: u.cold(), ColdLimit: u.options.ColdLimit, Draining: u.draining,
		}
	}
	if u.lastLoad.Cold && u.coldReported == 0 {
		u.coldReported = u.now()
	}

	return u.lastLoad
}

func (u *Upstream) run(ctx context.Context, l leg.Leg) leg.Result {
	p, refusal := u.admit(l)
	if refusal != nil {
		return leg.Result{Refusal: refusal}
	}
	earlyEnd := u.simulateWork(ctx, l, p)
	u.mu.Lock()
	defer u.mu.Unlock()
	if p.start != u.starts {
		return leg.Refused(reason.Failed, reason.ExecutionUnknown, "crashed")
	}
	u.running--
	if earlyEnd != nil {
		if earlyEnd.Reason == reason.Deadline {
			u.counts.Expired++
		} else {
			u.counts.Cancelled++
		}

		return leg.Result{Refusal: earlyEnd}
	}
	u.counts.Legs++
	u.legsSinceCold++

	return leg.Result{Answer: u.answer(l, p)}
}

// legPlan says how long a leg takes and which faults are injected into it.
type legPlan struct {
	// start is the value of Upstream.starts when the leg was admitted.
	start      int
	duration   clock.Milli
	late       bool
	mismatched bool
}

// admit checks the leg, takes a slot for it and plans its faults.
func (u *Upstream) admit(l leg.Leg) (legPlan, *reason.Refusal) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.now()
	if u.drainStart != 0 && now > u.drainStart+u.options.DrainGrace {
		u.counts.AfterDrain++
	}
	if now >= l.Deadline {
		u.counts.Expired++

		return legPlan{}, reason.NewRefusal(reason.Deadline, reason.NotExecuted, "deadline passed before the leg arrived")
	}
	if _, here := u.snapshots[l.Snapshot].shards[l.Shard]; !here && !l.Submit {
		return legPlan{}, reason.NewRefusal(reason.Snapshot, reason.NotExecuted, "upstream does not hold the shard")
	}
	if u.cold() && u.running >= u.options.ColdLimit {
		u.countColdExcess()
	}
	if u.running >= u.options.Slots {
		u.counts.Shed++

		return legPlan{}, reason.NewRefusal(reason.Overload, reason.NotExecuted, "no free slot")
	}
	if u.faults.CrashText != "" && strings.Contains(requestText(l), u.faults.CrashText) {
		u.crash(u.faults.CrashDowntime)

		return legPlan{}, reason.NewRefusal(reason.Failed, reason.ExecutionUnknown, "crashed")
	}
	u.running++
	if l.Submit {
		u.countSubmit(l)
	}

	return u.planLeg(l, now)
}

// coldReportDelay is the time that the first report of a cold start takes to reach the daemons.
const coldReportDelay = 50 * clock.Millisecond

// countColdExcess counts a leg above the concurrency limit of a cold upstream.
func (u *Upstream) countColdExcess() {
	u.counts.AboveColdLimit++
	if u.coldReported == 0 || u.now() < u.coldReported+coldReportDelay {
		u.counts.BeforeColdReport++
	}
}

// countSubmit counts a submit when it starts to run, and whether its request ran before.
func (u *Upstream) countSubmit(l leg.Leg) {
	u.counts.Submits++
	if u.executed[l.Request] {
		u.counts.DuplicateSubmits++
	}
	u.executed[l.Request] = true
}

// requestText returns the text of a query or the body of a submit.
func requestText(l leg.Leg) string {
	if l.Submit {
		return string(l.Body)
	}

	return l.Text
}

// planLeg chooses the faults of a leg that has a slot. It releases the slot of a leg that fails.
func (u *Upstream) planLeg(l leg.Leg, now clock.Milli) (legPlan, *reason.Refusal) {
	p := legPlan{start: u.starts, duration: u.options.ServiceTime}
	if u.chance(u.faults.StragglerShare) {
		u.counts.Stragglers++
		p.duration *= clock.Milli(u.faults.StragglerFactor)
	}
	for _, r := range u.faults.Rules {
		if !u.matches(r, l, now) {
			continue
		}
		if u.chance(r.FailureShare) {
			u.counts.Failed++
			u.running--

			return p, reason.NewRefusal(reason.Failed, reason.Executed, "injected failure")
		}
		if r.SlowdownFactor > 0 {
			u.counts.Slowed++
			p.duration *= clock.Milli(r.SlowdownFactor)
		}
	}
	p.late, p.mismatched = u.chance(u.faults.LateShare), u.chance(u.faults.MismatchedShare)
	if p.late {
		u.counts.Late++
		p.duration = max(p.duration, l.Deadline-now+lateAnswerDelay)
	}

	return p, nil
}

// lateAnswerDelay is the time from the deadline to a late answer.
const lateAnswerDelay = 20 * clock.Millisecond

func (u *Upstream) chance(share float64) bool { return share > 0 && u.random.Float64() < share }

func (u *Upstream) matches(r Rule, l leg.Leg, now clock.Milli) bool {
	return (r.Version == "" || r.Version == u.options.Version) &&
		strings.HasPrefix(requestText(l), r.TextPrefix) && u.running >= r.MinRunning && now-u.faultsSetAt >= r.MinAge
}

// simulateWork waits for the duration of the leg. It returns the reason if the leg ends early. Late legs and
// submits always run to their end.
func (u *Upstream) simulateWork(ctx context.Context, l leg.Leg, p legPlan) *reason.Refusal {
	done := time.After(p.duration.Duration())
	if p.late || l.Submit {
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

// answer returns the answer to a leg, or an earlier answer if the leg is to get a mismatched one.
func (u *Upstream) answer(l leg.Leg, p legPlan) leg.Answer {
	if p.mismatched && u.lastAnswer.Request != "" && u.lastAnswer.Request != l.Request {
		u.counts.Mismatched++

		return u.lastAnswer
	}
	a := leg.Answer{
		Request: l.Request, Shard: l.Shard, Snapshot: l.Snapshot, Version: u.options.Version,
		Incarnation: u.incarnation(), Load: u.reportedLoad(),
	}
	if l.Submit {
		a.Body = []byte("done " + l.Request)

		return a
	}
	a.Documents = records.Search(u.snapshots[l.Snapshot].shards[l.Shard], u.options.Service, l.Text, l.Top)
	u.lastAnswer = a

	return a
}
