package member_test

import (
	"fmt"

	"jacinthferry/core/clock"
	"jacinthferry/core/member"
)

// tickInterval is the time between two ticks, and messageDelay the time that a message takes.
const (
	tickInterval = 20 * clock.Millisecond
	messageDelay = 5 * clock.Millisecond
)

type envelope struct {
	at   clock.Milli
	from string
	send member.Envelope
}

// fleet runs views against each other in virtual time.
type fleet struct {
	now     clock.Milli
	views   map[string]*member.View
	names   []string
	network []envelope
	killed  map[string]bool
	paused  map[string]bool
	// dropped reports whether messages between two daemons are lost.
	dropped func(from, to string) bool
	sent    int
}

func newFleet(n int) *fleet {
	f := &fleet{
		now: clock.Second, views: make(map[string]*member.View), killed: make(map[string]bool),
		paused: make(map[string]bool), dropped: func(string, string) bool { return false },
	}
	for i := range n {
		f.start(fmt.Sprintf("d%03d", i), 1)
	}

	return f
}

// start starts a daemon that knows only the seat of the first one.
func (f *fleet) start(name string, incarnation uint64) {
	self := member.Member{Name: name, Zone: "z", PeerAddress: name}
	v := member.NewView(f.now, self, incarnation, member.DefaultPolicy(), uint64(len(f.names)))
	if len(f.names) > 0 && f.names[0] != name {
		f.post(name, v.HandleSeatAdded(f.now, member.Member{Name: f.names[0], Zone: "z", PeerAddress: f.names[0]}, 1))
		f.post(name, v.HandleLinkOpened(f.now, member.Member{Name: f.names[0]}))
	}
	if f.views[name] == nil {
		f.names = append(f.names, name)
	}
	f.views[name] = v
	delete(f.killed, name)
}

func (f *fleet) post(from string, sends []member.Envelope) {
	for _, s := range sends {
		f.sent++
		if !f.dropped(from, s.To.Name) {
			f.network = append(f.network, envelope{f.now + messageDelay, from, s})
		}
	}
}

// runUntil advances the time until done returns true or the timeout is over, and returns the time it took.
func (f *fleet) runUntil(timeout clock.Milli, done func() bool) clock.Milli {
	start := f.now
	for f.now-start < timeout && !done() {
		f.now += tickInterval
		due := f.network
		f.network = nil
		for _, m := range due {
			to := m.send.To.Name
			switch {
			case f.killed[to] || f.views[to] == nil:
			case m.at > f.now || f.paused[to]:
				f.network = append(f.network, m)
			default:
				f.post(to, f.views[to].Receive(f.now, m.from, m.send.Message))
			}
		}
		for _, name := range f.names {
			if !f.killed[name] && !f.paused[name] {
				f.post(name, f.views[name].Tick(f.now))
			}
		}
	}

	return f.now - start
}

// allBelieve reports whether every other running daemon has the subject in one of the states.
func (f *fleet) allBelieve(subject string, states ...member.State) bool {
	for _, name := range f.names {
		if name == subject || f.killed[name] || f.paused[name] {
			continue
		}
		found := false
		for _, e := range f.views[name].Others() {
			if e.Member.Name == subject {
				for _, s := range states {
					found = found || e.State == s
				}
			}
		}
		if !found {
			return false
		}
	}

	return true
}

// converged reports whether all running daemons consider each other alive.
func (f *fleet) converged() bool {
	for _, name := range f.names {
		if !f.killed[name] && !f.allBelieve(name, member.Alive) {
			return false
		}
	}

	return true
}

func neverDone() bool { return false }
