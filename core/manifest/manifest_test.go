package manifest_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"jacinthferry/core/config"
	"jacinthferry/core/manifest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// newConfig returns a configuration with the given numbers of services and of upstreams per service.
func newConfig(services, upstreams int) config.Config {
	c := config.Config{Zones: []config.Zone{{Name: "a"}, {Name: "b", Out: true}}}
	for s := range services {
		v := config.Version{Name: "v1", Share: 1}
		for u := range upstreams {
			v.Upstreams = append(v.Upstreams, config.Upstream{
				Name: fmt.Sprintf("s%d-u%d", s, u), Address: fmt.Sprintf("10.%d.%d.%d:8080", s, u/256, u%256),
				Zone: "a", Slots: 2, MaxConnections: 25, ColdLimit: 1,
			})
		}
		c.Services = append(c.Services, config.Service{
			Name: fmt.Sprintf("s%d", s), Versions: []config.Version{v, {Name: "v2"}},
		})
	}

	return c
}

func newRecord(n int) manifest.RevisionInfo {
	return manifest.RevisionInfo{Nonce: fmt.Sprintf("n%d", n), Who: "ann"}
}

// acceptNext returns the snapshot of c as the store accepts it after old.
func acceptNext(old *manifest.Snapshot, c config.Config) *manifest.Snapshot {
	revision := old.Revision() + 7
	next, err := old.Next(c, newRecord(int(revision)))
	Expect(err).NotTo(HaveOccurred())

	return next.WithRevision(revision)
}

// upstreamsByName returns the upstreams of a configuration by their qualified names.
func upstreamsByName(c config.Config) map[string]config.Upstream {
	all := make(map[string]config.Upstream)
	for _, s := range c.Services {
		for _, v := range s.Versions {
			for _, u := range v.Upstreams {
				all[s.Name+"/"+v.Name+"/"+u.Name] = u
			}
		}
	}

	return all
}

var _ = Describe("a manifest", func() {
	It("restores the configuration from the values in the store", func() {
		for _, n := range []int{0, 1, 32, 33, 500} {
			s := acceptNext(nil, newConfig(3, n))
			text, err := s.Head.Encode()
			Expect(err).NotTo(HaveOccurred())
			head, err := manifest.DecodeHead(text, s.Revision())
			Expect(err).NotTo(HaveOccurred())
			joined, err := manifest.Join(head, s.PartText, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(upstreamsByName(joined.Config)).To(Equal(upstreamsByName(s.Config)))
			Expect(joined.Config.Zones).To(Equal(s.Config.Zones))
			Expect(joined.Config.Services).To(HaveLen(3))
			Expect(joined.Config.Services[0].Versions).To(HaveLen(2))
		}
	})

	It("keeps values far below the store's size limit at 64,000 upstreams", func() {
		s := acceptNext(nil, newConfig(34, 1900))
		text, err := s.Head.Encode()
		Expect(err).NotTo(HaveOccurred())
		Expect(len(text)).To(BeNumerically("<", 1<<20))
		for _, name := range s.Head.PartNames {
			Expect(len(s.PartText(name))).To(BeNumerically("<", 1<<20))
		}
	})

	It("sends only what changed", func() {
		old := acceptNext(nil, newConfig(3, 500))
		c := newConfig(3, 500)
		c.Services[1].Versions[0].Upstreams[77].Slots = 4
		next := acceptNext(old, c.WithZoneOut("b", false))
		change, err := next.Diff(old)
		Expect(err).NotTo(HaveOccurred())
		Expect(change.AddedParts).To(HaveLen(1))
		Expect(change.RemovedParts).To(HaveLen(1))
		got, err := change.Apply(old)
		Expect(err).NotTo(HaveOccurred())
		Expect(got.Revision()).To(Equal(next.Revision()))
		Expect(upstreamsByName(got.Config)).To(Equal(upstreamsByName(next.Config)))
		Expect(got.Config.ZoneOut("b")).To(BeFalse())
		whole, err := next.Diff(nil)
		Expect(err).NotTo(HaveOccurred())
		got, err = whole.Apply(nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(upstreamsByName(got.Config)).To(Equal(upstreamsByName(next.Config)))
	})

	It("rejects a change from another revision, and parts whose content does not match their name", func() {
		first := acceptNext(nil, newConfig(1, 5))
		second := acceptNext(first, newConfig(1, 6))
		third := acceptNext(second, newConfig(1, 7))
		change, err := third.Diff(second)
		Expect(err).NotTo(HaveOccurred())
		_, err = change.Apply(first)
		Expect(err).To(MatchError(manifest.ErrWrongBase))
		_, err = change.Apply(nil)
		Expect(err).To(MatchError(manifest.ErrWrongBase))
		change.AddedParts[0].Text = `{"name":"s0"}`
		_, err = change.Apply(second)
		Expect(err).To(MatchError(manifest.ErrInvalid))
	})

	It("moves old changes into pages without losing any", func() {
		s := acceptNext(nil, newConfig(1, 1))
		var paged []manifest.RevisionInfo
		const changes = 200
		for range changes {
			var page []manifest.RevisionInfo
			s = acceptNext(s, newConfig(1, 1))
			s, page = s.ExtractPage()
			paged = append(paged, page...)
		}
		Expect(len(s.Head.RecentRevisions) + len(paged)).To(Equal(changes))
		Expect(len(s.Head.RecentRevisions)).To(BeNumerically("<", 2*manifest.HistoryPageSize))
		Expect(s.Head.PageCount * manifest.HistoryPageSize).To(Equal(len(paged)))
	})
})

func FuzzHead(f *testing.F) {
	f.Add(`{"nonce":"n","at":"1ms","base":{"zones":[{"name":"a"}]},"parts":["x-n"]}`, `{"name":"s"}`)
	f.Fuzz(func(t *testing.T, text, part string) {
		head, err := manifest.DecodeHead(text, 1)
		if err != nil {
			return
		}
		s, err := manifest.Join(head, func(string) string { return part }, nil)
		if err == nil && len(s.Config.Services) > len(head.PartNames) {
			t.Fatal("more services than parts")
		}
	})
}

func FuzzChange(f *testing.F) {
	old, err := (*manifest.Snapshot)(nil).Next(newConfig(2, 40), newRecord(1))
	if err != nil {
		f.Fatal(err)
	}
	old = old.WithRevision(3)
	before, _ := json.Marshal(old.Config)
	f.Add(int64(3), int64(9), `{"nonce":"m","at":"1ms"}`, old.Head.PartNames[0], "x-m", `{"name":"s0"}`)
	f.Fuzz(func(t *testing.T, from, to int64, head, removed, name, text string) {
		c := manifest.Change{From: from, To: to, Head: head, RemovedParts: []string{removed}, AddedParts: []manifest.Part{{Name: name, Text: text}}}
		_, _ = c.Apply(old)
		if after, _ := json.Marshal(old.Config); string(after) != string(before) {
			t.Fatal("Apply changed the snapshot that it was applied to")
		}
	})
}

// BenchmarkOneChange measures how a daemon applies the change of one of 64,600 upstreams.
func BenchmarkOneChange(b *testing.B) {
	c := newConfig(34, 1900)
	old, err := (*manifest.Snapshot)(nil).Next(c, newRecord(1))
	if err != nil {
		b.Fatal(err)
	}
	old = old.WithRevision(1)
	c.Services[1].Versions[0].Upstreams[77].Slots++
	next, err := old.Next(c, newRecord(2))
	if err != nil {
		b.Fatal(err)
	}
	change, err := next.WithRevision(2).Diff(old)
	if err != nil {
		b.Fatal(err)
	}
	size := len(change.Head)
	for _, p := range change.AddedParts {
		size += len(p.Text)
	}
	for b.Loop() {
		if _, err := change.Apply(old); err != nil {
			b.Fatal(err)
		}
	}
	text, _ := old.Head.Encode()
	b.ReportMetric(float64(size), "changebytes")
	b.ReportMetric(float64(len(text)), "headbytes")
	b.ReportMetric(float64(len(old.Head.PartNames)), "parts")
}
