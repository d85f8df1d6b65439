package standby_test

import (
	"jacinthferry/core/clock"
	"jacinthferry/core/standby"
	"jacinthferry/core/subset"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const start = 1000 * clock.Second

// half is a random number in the middle of its range.
func half() float64 { return 0.5 }

func member(name string, cores float64) subset.Member {
	return subset.Member{Name: name, Zone: "a", Cores: cores}
}

// served is a zone with two active daemons and a reserve.
func served(revision int64) standby.View {
	return standby.View{Members: []subset.Member{member("l1", 0.8), member("l2", 0.8), member("r", 0.2)}, Revision: revision}
}

// unserved is a zone that has lost both active daemons.
func unserved(revision int64) standby.View {
	return standby.View{Members: []subset.Member{member("r", 0.2)}, Revision: revision}
}

// reads counts the reads of the store that a daemon makes in a span if each returns view.
func reads(m *standby.Machine, from, to clock.Milli, view standby.View) (replica, store int) {
	for now := from; now < to; now += 10 {
		switch action, _ := m.Next(now); action {
		case standby.ReadReplica:
			replica++
			m.Read(now, view, standby.Replica)
		case standby.ReadStore:
			store++
			m.Read(now, view, standby.Store)
		default:
		}
	}

	return replica, store
}

var _ = Describe("A daemon on standby", func() {
	It("reads the store once and never again while it hears an active daemon", func() {
		m := standby.New(member("self", 0.2), half)
		action, _ := m.Next(start)
		Expect(action).To(Equal(standby.ReadReplica))
		Expect(m.Read(start, served(1), standby.Replica)).To(BeTrue())
		replica, store := 0, 0
		for now := start; now < start+clock.Minute; now += clock.Second {
			Expect(m.Hear(now, served(1), 3*clock.Second)).To(BeTrue())
			r, s := reads(m, now, now+clock.Second, served(1))
			replica, store = replica+r, store+s
		}
		Expect([]int{replica, store}).To(Equal([]int{0, 0}))
		Expect(m.Role()).To(Equal(subset.Idle))
	})

	It("reads a replica of the store every two seconds while it hears nothing", func() {
		m := standby.New(member("self", 0.2), half)
		replica, store := reads(m, start, start+20*clock.Second, served(1))
		Expect(replica).To(BeNumerically("~", 10, 1))
		Expect(store).To(BeZero())
	})

	It("reads the store within the bound after the view of another daemon got too old", func() {
		m := standby.New(member("self", 0.2), func() float64 { return 0.99 })
		m.Read(start, served(1), standby.Replica)
		m.Hear(start, served(1), clock.Second)
		Expect(reads(m, start, start+3500, served(1))).To(BeZero())
		replica, _ := reads(m, start+3500, start+5600, served(1))
		Expect(replica).To(Equal(1))
	})

	It("reads the store soon when there is no daemon to hear from, but not more often than otherwise", func() {
		m := standby.New(member("self", 0.2), half)
		m.Read(start, served(1), standby.Replica)
		m.Hear(start, served(1), 0)
		replica := 0
		for now := start; now < start+20*clock.Second; now += 400 {
			m.HearNothing(now)
			r, _ := reads(m, now, now+400, served(1))
			replica += r
		}
		Expect(replica).To(BeNumerically("~", 10, 1))
	})

	It("never takes an older view for a newer one", func() {
		m := standby.New(member("self", 0.2), half)
		m.Read(start, served(7), standby.Replica)
		Expect(m.Hear(start+100, unserved(6), 0)).To(BeFalse())
		Expect(m.Read(start+100, unserved(5), standby.Replica)).To(BeFalse())
		action, until := m.Next(start + 200)
		Expect(action).To(Equal(standby.Wait))
		Expect(until).To(BeNumerically(">", start+1000), "it does not plan to join")
	})

	for _, c := range []struct {
		what     string
		cores    float64
		from, to clock.Milli
	}{
		{"large", 0.8, 0, 500},
		{"small", 0.2, 500, 1500},
	} {
		It("joins after a random delay, once the store's latest state shows that it is missing: "+c.what, func() {
			var joined []clock.Milli
			for _, random := range []float64{0, 0.999} {
				m := standby.New(member("self", c.cores), func() float64 { return random })
				m.Read(start, served(1), standby.Replica)
				m.Hear(start, unserved(2), 0)
				Expect(m.Role()).To(Equal(subset.Idle))
				now := start
				for ; m.Role() != subset.Active; now += 10 {
					Expect(now).To(BeNumerically("<", start+5000))
					action, _ := m.Next(now)
					if action == standby.ReadStore {
						m.Read(now, unserved(2), standby.Store)
					} else {
						Expect(action).To(Equal(standby.Wait), "it hears an active daemon, so that it reads no replica")
					}
				}
				joined = append(joined, now-start)
			}
			Expect(joined[0]).To(BeNumerically("~", c.from, 20))
			Expect(joined[1]).To(BeNumerically("~", c.to, 20))
		})
	}

	It("does not join when another daemon was faster", func() {
		m := standby.New(member("self", 0.2), half)
		m.Read(start, served(1), standby.Replica)
		m.Hear(start, unserved(2), 0)
		action, _ := m.Next(start + 1500)
		Expect(action).To(Equal(standby.ReadStore))
		m.Read(start+1500, served(3), standby.Store)
		Expect(m.Role()).To(Equal(subset.Idle))
		action, _ = m.Next(start + 1500)
		Expect(action).To(Equal(standby.Wait))
	})

	It("does not repeat a read of the store without delay when that is older than what it heard", func() {
		m := standby.New(member("self", 0.2), half)
		m.Read(start, served(1), standby.Replica)
		m.Hear(start, unserved(9), 0)
		m.Read(start+1500, served(8), standby.Store)
		action, until := m.Next(start + 1500)
		Expect(action).To(Equal(standby.Wait))
		Expect(until).To(BeNumerically(">=", start+2000))
	})

	It("starts active if few daemons of its size make a zone, and else if it is still registered", func() {
		Expect(standby.StartsActive(member("self", 0.8))).To(BeTrue())
		Expect(standby.StartsActive(member("self", 0.4))).To(BeTrue())
		Expect(standby.StartsActive(member("self", 0.2))).To(BeFalse(), "there may be hundreds that start with it")
		small := standby.New(member("self", 0.2), half)
		small.Read(start, standby.View{Revision: 1}, standby.Replica)
		Expect(small.Role()).To(Equal(subset.Idle))
		registered := standby.New(member("self", 0.2), half)
		registered.Read(start, standby.View{Members: []subset.Member{member("self", 0.2)}, Revision: 1}, standby.Replica)
		Expect(registered.Role()).To(Equal(subset.Active))
	})

	It("gives up its place in reserve when there are more than needed", func() {
		m := standby.New(member("self", 0.2), half)
		view := served(1)
		view.Members = append(view.Members, member("self", 0.2))
		m.Read(start, view, standby.Replica)
		Expect(m.Role()).To(Equal(subset.Idle))
	})
})
