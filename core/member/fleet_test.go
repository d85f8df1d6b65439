package member_test

import (
	"fmt"

	"jacinthferry/core/clock"
	"jacinthferry/core/member"
)

// step is the time between two ticks, and delay that of a message.
const (
	step  = 20 * clock.Millisecond
	delay = 5 * clock.Millisecond
)

type mail struct {
	at   clock.Milli
	from string
	send member.Send
}

// fleet runs views against each other in virtual time.
type fleet struct {
	now    clock.Milli
	views  map[string]*member.View
	names  []string
	mail   []mail
	killed map[string]bool
	paused map[string]bool
	// cut reports whether messages between two daemons are lost.
	cut  func(from, to string) bool
	sent int
}

func newFleet(n int) *fleet {
	f := &fleet{
		now: clock.Second, views: make(map[string]*member.View), killed: make(map[string]bool),
		paused: make(map[string]bool), cut: func(string, string) bool { return false },
	}
	for i := range n {
		f.start(fmt.Sprintf("d%03d", i), 1)
	}

	return f
}

// start starts a daemon that knows the first one's seat.
func (f *fleet) start(name string, incarnation uint64) {
	self := member.Member{Name: name, Zone: "z", Peer: name}
	v := member.New(f.now, self, incarnation, member.Default(), uint64(len(f.names)))
	if len(f.names) > 0 && f.names[0] != name {
		f.post(name, v.Seat(f.now, member.Member{Name: f.names[0], Zone: "z", Peer: f.names[0]}, 1))
		f.post(name, v.Greet(f.now, member.Member{Name: f.names[0]}))
	}
	if f.views[name] == nil {
		f.names = append(f.names, name)
	}
	f.views[name] = v
	delete(f.killed, name)
}

func (f *fleet) post(from string, sends []member.Send) {
	for _, s := range sends {
		f.sent++
		if !f.cut(from, s.To.Name) {
			f.mail = append(f.mail, mail{f.now + delay, from, s})
		}
	}
}

// run lets time pass until done returns true or span is over, and returns the time it took.
func (f *fleet) run(span clock.Milli, done func() bool) clock.Milli {
	start := f.now
	for f.now-start < span && !done() {
		f.now += step
		due := f.mail
		f.mail = nil
		for _, m := range due {
			to := m.send.To.Name
			switch {
			case f.killed[to] || f.views[to] == nil:
			case m.at > f.now || f.paused[to]:
				f.mail = append(f.mail, m)
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

// all reports whether every running daemon but the named one holds it in one of the states.
func (f *fleet) all(about string, states ...member.State) bool {
	for _, name := range f.names {
		if name == about || f.killed[name] || f.paused[name] {
			continue
		}
		found := false
		for _, e := range f.views[name].Others() {
			if e.Member.Name == about {
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

// whole reports whether all running daemons hold each other alive.
func (f *fleet) whole() bool {
	for _, name := range f.names {
		if !f.killed[name] && !f.all(name, member.Alive) {
			return false
		}
	}

	return true
}

func never() bool { return false }
