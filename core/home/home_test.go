package home_test

import (
	"jacinthferry/core/clock"
	"jacinthferry/core/home"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("an ownership", func() {
	rules := &home.Config{MembershipLag: 40, MaxLegDuration: 30, OverrunMargin: 10}
	noCandidates := func() []string { return nil }

	holder := func() *home.Ownership {
		t := home.New(rules, "u")
		t.Advance(0, 0, noCandidates)
		t.Claim(0, nil)
		for now := clock.Milli(0); now <= rules.SafeDelay(); now += 10 {
			t.Advance(now, now, noCandidates)
		}
		Expect(t.Held()).To(BeTrue())

		return t
	}

	It("sends nothing until a former holder that does not answer can have no running legs", func() {
		t := home.New(rules, "u")
		Expect(t.Claim(0, []string{"b"})).To(HaveLen(1))
		t.Advance(79, 79, noCandidates)
		Expect(t.MaxLegs(1, 2)).To(BeZero())
	})

	It("takes over at once when the holder hands over", func() {
		old, next := holder(), home.New(rules, "u")
		next.Advance(100, 100, noCandidates)
		claim := next.Claim(100, []string{"old"})[0]
		reply := old.HandleClaim(100, "next", claim.Message.Epoch, true, 0)
		Expect(reply.Message.Kind).To(Equal(home.Deny), "the holder's own table still makes it the home")
		old.Release(101)
		reply = old.HandleClaim(101, "next", claim.Message.Epoch, true, 2)
		Expect(reply.Message.FromHolder).To(BeTrue())
		Expect(old.MaxLegs(1, 2)).To(BeZero())
		next.HandleReply(101, "old", reply.Message)
		next.Advance(101, 101, noCandidates)
		Expect(next.Held()).To(BeFalse())
		Expect(next.MaxLegs(1, 2)).To(BeZero(), "cold limit 1, 2 legs still running")
		Expect(next.MaxLegs(3, 4)).To(Equal(1), "cold limit 3, 2 legs still running")
		confirmed, due := old.HandleLegsEnded()
		Expect(due).To(BeTrue())
		Expect(old.Discardable(102)).To(BeFalse(), "the confirmation can be lost")
		Expect(old.HandleClaim(102, "next", claim.Message.Epoch, true, 0).Message.FromHolder).To(BeTrue())
		next.HandleReply(102, "old", confirmed.Message)
		next.Advance(102, 102, noCandidates)
		Expect(next.MaxLegs(1, 2)).To(Equal(2))
	})

	It("keeps sending for the grace period after the table has changed, until the successor claims", func() {
		graceful := &home.Config{MembershipLag: 40, HandoverGrace: 20, MaxLegDuration: 30, OverrunMargin: 10}
		t := home.New(graceful, "u")
		t.Advance(0, 0, noCandidates)
		t.Claim(0, nil)
		for now := clock.Milli(0); now <= graceful.SafeDelay(); now += 10 {
			t.Advance(now, now, noCandidates)
		}
		t.Release(110)
		t.Advance(120, 120, noCandidates)
		Expect(t.MaxLegs(1, 2)).To(Equal(2))
		t.Advance(130, 130, noCandidates)
		Expect(t.MaxLegs(1, 2)).To(BeZero())
		Expect(t.HandleClaim(131, "next", 1, true, 0).Message.FromHolder).To(BeTrue())
	})

	It("is lost when the process was paused", func() {
		t := holder()
		t.Advance(1000, 90, noCandidates)
		Expect(t.MaxLegs(1, 2)).To(BeZero())
		t = holder()
		t.Advance(1000, 1000, noCandidates)
		Expect(t.MaxLegs(1, 2)).To(BeZero(), "confirmed again, but other daemons may have claimed in the meantime")
	})

	It("ignores a reply to an earlier claim", func() {
		t := home.New(rules, "u")
		t.Advance(100, 100, noCandidates)
		claim := t.Claim(100, []string{"old"})[0]
		t.HandleReply(101, "old", home.Message{Kind: home.Yield, Epoch: claim.Message.Epoch - 1, FromHolder: true})
		t.Advance(101, 101, noCandidates)
		Expect(t.Held()).To(BeFalse())
	})

	It("claims again after it yielded to a claimant that never became the holder", func() {
		t := holder()
		t.HandleClaim(90, "a", 7, false, 0)
		Expect(t.Advance(100, 100, noCandidates)).To(BeEmpty())
		claims := t.Advance(171, 131, noCandidates)
		Expect(claims).To(HaveLen(1))
		Expect(claims[0].To).To(Equal("a"))
	})
})
