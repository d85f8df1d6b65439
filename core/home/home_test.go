package home_test

import (
	"jacinthferry/core/clock"
	"jacinthferry/core/home"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("an ownership", func() {
	rules := &home.Rules{Lag: 40, Longest: 30, Margin: 10}
	noCandidates := func() []string { return nil }

	holder := func() *home.Ownership {
		t := home.New(rules, "u")
		t.Check(0, 0, noCandidates)
		t.Claim(0, nil)
		for now := clock.Milli(0); now <= rules.Wait(); now += 10 {
			t.Check(now, now, noCandidates)
		}
		Expect(t.Held()).To(BeTrue())

		return t
	}

	It("sends nothing until a former holder that does not answer can have no running legs", func() {
		t := home.New(rules, "u")
		Expect(t.Claim(0, []string{"b"})).To(HaveLen(1))
		t.Check(79, 79, noCandidates)
		Expect(t.Allowed(1, 2)).To(BeZero())
	})

	It("takes over at once when the holder hands over", func() {
		old, next := holder(), home.New(rules, "u")
		next.Check(100, 100, noCandidates)
		claim := next.Claim(100, []string{"old"})[0]
		reply := old.Asked(100, "next", claim.Message.Epoch, true, 0)
		Expect(reply.Message.Kind).To(Equal(home.Deny), "the holder's own table still makes it the home")
		old.Release(101)
		reply = old.Asked(101, "next", claim.Message.Epoch, true, 2)
		Expect(reply.Message.Held).To(BeTrue())
		Expect(old.Allowed(1, 2)).To(BeZero())
		next.Replied(101, "old", reply.Message)
		next.Check(101, 101, noCandidates)
		Expect(next.Held()).To(BeFalse())
		Expect(next.Allowed(1, 2)).To(BeZero(), "cold limit 1, 2 legs still running")
		Expect(next.Allowed(3, 4)).To(Equal(1), "cold limit 3, 2 legs still running")
		confirmed, due := old.Ended()
		Expect(due).To(BeTrue())
		Expect(old.Idle(102)).To(BeFalse(), "the confirmation can be lost")
		Expect(old.Asked(102, "next", claim.Message.Epoch, true, 0).Message.Held).To(BeTrue())
		next.Replied(102, "old", confirmed.Message)
		next.Check(102, 102, noCandidates)
		Expect(next.Allowed(1, 2)).To(Equal(2))
	})

	It("keeps sending for the grace period after the table has changed, until the successor claims", func() {
		graceful := &home.Rules{Lag: 40, Grace: 20, Longest: 30, Margin: 10}
		t := home.New(graceful, "u")
		t.Check(0, 0, noCandidates)
		t.Claim(0, nil)
		for now := clock.Milli(0); now <= graceful.Wait(); now += 10 {
			t.Check(now, now, noCandidates)
		}
		t.Release(110)
		t.Check(120, 120, noCandidates)
		Expect(t.Allowed(1, 2)).To(Equal(2))
		t.Check(130, 130, noCandidates)
		Expect(t.Allowed(1, 2)).To(BeZero())
		Expect(t.Asked(131, "next", 1, true, 0).Message.Held).To(BeTrue())
	})

	It("is lost when the process was paused", func() {
		t := holder()
		t.Check(1000, 90, noCandidates)
		Expect(t.Allowed(1, 2)).To(BeZero())
		t = holder()
		t.Check(1000, 1000, noCandidates)
		Expect(t.Allowed(1, 2)).To(BeZero(), "confirmed again, but other daemons may have claimed in the meantime")
	})

	It("ignores a reply to an earlier claim", func() {
		t := home.New(rules, "u")
		t.Check(100, 100, noCandidates)
		claim := t.Claim(100, []string{"old"})[0]
		t.Replied(101, "old", home.Message{Kind: home.Yield, Epoch: claim.Message.Epoch - 1, Held: true})
		t.Check(101, 101, noCandidates)
		Expect(t.Held()).To(BeFalse())
	})

	It("claims again after it yielded to a claimant that never became the holder", func() {
		t := holder()
		t.Asked(90, "a", 7, false, 0)
		Expect(t.Check(100, 100, noCandidates)).To(BeEmpty())
		claims := t.Check(171, 131, noCandidates)
		Expect(claims).To(HaveLen(1))
		Expect(claims[0].To).To(Equal("a"))
	})
})
