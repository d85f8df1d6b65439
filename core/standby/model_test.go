package standby_test

import (
	"fmt"
	"slices"

	"jacinthferry/core/clock"
	"jacinthferry/core/standby"
	"jacinthferry/core/subset"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// tick is the time that passes in one step of the model.
	tick = 700 * clock.Millisecond
	// depth is how many events the search tries in all orders, and maxInFlight how many views are on their way at once.
	depth       = 8
	maxInFlight = 3
	// takeover is the bound for the zone to be served again once nothing goes wrong any longer: a view that gets too old,
	// two reads and the longest delay.
	takeover = standby.MaxAge + 9*clock.Second
)

// model is a zone with a store, two active daemons l1 and l2 that tell three on standby what they know, and a network
// that delays views, delivers them in any order or loses them. It is copied for each event.
type model struct {
	now      clock.Milli
	standby  map[string]standby.Machine
	store    standby.View
	replica  standby.View
	inFlight []flight
	// leaders are the active daemons that live. They know the store's latest state.
	leaders []string
	// blind is set in a model with a fault: a daemon joins by what it heard, without a look at the store.
	blind bool
}

// flight is a view that is on its way to a daemon.
type flight struct {
	to   string
	view standby.View
	sent clock.Milli
}

// fixed returns a source of the same number again and again, which differs between the daemons.
func fixed(x float64) func() float64 { return func() float64 { return x } }

func newModel() model {
	s := model{now: start, leaders: []string{"l1", "l2"}, standby: make(map[string]standby.Machine)}
	s.store = standby.View{Members: []subset.Member{member("l1", 0.8), member("l2", 0.8)}, Revision: 2}
	s.replica = s.store
	for name, x := range map[string]float64{"s1": 0, "s2": 0.1, "s3": 0.9} {
		m := standby.New(member(name, 0.8), fixed(x))
		m.Read(s.now, s.store, standby.Replica)
		s.standby[name] = *m
	}

	return s
}

func (s model) clone() model {
	out := s
	out.standby = make(map[string]standby.Machine, len(s.standby))
	for name, m := range s.standby {
		out.standby[name] = m
	}
	out.inFlight, out.leaders = slices.Clone(s.inFlight), slices.Clone(s.leaders)

	return out
}

// write changes the registered daemons, which the active ones then tell.
func (s *model) write(members []subset.Member) {
	s.store = standby.View{Members: members, Revision: s.store.Revision + 1}
	s.tell()
}

// tell lets an active daemon send the latest view to those on standby.
func (s *model) tell() {
	if len(s.leaders) == 0 {
		return
	}
	for _, name := range s.names() {
		s.inFlight = append(s.inFlight, flight{name, s.store, s.now})
	}
	s.inFlight = s.inFlight[max(0, len(s.inFlight)-maxInFlight):]
}

func (s *model) names() []string {
	var names []string
	for name := range s.standby {
		names = append(names, name)
	}
	slices.Sort(names)

	return names
}

// expire ends an active daemon and its entry.
func (s *model) expire(name string) {
	s.leaders = slices.DeleteFunc(s.leaders, func(l string) bool { return l == name })
	s.write(slices.DeleteFunc(slices.Clone(s.store.Members), func(m subset.Member) bool { return m.Name == name }))
}

// run lets a daemon on standby act until it waits.
func (s *model) run(name string) {
	m := s.standby[name]
	for {
		action, _ := m.Next(s.now)
		switch {
		case action == standby.Wait:
			s.settle(name, m)

			return
		case action == standby.ReadReplica:
			m.Read(s.now, s.replica, standby.Replica)
		case s.blind:
			m.Read(s.now, s.replica, standby.Store)
		default:
			m.Read(s.now, s.store, standby.Store)
		}
		s.settle(name, m)
		if m.Role() == subset.Active {
			return
		}
	}
}

// settle registers a daemon on standby if its role has come to ask for that.
func (s *model) settle(name string, m standby.Machine) {
	s.standby[name] = m
	listed := slices.ContainsFunc(s.store.Members, func(o subset.Member) bool { return o.Name == name })
	if m.Role() != subset.Idle && !listed {
		s.write(append(slices.Clone(s.store.Members), member(name, 0.8)))
	}
	if m.Role() == subset.Active {
		delete(s.standby, name)
		s.inFlight = slices.DeleteFunc(s.inFlight, func(f flight) bool { return f.to == name })
		s.leaders = append(s.leaders, name)
		s.tell()
	}
}

func (s *model) deliver(i int) {
	f := s.inFlight[i]
	s.inFlight = slices.Delete(s.inFlight, i, i+1)
	m := s.standby[f.to]
	m.Hear(s.now, f.view, s.now-f.sent)
	s.settle(f.to, m)
}

func (s *model) pass() {
	s.now += tick
	for _, name := range s.names() {
		s.run(name)
	}
}

// events returns what may happen next: time passes, a view arrives or is lost, an active daemon is lost, or the replica
// catches up.
func (s model) events() []func(*model) {
	list := []func(*model){(*model).pass}
	for i := range s.inFlight {
		list = append(list, func(s *model) { s.deliver(i) }, func(s *model) {
			s.inFlight = slices.Delete(s.inFlight, i, i+1)
		})
	}
	for _, name := range s.leaders {
		if name[0] == 'l' {
			list = append(list, func(s *model) { s.expire(name) })
		}
	}
	if s.replica.Revision != s.store.Revision {
		list = append(list, func(s *model) { s.replica = s.store })
	}

	return list
}

// violation says what is wrong with a state, or is empty.
func (s model) violation() string {
	const needed = 3 // Two active daemons and one in reserve.
	if len(s.store.Members) > needed {
		return fmt.Sprintf("%d daemons are registered, %d are needed", len(s.store.Members), needed)
	}

	return ""
}

// recover lets the network and the store be sound from now on, and says what is wrong after the bound.
func (s model) recover() string {
	s.inFlight = nil
	for end := s.now + takeover; s.now < end; {
		s.replica = s.store
		s.tell()
		for len(s.inFlight) > 0 {
			s.deliver(0)
		}
		s.pass()
		if wrong := s.violation(); wrong != "" {
			return wrong
		}
	}
	if len(s.leaders) < 2 {
		return fmt.Sprintf("after the bound only %v take requests", s.leaders)
	}
	for name, m := range s.standby {
		if m.Known().Revision != s.store.Revision {
			return fmt.Sprintf("after the bound %s knows revision %d of %d", name, m.Known().Revision, s.store.Revision)
		}
	}

	return ""
}

// search tries all orders of events to a depth and returns the first violation. In seen it counts the events that were
// left when it tried a state.
func search(s model, left int, seen map[string]int) string {
	key := s.key()
	if seen[key] >= left+1 {
		return ""
	}
	seen[key] = left + 1
	if wrong := s.violation(); wrong != "" {
		return wrong
	}
	if wrong := s.clone().recover(); wrong != "" {
		return wrong
	}
	if left == 0 {
		return ""
	}
	for _, event := range s.events() {
		next := s.clone()
		before := s.revisions()
		event(&next)
		for name, revision := range next.revisions() {
			if revision < before[name] {
				return fmt.Sprintf("%s went back from revision %d to %d", name, before[name], revision)
			}
		}
		if wrong := search(next, left-1, seen); wrong != "" {
			return wrong
		}
	}

	return ""
}

// revisions returns what the daemons on standby know.
func (s model) revisions() map[string]int64 {
	known := make(map[string]int64)
	for name, m := range s.standby {
		known[name] = m.Known().Revision
	}

	return known
}

// key tells states apart.
func (s model) key() string {
	text := fmt.Sprint(s.now, s.store, s.replica.Revision, s.inFlight, s.leaders)
	for _, name := range s.names() {
		m := s.standby[name]
		text += fmt.Sprintf("%s %s", name, m.String())
	}

	return text
}

var _ = Describe("Daemons on standby, a store with a slow replica and a network that loses views", func() {
	It("replace each lost daemon within the bound, register no more than are needed, and never go back", func() {
		seen := make(map[string]int)
		Expect(search(newModel(), depth, seen)).To(BeEmpty())
		GinkgoWriter.Println(len(seen), "states")
		Expect(len(seen)).To(BeNumerically(">", 10_000))
	})

	It("are found to register too many if they do not look at the store's latest state before", func() {
		s := newModel()
		s.blind = true
		Expect(search(s, depth, make(map[string]int))).To(ContainSubstring("daemons are registered"))
	})
})
