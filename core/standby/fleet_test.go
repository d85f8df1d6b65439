package standby_test

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"jacinthferry/core/clock"
	"jacinthferry/core/standby"
	"jacinthferry/core/subset"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// step is the resolution of the fleet's time.
	step = 10 * clock.Millisecond
	// replicaLag is how old a replica of the store is, and pushDelay how long after a change an active daemon tells it.
	replicaLag = 1500 * clock.Millisecond
	pushDelay  = 400 * clock.Millisecond
	// leaseSpan is how long the entry of a lost daemon stays, and silence after which time without a word a daemon on
	// standby notices.
	leaseSpan = 2 * clock.Second
	silence   = 2500 * clock.Millisecond
	// fleetZones, largeCores and smallCores describe the fleet: three large daemons in each zone, the others small.
	fleetZones = 5
	largeCores = 0.8
	smallCores = 0.19
)

// fleet is a deployment with a store.
type fleet struct {
	now      clock.Milli
	all      []subset.Member
	machines map[string]*standby.Machine
	history  []standby.View
	times    []clock.Milli
	active   map[string]bool
	// silent is set while no daemon on standby hears an active one.
	silent bool
	// toldAt is when an active daemon told the others last.
	toldAt clock.Milli
	// gone are lost daemons whose entries stay until goneAt.
	gone   func(subset.Member) bool
	goneAt clock.Milli
	// reads counts reads of the store's latest state, replicas those of a replica, and registrations the writes.
	reads, replicas, registrations int
}

func newFleet(daemons int) *fleet {
	f := &fleet{now: start, machines: make(map[string]*standby.Machine), active: make(map[string]bool)}
	f.put(nil)
	for i := range daemons {
		cores := smallCores
		if i < 3*fleetZones {
			cores = largeCores
		}
		m := subset.Member{Name: fmt.Sprintf("d%04d", i), Zone: fmt.Sprint("z", i%fleetZones), Cores: cores}
		f.all = append(f.all, m)
	}

	return f
}

// boot starts all daemons at once, with a store that knows none.
func (f *fleet) boot() {
	f.put(nil)
	clear(f.active)
	random := rand.New(rand.NewPCG(uint64(len(f.all)), 1))
	for _, m := range f.all {
		f.machines[m.Name] = standby.New(m, random.Float64)
		if standby.StartsActive(m) {
			f.join(m, subset.Active)
		}
	}
}

func (f *fleet) put(members []subset.Member) {
	f.history = append(f.history, standby.View{Members: members, Revision: int64(len(f.history) + 1)})
	f.times = append(f.times, f.now)
}

func (f *fleet) latest() standby.View { return f.history[len(f.history)-1] }

// before returns what the store held some time ago.
func (f *fleet) before(age clock.Milli) standby.View {
	i := len(f.history) - 1
	for i > 0 && f.times[i] > f.now-age {
		i--
	}

	return f.history[i]
}

// join registers a daemon.
func (f *fleet) join(m subset.Member, role subset.Role) {
	if role == subset.Active {
		f.active[m.Name] = true
	}
	if !slices.ContainsFunc(f.latest().Members, func(o subset.Member) bool { return o.Name == m.Name }) {
		f.registrations++
		m.Since = int64(len(f.history) + 1)
		f.put(append(slices.Clone(f.latest().Members), m))
	}
}

// lose ends the daemons that match. Their entries stay for the time of a lease.
func (f *fleet) lose(match func(subset.Member) bool) {
	f.all = slices.DeleteFunc(f.all, match)
	f.gone, f.goneAt = match, f.now+leaseSpan
	for name := range f.active {
		if !slices.ContainsFunc(f.all, func(m subset.Member) bool { return m.Name == name }) {
			delete(f.active, name)
		}
	}
}

// run lets time pass. Active daemons tell the others once a second and at each change.
func (f *fleet) run(span clock.Milli) {
	told := f.latest().Revision
	for end := f.now + span; f.now < end; f.now += step {
		second := int(f.now)%int(clock.Second) == 0
		view := f.before(pushDelay)
		tell := !f.silent && len(f.active) > 0 && (second || view.Revision != told)
		told = view.Revision
		if tell {
			f.toldAt = f.now
		}
		if f.gone != nil && f.now >= f.goneAt {
			f.put(slices.DeleteFunc(slices.Clone(f.latest().Members), f.gone))
			f.gone = nil
		}
		for _, m := range f.all {
			if f.active[m.Name] {
				continue
			}
			machine := f.machines[m.Name]
			if tell {
				machine.Hear(f.now, view, pushDelay)
			} else if f.now >= f.toldAt+silence {
				machine.HearNothing(f.now)
			}
			f.act(m, machine)
		}
	}
}

func (f *fleet) act(m subset.Member, machine *standby.Machine) {
	switch action, _ := machine.Next(f.now); action {
	case standby.ReadReplica:
		f.replicas++
		machine.Read(f.now, f.before(replicaLag), standby.Replica)
	case standby.ReadStore:
		f.reads++
		machine.Read(f.now, f.latest(), standby.Store)
	default:
	}
	if machine.Role() != subset.Idle {
		f.join(m, machine.Role())
	}
}

// served reports whether every zone has enough active daemons.
func (f *fleet) served() bool {
	chosen := subset.Choose(f.latest().Members)
	for name := range chosen {
		if !f.active[name] {
			return false
		}
	}
	for i := range fleetZones {
		newcomer := subset.Member{Name: "new", Zone: fmt.Sprint("z", i), Cores: smallCores}
		if subset.RoleOf(f.latest().Members, newcomer) == subset.Active {
			return false
		}
	}

	return true
}

// calls returns and resets the calls so far.
func (f *fleet) calls() (reads, replicas, registrations int) {
	reads, replicas, registrations = f.reads, f.replicas, f.registrations
	f.reads, f.replicas, f.registrations = 0, 0, 0

	return reads, replicas, registrations
}

var _ = Describe("A fleet of 300 and of 1,000 daemons", func() {
	for _, daemons := range []int{300, 1000} {
		It(fmt.Sprintf("starts, loses its active daemons and hears nothing, at a bounded number of calls: %d", daemons), func() {
			f := newFleet(daemons)
			f.boot()
			f.run(15 * clock.Second)
			reads, replicas, registrations := f.calls()
			Expect(f.served()).To(BeTrue())
			Expect(registrations).To(BeNumerically("<=", 20), "at the start")
			Expect(reads).To(BeNumerically("<=", 20))
			Expect(replicas).To(BeNumerically("<=", 3*daemons))

			f.run(30 * clock.Second)
			reads, replicas, registrations = f.calls()
			Expect([]int{reads, replicas, registrations}).To(Equal([]int{0, 0, 0}), "while nothing happens")

			f.lose(func(m subset.Member) bool { return m.Cores == largeCores })
			f.run(6 * clock.Second)
			Expect(f.served()).To(BeTrue(), "6 s after all large daemons are gone")
			f.run(10 * clock.Second)
			reads, _, registrations = f.calls()
			const needed = fleetZones * (5 + 1)
			Expect(registrations).To(BeNumerically("<=", needed+fleetZones))
			Expect(reads).To(BeNumerically("<=", daemons))

			f.silent = true
			f.run(20 * clock.Second)
			reads, replicas, registrations = f.calls()
			Expect(replicas).To(BeNumerically("<=", daemons*20/2), "a read each 2 s at most")
			Expect([]int{reads, registrations}).To(Equal([]int{0, 0}))

			f.silent = false
			f.run(5 * clock.Second)
			f.calls()
			f.boot()
			f.run(15 * clock.Second)
			reads, _, registrations = f.calls()
			Expect(f.served()).To(BeTrue(), "after all daemons came back at one moment")
			Expect(registrations).To(BeNumerically("<=", needed+fleetZones))
			Expect(reads).To(BeNumerically("<=", daemons))
		})
	}
})
