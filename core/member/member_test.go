package member_test

import (
	"strconv"
	"testing"

	"jacinthferry/core/clock"
	"jacinthferry/core/member"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a view", func() {
	for _, n := range []int{3, 9, 30, 100} {
		It("lets daemons that join through one daemon learn of all others", func() {
			f := newFleet(n)
			Expect(f.runUntil(20*clock.Second, f.converged)).To(BeNumerically("<", 20*clock.Second), "%d daemons", n)
		})

		It("detects a killed daemon within three seconds in every view, and keeps all others alive", func() {
			f := newFleet(n)
			f.runUntil(20*clock.Second, f.converged)
			dead := f.names[n/2]
			f.killed[dead] = true
			took := f.runUntil(10*clock.Second, func() bool { return f.allBelieve(dead, member.Dead) })
			Expect(took).To(BeNumerically("<=", 3*clock.Second), "%d daemons", n)
			f.runUntil(5*clock.Second, neverDone)
			Expect(f.converged()).To(BeTrue())
		})
	}

	It("keeps a daemon alive when messages to it are lost only on the direct path", func() {
		f := newFleet(5)
		f.runUntil(20*clock.Second, f.converged)
		f.dropped = func(from, to string) bool { return from == "d000" && to == "d001" }
		for range 200 {
			f.runUntil(tickInterval, neverDone)
			Expect(f.allBelieve("d001", member.Alive)).To(BeTrue())
		}
	})

	It("considers a paused daemon dead, and alive again under a higher incarnation", func() {
		f := newFleet(9)
		f.runUntil(20*clock.Second, f.converged)
		f.paused["d004"] = true
		Expect(f.runUntil(10*clock.Second, func() bool { return f.allBelieve("d004", member.Dead) })).
			To(BeNumerically("<=", 3*clock.Second))
		delete(f.paused, "d004")
		Expect(f.runUntil(20*clock.Second, f.converged)).To(BeNumerically("<", 20*clock.Second))
		Expect(f.views["d004"].Self().Incarnation).To(BeNumerically(">", 1))
	})

	It("does not suspect others because of its own pause", func() {
		f := newFleet(9)
		f.runUntil(20*clock.Second, f.converged)
		f.paused["d004"] = true
		f.runUntil(600*clock.Millisecond, neverDone)
		delete(f.paused, "d004")
		for range 100 {
			f.runUntil(tickInterval, neverDone)
			for _, e := range f.views["d004"].Others() {
				Expect(e.State).To(Equal(member.Alive))
			}
		}
	})

	It("converges again after a network partition", func() {
		f := newFleet(10)
		f.runUntil(20*clock.Second, f.converged)
		for _, name := range f.names {
			for _, other := range f.names {
				f.post(name, f.views[name].HandleSeatAdded(f.now, member.Member{Name: other, Zone: "z", PeerAddress: other}, 1))
			}
		}
		f.dropped = func(from, to string) bool { return (from < "d005") != (to < "d005") }
		f.runUntil(90*clock.Second, neverDone)
		Expect(f.allBelieve("d000", member.Alive)).To(BeFalse())
		f.dropped = func(string, string) bool { return false }
		Expect(f.runUntil(60*clock.Second, f.converged)).To(BeNumerically("<", 60*clock.Second))
	})

	It("does not let an update of an earlier incarnation override a later one", func() {
		f := newFleet(5)
		f.runUntil(20*clock.Second, f.converged)
		old := member.Update{Member: member.Member{Name: "d002", Zone: "z", PeerAddress: "d002"}, State: member.Dead, Incarnation: 1}
		f.killed["d002"] = true
		f.runUntil(10*clock.Second, func() bool { return f.allBelieve("d002", member.Dead) })
		f.start("d002", 50)
		f.runUntil(20*clock.Second, f.converged)
		f.post("d001", f.views["d000"].Receive(f.now, "d001", member.Message{Kind: member.Gossip, Updates: []member.Update{old}}))
		f.runUntil(clock.Second, neverDone)
		Expect(f.converged()).To(BeTrue())
	})

	It("keeps a member alive whose seat has lapsed but which still answers", func() {
		f := newFleet(5)
		f.runUntil(20*clock.Second, f.converged)
		f.post("d000", f.views["d000"].HandleSeatRemoved(f.now, "d003"))
		f.runUntil(5*clock.Second, neverDone)
		Expect(f.converged()).To(BeTrue())
	})

	It("disseminates that a daemon is leaving, whether the daemon or the platform's list says so", func() {
		f := newFleet(9)
		f.runUntil(20*clock.Second, f.converged)
		f.post("d003", f.views["d003"].Leave(f.now))
		f.post("d000", f.views["d000"].HandleInstanceList(f.now, map[string]bool{"d005": true}))
		Expect(f.runUntil(5*clock.Second, func() bool {
			return f.allBelieve("d003", member.Leaving) && f.allBelieve("d005", member.Leaving)
		})).To(BeNumerically("<", clock.Second))
		Expect(f.views["d005"].Self().State).To(Equal(member.Leaving))
	})

	It("ignores updates without a name or with an unknown state", func() {
		v := member.NewView(0, member.Member{Name: "a"}, 1, member.DefaultPolicy(), 1)
		for _, u := range []member.Update{
			{Member: member.Member{Name: "x"}, State: 9, Incarnation: 1},
			{State: member.Alive, Incarnation: 1},
			{Member: member.Member{Name: "x"}, State: -1, Incarnation: 1},
		} {
			v.Receive(0, "b", member.Message{Kind: member.Gossip, Updates: []member.Update{u}})
		}
		Expect(v.Others()).To(BeEmpty())
	})
})

// BenchmarkIdle measures the messages that one daemon sends a second while nothing changes.
func BenchmarkIdle(b *testing.B) {
	for _, n := range []int{3, 9, 30, 100} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			f := newFleet(n)
			f.runUntil(20*clock.Second, f.converged)
			f.runUntil(5*clock.Second, neverDone)
			f.sent = 0
			seconds := 0
			for b.Loop() {
				f.runUntil(clock.Second, neverDone)
				seconds++
			}
			b.ReportMetric(float64(f.sent)/float64(n*seconds), "messages/s/daemon")
		})
	}
}
