package pick_test

import (
	"math/rand/v2"

	"jacinthferry/core/clock"
	"jacinthferry/core/pick"
	"jacinthferry/core/route"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the choice of a replica", func() {
	replicas := []route.Replica{
		{Upstream: "a", Zone: "x", Home: "1"},
		{Upstream: "b", Zone: "x", Home: "1"},
		{Upstream: "c", Zone: "x", Home: "2"},
		{Upstream: "d", Zone: "y", Home: "3"},
	}
	newSet := func(method pick.Method) *pick.Balancer { return pick.New(method, rand.New(rand.NewPCG(1, 1))) }
	methods := []pick.Method{pick.PowerOfTwo, pick.LeastInFlight, pick.LowestWait, pick.RoundRobin}

	for _, method := range methods {
		It("never chooses a replica twice and returns -1 when all were tried, by "+string(method), func() {
			s := newSet(method)
			tried := uint64(0)
			for range replicas {
				i := s.Choose(0, replicas, tried)
				Expect(tried & (1 << i)).To(BeZero())
				tried |= 1 << i
			}
			Expect(s.Choose(0, replicas, tried)).To(Equal(-1))
		})

		It("prefers another home and zone for a further leg, by "+string(method), func() {
			s := newSet(method)
			Expect(s.Choose(0, replicas, 0b0001)).To(Equal(3))
			Expect(s.Choose(0, replicas, 0b1001)).To(Equal(2))
			Expect(s.Choose(0, replicas, 0b1101)).To(Equal(1))
		})
	}

	for _, method := range []pick.Method{pick.PowerOfTwo, pick.LowestWait} {
		It("avoids busy, slow and failing upstreams, by "+string(method), func() {
			for _, degrade := range []func(*pick.Balancer, string){
				func(s *pick.Balancer, u string) { s.Sent(u) },
				func(s *pick.Balancer, u string) { s.Done(1, u, 50, true) },
				func(s *pick.Balancer, u string) { s.Done(1, u, 1, false) },
				func(s *pick.Balancer, u string) { s.Cancelled(1, u, 500) },
			} {
				s := newSet(method)
				for _, r := range replicas[:2] {
					s.Done(1, r.Upstream, 5, true)
				}
				degrade(s, "a")
				for range 20 {
					Expect(s.Choose(2, replicas[:2], 0)).To(Equal(1))
				}
			}
		})
	}

	It("chooses an upstream again that was slow long ago", func() {
		s := newSet(pick.LowestWait)
		s.Done(1, "a", 500, true)
		s.Done(1, "b", 5, true)
		Expect(s.Choose(2, replicas[:2], 0)).To(Equal(1))
		later := clock.Hour
		s.Done(later, "b", 5, true)
		Expect(s.Choose(later, replicas[:2], 0)).To(Equal(0))
	})

	It("removes upstreams that are gone, except those with legs in flight", func() {
		s := newSet(pick.LowestWait)
		for _, u := range []string{"a", "b", "c"} {
			s.Sent(u)
		}
		s.Done(1, "a", 1, true)
		s.Done(1, "b", 1, true)
		s.Prune(func(u string) bool { return u == "a" })
		Expect(s.Len()).To(Equal(2))
	})
})
