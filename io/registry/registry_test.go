package registry_test

import (
	"context"
	"fmt"
	"maps"
	"strconv"
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

// harness is a registry with a scripted store and a virtual clock.
type harness struct {
	*registry.Registry
	options  registry.Options
	now      clock.Milli
	revision int64
	entries  map[string]store.Entry
	pending  []store.Entry
	storeErr error
	// watchErr is what a watch that has events to report returns in place of them.
	watchErr     error
	watchTimeout clock.Milli
	lists        int
	staleLists   int
	results      map[string]rollout.Counts
	warnings     []quarantine.Warning
	leases       int
	// loseReplies makes writes take effect but return an error, as if the reply were lost.
	loseReplies bool
	writes      int
}

// decode decodes "upstream SERVICE", "upstream SERVICE draining", "upstream SERVICE VERSION START", "config VERSION",
// "order VERSION", "report TEXT" and "out ZONE". A configuration without a version has the store's revision as its version.
func decode(e store.Entry, now clock.Milli) (registry.Record, error) {
	kind, rest, _ := strings.Cut(e.Value, " ")
	rest, draining := strings.CutSuffix(rest, " draining")
	switch kind {
	case "upstream":
		u := &catalog.Upstream{ID: e.Key, Zone: "a", Slots: 1, Seen: now, Draining: draining}
		_, _ = fmt.Sscan(rest, &u.Service, &u.Version, &u.StartUnixMilli)

		return registry.Record{Kind: registry.Upstream, Upstream: u}, nil
	case "config":
		version, err := strconv.ParseInt(rest, 10, 64)
		if err != nil {
			version = e.Revision
		}

		return registry.Record{
			Kind: registry.Config, Config: catalog.NewConfig(version, e.Revision, nil, nil, catalog.Limits{}),
		}, nil
	case "order":
		return registry.Record{Kind: registry.Order, Order: rollout.Order{
			Service: "s", Version: rest, MaxDuration: 40 * clock.Second, Revision: e.Revision, Seen: now,
			Repeated: e.Created != 0 && e.Created < e.Revision,
		}}, nil
	case "report":
		return registry.Record{Kind: registry.Report, Text: e.Value}, nil
	case "out":
		return registry.Record{Kind: registry.ZoneOut, Zone: rest}, nil
	default:
		return registry.Record{}, errors.New("unreadable")
	}
}

func newHarness(self registry.Member) *harness {
	r := &harness{now: 1000 * clock.Second, entries: make(map[string]store.Entry)}
	list := func(prefix string) ([]store.Entry, int64, error) {
		var all []store.Entry
		for key, e := range r.entries {
			if strings.HasPrefix(key, prefix) {
				all = append(all, e)
			}
		}
		r.pending = nil

		return all, r.revision, r.storeErr
	}
	port := store.Store{
		List: func(_ context.Context, prefix string) ([]store.Entry, int64, error) {
			r.lists++

			return list(prefix)
		},
		ListStale: func(_ context.Context, prefix string) ([]store.Entry, int64, error) {
			r.staleLists++

			return list(prefix)
		},
		Watch: func(_ context.Context, _ string, after int64, wait clock.Milli) ([]store.Entry, int64, error) {
			r.watchTimeout = wait
			if r.storeErr != nil {
				return nil, 0, r.storeErr
			}
			if store.Generation(after) != store.Generation(r.revision) {
				return nil, 0, reason.NewRefusal(reason.Compacted, reason.NotExecuted, "was restored from a backup")
			}
			if r.watchErr != nil && len(r.pending) > 0 {
				return nil, 0, r.watchErr
			}
			events := r.pending
			r.pending = nil

			return events, r.revision, nil
		},
	}
	port.Put = func(_ context.Context, key, value string, expect int64, _ string) (store.WriteResult, error) {
		r.writes++
		if r.storeErr != nil {
			return store.WriteResult{}, r.storeErr
		}
		if r.entries[key].Revision != expect {
			return store.WriteResult{Current: r.entries[key]}, nil
		}
		r.put(key, value)
		if r.loseReplies {
			return store.WriteResult{}, errUnavailable
		}

		return store.WriteResult{Applied: true, Revision: r.revision}, nil
	}
	port.Grant = func(_ context.Context, span clock.Milli) (store.Lease, error) {
		r.leases++

		return store.Lease{ID: fmt.Sprint("lease ", span), Live: true, TTL: span}, r.storeErr
	}
	port.Delete = func(_ context.Context, key string, _ int64) (store.WriteResult, error) {
		r.remove(key)

		return store.WriteResult{Applied: true}, nil
	}
	r.options = registry.Options{
		Counts: func(string, catalog.Rollout) map[string]rollout.Counts { return r.results },
		EncodeReport: func(service string, m catalog.Rollout) (string, string, error) {
			return "report/" + service, "report " + string(m.Stage), nil
		},
		Now: func() clock.Milli { return r.now }, Store: port, Decode: decode,
		Record: func(event.Event) {}, Self: self,
		OnWarning: func(w quarantine.Warning) { r.warnings = append(r.warnings, w) },
	}
	r.restart()

	return r
}

// restart replaces the registry by one that knows nothing, as when its daemon restarts under the same name.
func (r *harness) restart() { r.Registry = registry.New(r.options) }

// put writes an entry, and remove deletes one. Both queue the change for the next watch.
func (r *harness) put(key, value string) {
	r.revision++
	e := store.Entry{Key: key, Value: value, Revision: r.revision, Created: r.revision}
	if old, known := r.entries[key]; known {
		e.Created = old.Created
	}
	r.entries[key] = e
	r.pending = append(r.pending, e)
}

func (r *harness) remove(key string) {
	r.revision++
	delete(r.entries, key)
	r.pending = append(r.pending, store.Entry{Key: key, Revision: r.revision, Deleted: true})
}

// copyStore returns a function that brings the store back to what it holds now, in another generation.
func (r *harness) copyStore() (restore func()) {
	entries, revision := maps.Clone(r.entries), r.revision
	generation := store.Generation(r.revision)

	return func() {
		generation++
		renumbered := func(revision int64) int64 { return store.NewRevision(generation, store.Number(revision)) }
		r.revision, r.pending = renumbered(revision), nil
		clear(r.entries)
		for key, e := range entries {
			e.Revision, e.Created = renumbered(e.Revision), renumbered(e.Created)
			r.entries[key] = e
		}
	}
}

// advance moves the clock forward and runs one iteration of the control loop.
func (r *harness) advance(span clock.Milli) {
	r.now += span
	r.Iterate(context.Background())
}

func (r *harness) member(name, zone string, cores float64) {
	r.put("jacinthferry/members/"+name, fmt.Sprintf(`{"front":"%s:1","zone":"%s","cores":%g}`, name, zone, cores))
}

var (
	self           = registry.Member{Name: "self", Zone: "a", Cores: 0.4}
	errUnavailable = reason.NewRefusal(reason.Store, reason.ExecutionUnknown, "down")
)

var _ = Describe("A registry", func() {
	usable := func(r *harness, service string) int { return len(r.View().Usable(service)) }

	It("applies entries that are written, changed and deleted", func() {
		r := newHarness(self)
		Expect(r.View()).To(BeNil())
		r.put("u1", "upstream s")
		r.put("c", "config")
		r.advance(0)
		Expect(usable(r, "s")).To(Equal(1))
		r.put("u2", "upstream s")
		r.put("z", "out a")
		r.advance(1000)
		Expect(usable(r, "s")).To(BeZero(), "the zone is out of service")
		r.remove("z")
		r.remove("u1")
		r.advance(1000)
		Expect(usable(r, "s")).To(Equal(1))
	})

	It("applies the valid entries when another cannot be decoded", func() {
		r := newHarness(self)
		r.put("u1", "upstream s")
		r.put("u2", "nonsense")
		r.advance(0)
		Expect(usable(r, "s")).To(Equal(1))
		r.put("u1", "nonsense")
		r.advance(1000)
		Expect(usable(r, "s")).To(BeZero(), "an entry that cannot be decoded registers no upstream")
	})

	It("never applies an older configuration, nor discards the last one when it is deleted", func() {
		r := newHarness(self)
		r.put("c", "config")
		r.put("c", "config")
		r.advance(0)
		Expect(r.View().Config.Revision).To(BeEquivalentTo(2))
		r.pending = []store.Entry{{Key: "c", Value: "config", Revision: 1}}
		r.advance(1000)
		Expect(r.View().Config.Revision).To(BeEquivalentTo(2))
		r.remove("c")
		r.advance(1000)
		Expect(r.View().Config).NotTo(BeNil())
	})

	It("retains upstreams that are deleted during a store failure for a grace period", func() {
		r := newHarness(self)
		r.put("u1", "upstream s")
		r.put("u2", "upstream s")
		r.advance(0)
		r.storeErr = errUnavailable
		r.advance(1000)
		Expect(usable(r, "s")).To(Equal(2))
		r.storeErr = nil
		r.remove("u1")
		r.remove("u2")
		r.advance(500)
		Expect(usable(r, "s")).To(Equal(2), "their owners may have been unable to renew their leases")
		r.put("u1", "upstream s")
		r.advance(1000)
		Expect(usable(r, "s")).To(Equal(2))
		r.advance(2600)
		Expect(usable(r, "s")).To(Equal(1), "one registered again, the other did not")
	})

	It("limits the watch timeout to the remaining grace period of deleted entries", func() {
		r := newHarness(self)
		r.put("u1", "upstream s")
		r.advance(0)
		r.advance(1000)
		defaultTimeout := r.watchTimeout
		r.storeErr = errUnavailable
		r.advance(1000)
		r.storeErr = nil
		r.remove("u1")
		r.advance(100)
		Expect(usable(r, "s")).To(Equal(1))
		remaining := 2500 * clock.Millisecond
		for usable(r, "s") > 0 {
			r.advance(400)
			remaining -= 400
			Expect(r.watchTimeout).To(BeNumerically("<=", max(10, remaining)))
			r.now += r.watchTimeout
			remaining -= r.watchTimeout
		}
		Expect(remaining).To(BeNumerically(">", -500))
		r.advance(400)
		Expect(r.watchTimeout).To(Equal(defaultTimeout))
	})

	It("reloads all entries when the store has compacted its history, and removes those that are missing", func() {
		r := newHarness(self)
		r.put("u1", "upstream s")
		r.put("u2", "upstream s")
		r.advance(0)
		r.storeErr = reason.NewRefusal(reason.Compacted, reason.NotExecuted, "")
		r.remove("u1")
		r.advance(1000)
		r.storeErr = nil
		before := r.lists
		r.advance(3000)
		Expect(r.lists).To(Equal(before + 1))
		Expect(usable(r, "s")).To(Equal(1))
	})

	// Guards against the incident inc-d109 of houtem-zoek-grown: callers were refused up to 0.9 s longer than the store
	// was away.
	It("asks a store that fails often until it can serve, and less often after that", func() {
		longest := func(r *harness) clock.Milli {
			wait := clock.Milli(0)
			for range 30 {
				wait = max(wait, r.Iterate(context.Background()))
				r.now += wait
			}

			return wait
		}
		r := newHarness(self)
		r.storeErr = errUnavailable
		Expect(longest(r)).To(BeNumerically("<=", 250))
		r.storeErr = nil
		r.put("c", "config")
		r.advance(0)
		Expect(r.View()).NotTo(BeNil())
		r.storeErr = errUnavailable
		Expect(longest(r)).To(BeNumerically("~", 600, 200))
	})

	It("counts daemons that may still be sending, and assumes a minimum after its start", func() {
		r := newHarness(self)
		r.member("self", "a", 0.4)
		r.advance(0)
		Expect(r.DaemonCount()).To(Equal(16))
		for i := range 6 {
			r.member(fmt.Sprint("other", i), fmt.Sprint("zone", i), 0.4)
		}
		r.advance(5000)
		Expect(r.DaemonCount()).To(Equal(7))
		for i := range 6 {
			r.remove(fmt.Sprint("jacinthferry/members/other", i))
		}
		r.advance(1000)
		Expect(r.DaemonCount()).To(Equal(7), "daemons that are no longer registered may still be sending")
		r.put("u1", "upstream s")
		r.advance(16_000)
		Expect(r.DaemonCount()).To(Equal(1))
	})

	It("goes on standby when larger daemons serve the requests, and replaces one that is lost", func() {
		r := newHarness(registry.Member{Name: "self", Zone: "a", Cores: 0.2})
		r.put("c", "config")
		r.member("self", "a", 0.2)
		r.member("large1", "a", 0.8)
		r.member("large2", "a", 0.8)
		r.member("far", "b", 0.2)
		r.advance(0)
		Expect(r.Standby()).To(BeTrue())
		Expect(r.staleLists).To(Equal(1))
		Expect(r.lists).To(BeZero(), "it looks who serves before it reads everything")
		Expect(r.View().Config).To(BeNil(), "a standby daemon discards a configuration that it does not keep up to date")
		names := func() []string {
			var list []string
			for _, m := range r.State().Members {
				list = append(list, m.Name)
			}

			return list
		}
		Expect(names()).To(Equal([]string{"far", "large1", "large2"}))
		r.remove("jacinthferry/members/large1")
		r.advance(3000)
		Expect(r.Standby()).To(BeFalse())
		Expect(r.View().Config).NotTo(BeNil())
		Expect(names()).To(Equal([]string{"far", "large2", "self"}))
	})

	It("keeps watching the store for a while after others replace it", func() {
		r := newHarness(registry.Member{Name: "self", Zone: "a", Cores: 0.2})
		r.put("c", "config")
		r.put("u1", "upstream s")
		r.member("self", "a", 0.2)
		r.advance(0)
		r.advance(2500)
		Expect(r.Standby()).To(BeFalse())
		r.member("large1", "a", 0.8)
		r.member("large2", "a", 0.8)
		r.advance(1000)
		Expect(r.Standby()).To(BeTrue())
		r.remove("u1")
		r.advance(5000)
		Expect(usable(r, "s")).To(BeZero(), "it still watches the store")
		Expect(r.View().Config).NotTo(BeNil())
		r.advance(5000)
		Expect(r.View().Config).To(BeNil())
	})

	// Guards against review/2: a daemon repeated a watch whose answer it could not read, which only grew longer.
	for _, word := range []reason.Code{reason.Size, reason.Invalid} {
		It("reads the store anew when it cannot read the answer to a watch, and says so: "+string(word), func() {
			r := newHarness(self)
			var events []event.Event
			r.options.Record = func(e event.Event) { events = append(events, e) }
			r.restart()
			r.put("c", "config 1")
			r.advance(0)
			r.watchErr = reason.NewRefusal(word, reason.ExecutionUnknown, "unreadable answer")
			r.put("c", "config 2")
			r.advance(1000)
			r.advance(1000)
			Expect(r.View().Config.Version).To(BeEquivalentTo(2))
			Expect(events).To(ContainElement(And(
				HaveField("Kind", event.Store), HaveField("Reason", word), HaveField("Detail", ContainSubstring("reads everything anew")),
			)))
		})
	}
})
