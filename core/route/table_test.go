package route_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"jacinthferry/core/config"
	"jacinthferry/core/place"
	"jacinthferry/core/route"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// inputs holds the inputs of successive tables.
type inputs struct {
	random      *rand.Rand
	revision    uint64
	config      config.Config
	members     []place.Member
	holdings    map[string]route.Holding
	unreachable map[string]bool
	changed     []string
}

func newInputs(seed uint64, zones, services, upstreams, members int) *inputs {
	w := &inputs{random: rand.New(rand.NewPCG(seed, 1)), revision: 1, holdings: make(map[string]route.Holding)}
	for z := range zones {
		w.config.Zones = append(w.config.Zones, config.Zone{Name: fmt.Sprintf("z%d", z)})
	}
	for s := range services {
		v := config.Version{Name: "v", Share: 1}
		for u := range upstreams {
			name := fmt.Sprintf("s%d-u%d", s, u)
			v.Upstreams = append(v.Upstreams, config.Upstream{Name: name, Zone: fmt.Sprintf("z%d", u%zones), Slots: 2})
			w.holdings[name] = w.newHolding(name, 1)
		}
		w.config.Services = append(w.config.Services, config.Service{Name: fmt.Sprintf("s%d", s), Versions: []config.Version{v}})
	}
	for m := range members {
		w.members = append(w.members, place.Member{Name: fmt.Sprintf("d%d", m), Zone: fmt.Sprintf("z%d", m%zones)})
	}

	return w
}

func (w *inputs) newHolding(name string, order uint64) route.Holding {
	return route.Holding{Upstream: name, Snapshots: []route.HeldSnapshot{
		{Name: fmt.Sprintf("at-%d", order), Order: order, Total: 4, Shards: []int{w.random.IntN(4)}},
	}}
}

// applyRandomChange makes one random change to the inputs.
func (w *inputs) applyRandomChange() {
	service := w.random.IntN(len(w.config.Services))
	upstreams := w.config.Services[service].Versions[0].Upstreams
	name := upstreams[w.random.IntN(len(upstreams))].Name
	switch w.random.IntN(7) {
	case 0:
		w.holdings[name] = w.newHolding(name, 1+w.random.Uint64N(3))
		w.changed = append(w.changed, name)
	case 1:
		delete(w.holdings, name)
		w.changed = append(w.changed, name)
	case 2:
		w.members = slices.Delete(slices.Clone(w.members), 1, 2)
	case 3:
		zone := w.config.Zones[w.random.IntN(len(w.config.Zones))].Name
		w.members = append(slices.Clone(w.members), place.Member{Name: fmt.Sprintf("n%d", w.random.Uint64()), Zone: zone})
	case 4:
		zone := w.config.Zones[1+w.random.IntN(len(w.config.Zones)-1)]
		w.config, w.revision = w.config.WithZoneOut(zone.Name, !zone.Out), w.revision+1
	case 6:
		w.unreachable = map[string]bool{w.members[w.random.IntN(len(w.members))].Name: true}
	case 5:
		w.config.Services = slices.Clone(w.config.Services)
		s := w.config.Services[service]
		s.Versions = slices.Clone(s.Versions)
		s.Versions[0].Upstreams = slices.Clone(upstreams)
		s.Versions[0].Upstreams[0].Drain = !upstreams[0].Drain
		w.config.Services[service], w.revision = s, w.revision+1
	}
}

func (w *inputs) buildNext(t *route.Table) *route.Table {
	changed := w.changed
	w.changed = nil

	return t.Next(route.Input{
		Revision: w.revision, Config: w.config, Members: w.members, ChangedUpstreams: changed, Unreachable: w.unreachable,
		Holding: func(name string) (route.Holding, bool) {
			h, ok := w.holdings[name]

			return h, ok
		},
	})
}

var _ = Describe("a table built from the previous one", func() {
	for seed := range uint64(20) {
		It(fmt.Sprintf("equals one built from scratch, seed %d", seed), func() {
			w := newInputs(seed, 3, 4, 9, 6)
			t := w.buildNext(nil)
			for step := range 60 {
				for range 1 + w.random.IntN(2) {
					if len(w.members) > 2 {
						w.applyRandomChange()
					}
				}
				t = w.buildNext(t)
				rebuilt := w.buildNext(nil)
				for _, s := range w.config.Services {
					got, _ := t.Service(s.Name)
					want, _ := rebuilt.Service(s.Name)
					Expect(got).To(Equal(want), "step %d", step)
					for _, u := range s.Versions[0].Upstreams {
						Expect(t.Home(u.Name)).To(Equal(rebuilt.Home(u.Name)), "step %d", step)
						placed, ok := t.Upstream(u.Name)
						Expect(ok).To(BeTrue())
						Expect(placed).To(Equal(u))
					}
				}
			}
		})
	}

	It("chooses the same homes for a version that grows large as one built from scratch", func() {
		w := newInputs(1, 3, 1, 60, 30)
		t := w.buildNext(nil)
		w.config, w.revision = newInputs(1, 3, 1, 90, 30).config, 2
		t = w.buildNext(t)
		rebuilt := route.Build(w.revision, w.config, w.members, w.holdings)
		for _, u := range w.config.Services[0].Versions[0].Upstreams {
			Expect(t.Home(u.Name)).To(Equal(rebuilt.Home(u.Name)))
		}
	})
})

var _ = Describe("a table with an unreachable home", func() {
	It("leaves out its replicas where there are others, and keeps the home", func() {
		w := newInputs(1, 1, 1, 4, 2)
		for i, shards := range [][]int{{0, 1}, {0}, {2}, {1, 2}} {
			name := fmt.Sprintf("s0-u%d", i)
			w.holdings[name] = route.Holding{Upstream: name, Snapshots: []route.HeldSnapshot{{Name: "at", Order: 1, Total: 3, Shards: shards}}}
		}
		before := w.buildNext(nil)
		w.unreachable = map[string]bool{before.Home("s0-u0"): true}
		after := w.buildNext(before)
		Expect(after.Home("s0-u0")).To(Equal(before.Home("s0-u0")))
		had, _ := before.Service("s0")
		has, _ := after.Service("s0")
		for shard, replicas := range had.Versions[0].Snapshots[0].Shards {
			stay := slices.DeleteFunc(slices.Clone(replicas), func(r route.Replica) bool { return w.unreachable[r.Home] })
			if len(stay) == 0 {
				stay = replicas
			}
			Expect(has.Versions[0].Snapshots[0].Shards[shard]).To(ConsistOf(stay))
		}
	})
})

// BenchmarkNext builds the table that follows one change, for deployments of several sizes.
func BenchmarkNext(b *testing.B) {
	for _, size := range []struct{ services, upstreams, members int }{{50, 2, 9}, {34, 190, 320}, {34, 1900, 3200}} {
		w := newInputs(1, 21, size.services, size.upstreams, size.members)
		t := w.buildNext(nil)
		total := size.services * size.upstreams
		b.Run(fmt.Sprintf("%d/whole", total), func(b *testing.B) {
			for b.Loop() {
				w.buildNext(nil)
			}
		})
		for _, kind := range []struct {
			name   string
			change func(*inputs)
		}{
			{"holding", func(w *inputs) { w.changed = []string{"s0-u0"} }},
			{"leave", func(w *inputs) { w.members = w.members[1:] }},
			{"join", func(w *inputs) {
				w.members = append(slices.Clone(w.members), place.Member{Name: "new", Zone: "z1"})
			}},
		} {
			b.Run(fmt.Sprintf("%d/%s", total, kind.name), func(b *testing.B) {
				for b.Loop() {
					changed := *w
					kind.change(&changed)
					changed.buildNext(t)
				}
			})
		}
	}
}
