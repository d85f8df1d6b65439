package home_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"jacinthferry/core/clock"
	"jacinthferry/core/home"

	"pgregory.net/rapid"
)

// daemons is the number of daemons in the model, which has one upstream. A daemon with a lower number
// comes first in the order of homes.
const daemons = 3

// limits are the upstream's concurrency limits: bears applies while it is cold, slots while it is warm.
type limits struct{ bears, slots int }

var limitCases = []limits{{1, 2}, {2, 4}, {3, 4}}

var rules = home.Config{MembershipLag: 40, HandoverGrace: 10, MaxLegDuration: 30, OverrunMargin: 10}

// process is one run of a daemon.
type process struct {
	name        int
	ownership   *home.Ownership
	confirmedAt clock.Milli
	view        [daemons]bool
	paused      bool
	// ends are the times at which its legs are known to have ended.
	ends []clock.Milli
}

type envelope struct {
	from, to int
	message  home.Message
}

// running is a leg at the upstream.
type runningLeg struct {
	process *process
	until   clock.Milli
}

// model simulates the environment of the ownerships: a list of members that is read with a lag, a network
// that loses, delays and reorders messages, and processes that are paused, killed and replaced.
type model struct {
	limits
	now       clock.Milli
	bypass    bool
	live      [daemons]*process
	listed    [daemons]clock.Milli
	network   []envelope
	legs      []runningLeg
	sent      int
	held      int
	handovers int
	fault     string
}

func newModel(b limits, bypass bool) *model {
	m := &model{limits: b, now: 1000, bypass: bypass}
	for i := range m.listed {
		m.listed[i] = -rules.MembershipLag
	}

	return m
}

func (m *model) start(i int) {
	m.live[i] = &process{name: i, ownership: home.New(&rules, "u"), confirmedAt: -rules.MembershipLag}
}

func (m *model) send(from int, sends ...home.Envelope) {
	for _, s := range sends {
		m.network = append(m.network, envelope{from, int(s.To[0] - '0'), s.Message})
	}
}

func (p *process) candidates() []string {
	var names []string
	for i, in := range p.view {
		if in && i != p.name {
			names = append(names, fmt.Sprint(i))
		}
	}

	return names
}

// refresh renews the process's seat and reads the list of members as it was before the given lag.
func (m *model) refresh(p *process, lag clock.Milli) {
	m.listed[p.name] = m.now
	p.confirmedAt = m.now - lag
	first := -1
	for i := range p.view {
		p.view[i] = m.listed[i] > m.now-lag-rules.MembershipLag
		if p.view[i] && first < 0 {
			first = i
		}
	}
	m.check(p)
	if first == p.name {
		m.send(p.name, p.ownership.Claim(m.now, p.candidates())...)
	} else {
		p.ownership.Release(m.now)
	}
}

func (m *model) check(p *process) {
	kept := p.ends[:0]
	for _, at := range p.ends {
		if at > m.now {
			kept = append(kept, at)
		}
	}
	p.ends = kept
	was := p.ownership.Held()
	m.send(p.name, p.ownership.Advance(m.now, p.confirmedAt, p.candidates)...)
	if !was && p.ownership.Held() && float64(m.now)-float64(p.ownership.Epoch()) < float64(rules.SafeDelay()) {
		m.handovers++
	}
	if len(p.ends) == 0 {
		if s, ok := p.ownership.HandleLegsEnded(); ok {
			m.send(p.name, s)
		}
	}
	if p.ownership.Held() {
		m.held++
	}
}

func (m *model) deliver(i int) {
	e := m.network[i]
	m.network = append(m.network[:i], m.network[i+1:]...)
	p := m.live[e.to]
	if p == nil || p.paused {
		return
	}
	m.check(p)
	if e.message.Kind == home.Claim {
		m.send(p.name, p.ownership.HandleClaim(m.now, fmt.Sprint(e.from), e.message.Epoch, e.from > p.name, len(p.ends)))
	} else {
		p.ownership.HandleReply(m.now, fmt.Sprint(e.from), e.message)
	}
	m.check(p)
}

func (m *model) dispatch(p *process) {
	m.check(p)
	allowed := p.ownership.MaxLegs(m.bears, m.slots)
	if m.bypass && p.ownership.Assigned() {
		allowed = m.slots
	}
	if len(p.ends) >= allowed {
		return
	}
	p.ends = append(p.ends, m.now+rules.MaxLegDuration+rules.OverrunMargin)
	m.legs = append(m.legs, runningLeg{p, m.now + rules.MaxLegDuration + rules.OverrunMargin})
	m.sent++
	m.checkLimits()
}

// checkLimits records a fault when the legs of two processes together exceed the limit of a cold
// upstream, or when there are more legs than slots.
func (m *model) checkLimits() {
	m.expire()
	several := false
	for _, l := range m.legs {
		several = several || l.process != m.legs[0].process
	}
	if len(m.legs) > m.slots || (several && len(m.legs) > m.bears) {
		m.fault = fmt.Sprintf("%d legs at %v, several homes: %v", len(m.legs), m.now, several)
	}
}

// expire removes the legs whose deadline has passed.
func (m *model) expire() {
	kept := m.legs[:0]
	for _, l := range m.legs {
		if l.until > m.now {
			kept = append(kept, l)
		}
	}
	m.legs = kept
}

// step performs one action; choose returns a number below n.
func (m *model) step(choose func(n int) int) {
	p := m.live[choose(daemons)]
	name := choose(daemons)
	m.now += clock.Milli(choose(4))
	m.expire()
	switch action := choose(24); {
	case action < 8 && p != nil && !p.paused:
		m.refresh(p, clock.Milli(choose(15)))
	case action < 14 && p != nil && !p.paused:
		m.dispatch(p)
	case action < 19 && len(m.network) > 0:
		m.deliver(choose(len(m.network)))
	case action == 19 && len(m.network) > 0:
		m.network = m.network[1:]
	case action == 20 && len(m.legs) > 0:
		m.finish(choose(len(m.legs)))
	case action == 21 && p != nil:
		p.paused = !p.paused
	case action == 22 && choose(4) == 0:
		m.now += clock.Milli(choose(int(rules.SafeDelay())))
	case action == 23 && m.live[name] == nil:
		m.start(name)
	case action == 23 && choose(4) == 0:
		m.live[name] = nil
	}
}

// finish ends a leg early; its sender learns of it unless it is paused.
func (m *model) finish(i int) {
	l := m.legs[i]
	m.legs = append(m.legs[:i], m.legs[i+1:]...)
	if len(l.process.ends) > 0 && !l.process.paused {
		l.process.ends = l.process.ends[1:]
	}
}

// TestNeverAboveCold checks that two homes together never exceed the limit of a cold upstream.
func TestNeverAboveCold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.SampledFrom(limitCases).Draw(t, "bound"), false)
		choose := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			m.step(choose)
			if m.fault != "" {
				t.Fatal(m.fault)
			}
		}
	})
}

// run runs one seeded schedule.
func run(b limits, bypass bool, seed uint64) *model {
	random := rand.New(rand.NewPCG(seed, 1))
	m := newModel(b, bypass)
	for range 2000 {
		m.step(random.IntN)
		if m.fault != "" {
			break
		}
	}

	return m
}

// TestSchedules runs long schedules: with the protocol none exceeds the limits, and without it some
// do, which shows that the schedules provoke the failure.
func TestSchedules(t *testing.T) {
	const seeds = 200
	for _, b := range limitCases {
		sent, held, handovers, broken := 0, 0, 0, 0
		for seed := range uint64(seeds) {
			m := run(b, false, seed)
			if m.fault != "" {
				t.Fatalf("%+v seed %d: %s", b, seed, m.fault)
			}
			sent, held, handovers = sent+m.sent, held+m.held, handovers+m.handovers
			if run(b, true, seed).fault != "" {
				broken++
			}
		}
		t.Logf("%+v: %d legs, %d checks as holder, %d hand-overs; without the protocol %d of %d schedules exceed the limits",
			b, sent, held, handovers, broken, seeds)
		if sent < seeds || held < seeds || handovers < seeds/10 || broken < seeds/2 {
			t.Fatal("the schedules cause too few legs, hand-overs or failures")
		}
	}
}
