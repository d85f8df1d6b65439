package spread_test

import (
	"fmt"

	"jacinthferry/core/clock"
	"jacinthferry/core/config"
	"jacinthferry/core/manifest"
	"jacinthferry/core/spread"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// revisions returns n consecutive revisions.
func revisions(n int) []*manifest.Snapshot {
	var list []*manifest.Snapshot
	var last *manifest.Snapshot
	for i := range n {
		c := config.Config{Services: []config.Service{{Name: fmt.Sprintf("s%d", i)}, {Name: "same"}}}
		next, err := last.Next(c, manifest.RevisionInfo{Nonce: fmt.Sprintf("n%d", i)})
		Expect(err).NotTo(HaveOccurred())
		last = next.WithRevision(int64(10 * (i + 1)))
		list = append(list, last)
	}

	return list
}

var _ = Describe("spreading", func() {
	It("requests a newer revision from one daemon at a time, and from another when that one does not answer", func() {
		var s spread.Disseminator
		Expect(s.HandleAnnouncement(0, "a", 10)).To(HaveLen(1))
		Expect(s.HandleAnnouncement(1, "b", 10)).To(BeEmpty())
		Expect(s.HandleAnnouncement(clock.Second, "b", 10)).To(HaveLen(1))
	})

	It("never returns to an older revision, in whatever order revisions and changes arrive", func() {
		list := revisions(5)
		var s spread.Disseminator
		highest := int64(0)
		for _, i := range []int{2, 0, 1, 2, 4, 3, 4, 0} {
			_, newer := s.Adopt(list[i], nil, "")
			Expect(newer).To(Equal(list[i].Revision() > highest))
			highest = max(highest, list[i].Revision())
			Expect(s.Current().Revision()).To(Equal(highest))
			change, err := list[1].Diff(list[0])
			Expect(err).NotTo(HaveOccurred())
			_, newer, err = s.HandleChange(0, "a", change, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(newer).To(BeFalse())
		}
	})

	It("requests the whole revision when a change has another base, and keeps its revision until then", func() {
		list := revisions(3)
		var s, other spread.Disseminator
		s.Adopt(list[0], nil, "")
		other.Adopt(list[1], nil, "")
		other.Adopt(list[2], nil, "")
		wrong, err := list[2].Diff(list[1])
		Expect(err).NotTo(HaveOccurred())
		sends, newer, err := s.HandleChange(0, "a", wrong, nil)
		Expect(err).To(MatchError(manifest.ErrWrongBase))
		Expect(newer).To(BeFalse())
		Expect(s.Current()).To(Equal(list[0]))
		Expect(sends[0].Message).To(Equal(spread.Message{Kind: spread.Request}))
		answer, err := other.HandleRequest("s", sends[0].Message.Revision)
		Expect(err).NotTo(HaveOccurred())
		_, newer, err = s.HandleChange(0, "a", answer[0].Message.Change, []string{"a", "b"})
		Expect(err).NotTo(HaveOccurred())
		Expect(newer).To(BeTrue())
		Expect(s.Current().Config).To(Equal(list[2].Config))
	})

	It("lets two daemons of each availability zone watch the store", func() {
		for _, n := range []int{1, 2, 3, 50} {
			var names []string
			for i := range n {
				names = append(names, fmt.Sprintf("d%d", i))
			}
			watching := 0
			for _, name := range names {
				if spread.ShouldWatch(name, "z", names) {
					watching++
				}
			}
			Expect(watching).To(Equal(min(n, spread.WatchersPerZone)))
		}
	})
})
