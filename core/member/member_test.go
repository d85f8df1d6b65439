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
		It("makes daemons that join through one know all", func() {
			f := newFleet(n)
			Expect(f.run(20*clock.Second, f.whole)).To(BeNumerically("<", 20*clock.Second), "%d daemons", n)
		})

		It("finds a killed daemon within three seconds, everywhere, and no other", func() {
			f := newFleet(n)
			f.run(20*clock.Second, f.whole)
			dead := f.names[n/2]
			f.killed[dead] = true
			took := f.run(10*clock.Second, func() bool { return f.all(dead, member.Dead) })
			Expect(took).To(BeNumerically("<=", 3*clock.Second), "%d daemons", n)
			f.run(5*clock.Second, never)
			Expect(f.whole()).To(BeTrue())
		})
	}

	It("keeps a daemon whose messages are lost on the direct way only", func() {
		f := newFleet(5)
		f.run(20*clock.Second, f.whole)
		f.cut = func(from, to string) bool { return from == "d000" && to == "d001" }
		for range 200 {
			f.run(step, never)
			Expect(f.all("d001", member.Alive)).To(BeTrue())
		}
	})

	It("takes a paused daemon for dead, and back under a higher incarnation", func() {
		f := newFleet(9)
		f.run(20*clock.Second, f.whole)
		f.paused["d004"] = true
		Expect(f.run(10*clock.Second, func() bool { return f.all("d004", member.Dead) })).
			To(BeNumerically("<=", 3*clock.Second))
		delete(f.paused, "d004")
		Expect(f.run(20*clock.Second, f.whole)).To(BeNumerically("<", 20*clock.Second))
		Expect(f.views["d004"].Self().Incarnation).To(BeNumerically(">", 1))
	})

	It("does not blame others for its own pause", func() {
		f := newFleet(9)
		f.run(20*clock.Second, f.whole)
		f.paused["d004"] = true
		f.run(600*clock.Millisecond, never)
		delete(f.paused, "d004")
		for range 100 {
			f.run(step, never)
			for _, e := range f.views["d004"].Others() {
				Expect(e.State).To(Equal(member.Alive))
			}
		}
	})

	It("is whole again after two halves lost each other", func() {
		f := newFleet(10)
		f.run(20*clock.Second, f.whole)
		for _, name := range f.names {
			for _, other := range f.names {
				f.post(name, f.views[name].Seat(f.now, member.Member{Name: other, Zone: "z", Peer: other}, 1))
			}
		}
		f.cut = func(from, to string) bool { return (from < "d005") != (to < "d005") }
		f.run(90*clock.Second, never)
		Expect(f.all("d000", member.Alive)).To(BeFalse())
		f.cut = func(string, string) bool { return false }
		Expect(f.run(60*clock.Second, f.whole)).To(BeNumerically("<", 60*clock.Second))
	})

	It("lets no statement of an earlier life override a later one", func() {
		f := newFleet(5)
		f.run(20*clock.Second, f.whole)
		old := member.Update{Member: member.Member{Name: "d002", Zone: "z", Peer: "d002"}, State: member.Dead, Incarnation: 1}
		f.killed["d002"] = true
		f.run(10*clock.Second, func() bool { return f.all("d002", member.Dead) })
		f.start("d002", 50)
		f.run(20*clock.Second, f.whole)
		f.post("d001", f.views["d000"].Receive(f.now, "d001", member.Message{Kind: member.News, Updates: []member.Update{old}}))
		f.run(clock.Second, never)
		Expect(f.whole()).To(BeTrue())
	})

	It("keeps a member whose seat lapsed while it answers", func() {
		f := newFleet(5)
		f.run(20*clock.Second, f.whole)
		f.post("d000", f.views["d000"].Vacate(f.now, "d003"))
		f.run(5*clock.Second, never)
		Expect(f.whole()).To(BeTrue())
	})

	It("spreads that a daemon leaves, from itself or from the platform's list", func() {
		f := newFleet(9)
		f.run(20*clock.Second, f.whole)
		f.post("d003", f.views["d003"].Leave(f.now))
		f.post("d000", f.views["d000"].Listed(f.now, map[string]bool{"d005": true}))
		Expect(f.run(5*clock.Second, func() bool {
			return f.all("d003", member.Leaving) && f.all("d005", member.Leaving)
		})).To(BeNumerically("<", clock.Second))
		Expect(f.views["d005"].Self().State).To(Equal(member.Leaving))
	})

	It("ignores updates that name nobody or no known state", func() {
		v := member.New(0, member.Member{Name: "a"}, 1, member.Default(), 1)
		for _, u := range []member.Update{
			{Member: member.Member{Name: "x"}, State: 9, Incarnation: 1},
			{State: member.Alive, Incarnation: 1},
			{Member: member.Member{Name: "x"}, State: -1, Incarnation: 1},
		} {
			v.Receive(0, "b", member.Message{Kind: member.News, Updates: []member.Update{u}})
		}
		Expect(v.Others()).To(BeEmpty())
	})
})

// BenchmarkIdle counts the messages that one daemon sends in a second while nothing happens.
func BenchmarkIdle(b *testing.B) {
	for _, n := range []int{3, 9, 30, 100} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			f := newFleet(n)
			f.run(20*clock.Second, f.whole)
			f.run(5*clock.Second, never)
			f.sent = 0
			seconds := 0
			for b.Loop() {
				f.run(clock.Second, never)
				seconds++
			}
			b.ReportMetric(float64(f.sent)/float64(n*seconds), "messages/s/daemon")
		})
	}
}
