package registry_test

import (
	"context"
	"fmt"
	"strings"

	"github.com/pkg/errors"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
	"jacinthferry/core/event"
	"jacinthferry/core/quarantine"
	"jacinthferry/core/reason"
	"jacinthferry/core/rollout"
	"jacinthferry/io/registry"
	"jacinthferry/io/store"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// rig is a registry over a scripted store, in virtual time.
type rig struct {
	*registry.Registry
	now      clock.Milli
	revision int64
	entries  map[string]store.Entry
	pending  []store.Entry
	fail     error
	waited   clock.Milli
	lists    int
	stales   int
	results  map[string]rollout.Counts
	learned  []quarantine.Print
	// lose is set while writes take effect and their answers are lost.
	lose   bool
	writes int
}

// decode reads "upstream SERVICE", "config VERSION" and "out ZONE".
func decode(e store.Entry, now clock.Milli) (registry.Record, error) {
	kind, rest, _ := strings.Cut(e.Value, " ")
	switch kind {
	case "upstream":
		return registry.Record{Kind: registry.Upstream, Upstream: &catalog.Upstream{
			ID: e.Key, Service: rest, Zone: "a", Slots: 1, Seen: now,
		}}, nil
	case "config":
		return registry.Record{
			Kind: registry.Config, Config: catalog.NewConfig(e.Revision, e.Revision, nil, nil, catalog.Limits{}),
		}, nil
	case "order":
		return registry.Record{Kind: registry.Order, Order: rollout.Order{
			Service: "s", Version: rest, Span: 40 * clock.Second, Revision: e.Revision, Seen: now,
		}}, nil
	case "report":
		return registry.Record{Kind: registry.Report, Text: e.Value}, nil
	case "out":
		return registry.Record{Kind: registry.ZoneOut, Zone: rest}, nil
	default:
		return registry.Record{}, errors.New("unreadable")
	}
}

func newRig(self registry.Member) *rig {
	r := &rig{now: 1000 * clock.Second, entries: make(map[string]store.Entry)}
	list := func(prefix string) ([]store.Entry, int64, error) {
		var all []store.Entry
		for key, e := range r.entries {
			if strings.HasPrefix(key, prefix) {
				all = append(all, e)
			}
		}
		r.pending = nil

		return all, r.revision, r.fail
	}
	port := store.Store{
		List: func(_ context.Context, prefix string) ([]store.Entry, int64, error) {
			r.lists++

			return list(prefix)
		},
		Stale: func(_ context.Context, prefix string) ([]store.Entry, int64, error) {
			r.stales++

			return list(prefix)
		},
		Watch: func(_ context.Context, _ string, _ int64, wait clock.Milli) ([]store.Entry, int64, error) {
			r.waited = wait
			if r.fail != nil {
				return nil, 0, r.fail
			}
			events := r.pending
			r.pending = nil

			return events, r.revision, nil
		},
	}
	port.Put = func(_ context.Context, key, value string, expect int64, _ string) (store.Write, error) {
		r.writes++
		if r.fail != nil {
			return store.Write{}, r.fail
		}
		if r.entries[key].Revision != expect {
			return store.Write{Current: r.entries[key]}, nil
		}
		r.put(key, value)
		if r.lose {
			return store.Write{}, errDown
		}

		return store.Write{Done: true, Revision: r.revision}, nil
	}
	port.Delete = func(_ context.Context, key string, _ int64) (store.Write, error) {
		r.remove(key)

		return store.Write{Done: true}, nil
	}
	r.Registry = registry.New(registry.Ports{
		Counts: func(string, catalog.Move) map[string]rollout.Counts { return r.results },
		Report: func(service string, m catalog.Move) (string, string, error) {
			return "report/" + service, "report " + string(m.Stage), nil
		},
		Now: func() clock.Milli { return r.now }, Store: port, Decode: decode,
		Record: func(event.Event) {}, Self: self,
		Learn: func(p quarantine.Print) { r.learned = append(r.learned, p) },
	})

	return r
}

// put writes an entry, and remove takes one away.
func (r *rig) put(key, value string) {
	r.revision++
	e := store.Entry{Key: key, Value: value, Revision: r.revision}
	r.entries[key] = e
	r.pending = append(r.pending, e)
}

func (r *rig) remove(key string) {
	r.revision++
	delete(r.entries, key)
	r.pending = append(r.pending, store.Entry{Key: key, Revision: r.revision, Deleted: true})
}

// turn lets time pass and makes one step.
func (r *rig) turn(span clock.Milli) {
	r.now += span
	r.Turn(context.Background())
}

func (r *rig) member(name, zone string, cores float64) {
	r.put("jacinthferry/members/"+name, fmt.Sprintf(`{"front":"%s:1","zone":"%s","cores":%g}`, name, zone, cores))
}

var (
	self    = registry.Member{Name: "self", Zone: "a", Cores: 0.4}
	errDown = reason.New(reason.Store, reason.Unknown, "down")
)

var _ = Describe("a registry", func() {
	usable := func(r *rig, service string) int { return len(r.View().Usable(service)) }

	It("follows what is written, changed and taken away", func() {
		r := newRig(self)
		Expect(r.View()).To(BeNil())
		r.put("u1", "upstream s")
		r.put("c", "config")
		r.turn(0)
		Expect(usable(r, "s")).To(Equal(1))
		r.put("u2", "upstream s")
		r.put("z", "out a")
		r.turn(1000)
		Expect(usable(r, "s")).To(BeZero(), "the zone is out")
		r.remove("z")
		r.remove("u1")
		r.turn(1000)
		Expect(usable(r, "s")).To(Equal(1))
	})

	It("hides nothing behind an entry that cannot be read", func() {
		r := newRig(self)
		r.put("u1", "upstream s")
		r.put("u2", "nonsense")
		r.turn(0)
		Expect(usable(r, "s")).To(Equal(1))
		r.put("u1", "nonsense")
		r.turn(1000)
		Expect(usable(r, "s")).To(BeZero(), "it names no upstream any more")
	})

	It("never goes back to an older configuration, nor loses the last one", func() {
		r := newRig(self)
		r.put("c", "config")
		r.put("c", "config")
		r.turn(0)
		Expect(r.View().Config.Revision).To(BeEquivalentTo(2))
		r.pending = []store.Entry{{Key: "c", Value: "config", Revision: 1}}
		r.turn(1000)
		Expect(r.View().Config.Revision).To(BeEquivalentTo(2))
		r.remove("c")
		r.turn(1000)
		Expect(r.View().Config).NotTo(BeNil())
	})

	It("believes for a while what vanishes while the store is in trouble", func() {
		r := newRig(self)
		r.put("u1", "upstream s")
		r.put("u2", "upstream s")
		r.turn(0)
		r.fail = errDown
		r.turn(1000)
		Expect(usable(r, "s")).To(Equal(2))
		r.fail = nil
		r.remove("u1")
		r.remove("u2")
		r.turn(500)
		Expect(usable(r, "s")).To(Equal(2), "their owners may not have reached the store")
		r.put("u1", "upstream s")
		r.turn(1000)
		Expect(usable(r, "s")).To(Equal(2))
		r.turn(2600)
		Expect(usable(r, "s")).To(Equal(1), "one is back, the other is gone")
	})

	It("waits for changes no longer than it believes what vanished", func() {
		r := newRig(self)
		r.put("u1", "upstream s")
		r.turn(0)
		r.turn(1000)
		usual := r.waited
		r.fail = errDown
		r.turn(1000)
		r.fail = nil
		r.remove("u1")
		r.turn(100)
		Expect(usable(r, "s")).To(Equal(1))
		left := 2500 * clock.Millisecond
		for usable(r, "s") > 0 {
			r.turn(400)
			left -= 400
			Expect(r.waited).To(BeNumerically("<=", max(10, left)))
			r.now += r.waited
			left -= r.waited
		}
		Expect(left).To(BeNumerically(">", -500))
		r.turn(400)
		Expect(r.waited).To(Equal(usual))
	})

	It("reads all anew when the store dropped its history, and takes what is missing as gone", func() {
		r := newRig(self)
		r.put("u1", "upstream s")
		r.put("u2", "upstream s")
		r.turn(0)
		r.fail = reason.New(reason.Compacted, reason.No, "")
		r.remove("u1")
		r.turn(1000)
		r.fail = nil
		before := r.lists
		r.turn(3000)
		Expect(r.lists).To(Equal(before + 1))
		Expect(usable(r, "s")).To(Equal(1))
	})

	It("counts the daemons that may still send, and assumes many while it is young", func() {
		r := newRig(self)
		r.member("self", "a", 0.4)
		r.turn(0)
		Expect(r.Daemons()).To(Equal(16))
		for i := range 6 {
			r.member(fmt.Sprint("other", i), fmt.Sprint("zone", i), 0.4)
		}
		r.turn(5000)
		Expect(r.Daemons()).To(Equal(7))
		for i := range 6 {
			r.remove(fmt.Sprint("jacinthferry/members/other", i))
		}
		r.turn(1000)
		Expect(r.Daemons()).To(Equal(7), "those that left may still send")
		r.put("u1", "upstream s")
		r.turn(16_000)
		Expect(r.Daemons()).To(Equal(1))
	})

	It("stands by where larger daemons take the requests, and takes the place of one that is lost", func() {
		r := newRig(registry.Member{Name: "self", Zone: "a", Cores: 0.2})
		r.put("c", "config")
		r.member("self", "a", 0.2)
		r.member("large1", "a", 0.8)
		r.member("large2", "a", 0.8)
		r.member("far", "b", 0.2)
		r.turn(0)
		Expect(r.Standby()).To(BeFalse(), "it may not know the others yet")
		r.turn(2500)
		Expect(r.Standby()).To(BeTrue())
		r.turn(2000)
		Expect(r.stales).To(Equal(1))
		Expect(r.View().Config).To(BeNil(), "what it would know may be old")
		names := func() []string {
			var list []string
			for _, m := range r.State().Members {
				list = append(list, m.Name)
			}

			return list
		}
		Expect(names()).To(Equal([]string{"far", "large1", "large2"}))
		r.remove("jacinthferry/members/large1")
		r.turn(2000)
		Expect(r.Standby()).To(BeFalse())
		Expect(r.View().Config).NotTo(BeNil())
		Expect(names()).To(Equal([]string{"far", "large2", "self"}))
	})

	It("serves on for a while when another one takes its place", func() {
		r := newRig(registry.Member{Name: "self", Zone: "a", Cores: 0.2})
		r.put("c", "config")
		r.put("u1", "upstream s")
		r.member("self", "a", 0.2)
		r.turn(0)
		r.turn(2500)
		Expect(r.Standby()).To(BeFalse())
		r.member("large1", "a", 0.8)
		r.member("large2", "a", 0.8)
		r.turn(1000)
		Expect(r.Standby()).To(BeTrue())
		r.remove("u1")
		r.turn(5000)
		Expect(usable(r, "s")).To(BeZero(), "it still follows the store")
		Expect(r.View().Config).NotTo(BeNil())
		r.turn(5000)
		Expect(r.View().Config).To(BeNil())
	})
})
