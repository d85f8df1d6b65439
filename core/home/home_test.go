package home_test

import (
	"jacinthferry/core/clock"
	"jacinthferry/core/home"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("an ownership", func() {
	rules := &home.Rules{Lag: 40, Longest: 30, Margin: 10}
	none := func() []string { return nil }

	holder := func() *home.Ownership {
		t := home.New(rules, "u")
		t.Check(0, 0, none)
		t.Claim(0, nil)
		for now := clock.Milli(0); now <= rules.Wait(); now += 10 {
			t.Check(now, now, none)
		}
		Expect(t.Held()).To(BeTrue())

		return t
	}

	It("sends nothing before the time of a silent former holder is over", func() {
		t := home.New(rules, "u")
		Expect(t.Claim(0, []string{"b"})).To(HaveLen(1))
		t.Check(79, 79, none)
		Expect(t.Allowed(1, 2)).To(BeZero())
	})

	It("takes over at once when the holder hands over", func() {
		old, next := holder(), home.New(rules, "u")
		next.Check(100, 100, none)
		ask := next.Claim(100, []string{"old"})[0]
		reply := old.Asked(100, "next", ask.Message.Epoch, true, 0)
		Expect(reply.Message.Kind).To(Equal(home.Deny), "the holder's own table still makes it the home")
		old.Release(101)
		reply = old.Asked(101, "next", ask.Message.Epoch, true, 2)
		Expect(reply.Message.Held).To(BeTrue())
		Expect(old.Allowed(1, 2)).To(BeZero())
		next.Replied(101, "old", reply.Message)
		next.Check(101, 101, none)
		Expect(next.Held()).To(BeFalse())
		Expect(next.Allowed(1, 2)).To(BeZero(), "bears 1, 2 still run")
		Expect(next.Allowed(3, 4)).To(Equal(1), "bears 3, 2 still run")
		confirmed, owed := old.Ended()
		Expect(owed).To(BeTrue())
		Expect(old.Idle(102)).To(BeFalse(), "the answer can be lost")
		Expect(old.Asked(102, "next", ask.Message.Epoch, true, 0).Message.Held).To(BeTrue())
		next.Replied(102, "old", confirmed.Message)
		next.Check(102, 102, none)
		Expect(next.Allowed(1, 2)).To(Equal(2))
	})

	It("is used a while after the table has changed, until the successor asks", func() {
		graceful := &home.Rules{Lag: 40, Grace: 20, Longest: 30, Margin: 10}
		t := home.New(graceful, "u")
		t.Check(0, 0, none)
		t.Claim(0, nil)
		for now := clock.Milli(0); now <= graceful.Wait(); now += 10 {
			t.Check(now, now, none)
		}
		t.Release(110)
		t.Check(120, 120, none)
		Expect(t.Allowed(1, 2)).To(Equal(2))
		t.Check(130, 130, none)
		Expect(t.Allowed(1, 2)).To(BeZero())
		Expect(t.Asked(131, "next", 1, true, 0).Message.Held).To(BeTrue())
	})

	It("is lost by a process that was paused", func() {
		t := holder()
		t.Check(1000, 90, none)
		Expect(t.Allowed(1, 2)).To(BeZero())
		t = holder()
		t.Check(1000, 1000, none)
		Expect(t.Allowed(1, 2)).To(BeZero(), "confirmed again, but others may have acted meanwhile")
	})

	It("ignores a reply to another claim", func() {
		t := home.New(rules, "u")
		t.Check(100, 100, none)
		ask := t.Claim(100, []string{"old"})[0]
		t.Replied(101, "old", home.Message{Kind: home.Yield, Epoch: ask.Message.Epoch - 1, Held: true})
		t.Check(101, 101, none)
		Expect(t.Held()).To(BeFalse())
	})

	It("claims again after it gave way to a claimant that never came to hold", func() {
		t := holder()
		t.Asked(90, "a", 7, false, 0)
		Expect(t.Check(100, 100, none)).To(BeEmpty())
		asks := t.Check(171, 131, none)
		Expect(asks).To(HaveLen(1))
		Expect(asks[0].To).To(Equal("a"))
	})
})
