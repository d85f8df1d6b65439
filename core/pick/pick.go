package pick

import (
	"math/bits"
	"math/rand/v2"

	"jacinthferry/core/clock"
	"jacinthferry/core/route"
)

// Method is a load balancing method.
type Method string

// The load balancing methods.
const (
	// PowerOfTwo takes the one with the lower expected wait of two replicas chosen at random.
	PowerOfTwo Method = "two"
	// LeastInFlight takes the replica with the fewest legs in flight.
	LeastInFlight Method = "least"
	// LowestWait takes the replica with the lowest expected wait.
	LowestWait Method = "score"
	// RoundRobin takes the replicas in turn.
	RoundRobin Method = "robin"
)

// Valid reports whether w is one of the load balancing methods.
func (w Method) Valid() bool {
	return w == PowerOfTwo || w == LeastInFlight || w == LowestWait || w == RoundRobin
}

const (
	// gain is the weight of a new sample in the moving averages.
	gain = 0.2
	// decayTime is the time after which an average without a new sample counts for half, so that an
	// upstream that was slow once is tried again.
	decayTime = 5 * clock.Second
	// failureWeight is by how many times the expected wait grows at an upstream that always fails.
	failureWeight = 20
	// MaxReplicas is the number of replicas of one shard that Choose considers: one for each bit of tried.
	MaxReplicas = 64
)

// state is the observed state of one upstream.
type state struct {
	latency  float32
	failures float32
	inFlight int32
	updated  clock.Milli
}

// Balancer holds what one thread observed of the upstreams that it sends legs to. It is not safe for
// concurrent use.
type Balancer struct {
	method Method
	random *rand.Rand
	states map[string]*state
	turn   uint64
}

// New returns an empty set that chooses by the given method.
func New(method Method, random *rand.Rand) *Balancer {
	return &Balancer{method: method, random: random, states: make(map[string]*state)}
}

// Len returns the number of known upstreams.
func (s *Balancer) Len() int { return len(s.states) }

// Prune removes the upstreams that have no leg in flight and are not wanted any more.
func (s *Balancer) Prune(wanted func(upstream string) bool) {
	for name, u := range s.states {
		if u.inFlight == 0 && !wanted(name) {
			delete(s.states, name)
		}
	}
}

// Sent records that a leg was sent to the upstream.
func (s *Balancer) Sent(upstream string) { s.state(upstream).inFlight++ }

// Done records that a leg ended after the given time, and whether it succeeded.
func (s *Balancer) Done(now clock.Milli, upstream string, elapsed clock.Milli, ok bool) {
	u := s.state(upstream)
	u.inFlight = max(0, u.inFlight-1)
	failed := float32(1)
	if ok {
		failed = 0
	}
	if u.updated == 0 {
		u.latency, u.failures = float32(elapsed), failed
	}
	// An early failure says nothing about the latency.
	if ok || float32(elapsed) > u.latency {
		u.latency += gain * (float32(elapsed) - u.latency)
	}
	u.failures += gain * (failed - u.failures)
	u.updated = now
}

// Cancelled records that a leg was cancelled after the given time. Its latency is at least that.
func (s *Balancer) Cancelled(now clock.Milli, upstream string, elapsed clock.Milli) {
	u := s.state(upstream)
	u.inFlight = max(0, u.inFlight-1)
	if float32(elapsed) > u.latency {
		u.latency += gain * (float32(elapsed) - u.latency)
		u.updated = now
	}
}

// Choose returns the index of the replica to send to, or -1 if all were tried. Bit i of tried is set
// if replica i was tried before. Replicas in another availability zone and with another home than the
// tried ones are preferred.
func (s *Balancer) Choose(now clock.Milli, replicas []route.Replica, tried uint64) int {
	all := uint64(1)<<min(len(replicas), MaxReplicas) - 1
	if len(replicas) >= MaxReplicas {
		all = ^uint64(0)
	}
	remaining := all &^ tried
	if remaining == 0 {
		return -1
	}
	if tried != 0 && remaining&(remaining-1) != 0 {
		remaining = preferDisjoint(replicas, tried, remaining)
	}
	switch s.method {
	case RoundRobin:
		s.turn++

		return nthBit(remaining, int(s.turn%uint64(bits.OnesCount64(remaining))))
	case LeastInFlight:
		return s.lowestCost(replicas, remaining, func(u *state) float32 { return float32(u.inFlight) })
	case LowestWait:
		return s.lowestCost(replicas, remaining, func(u *state) float32 { return u.expectedWait(now) })
	default:
		return s.chooseOfTwo(now, replicas, remaining)
	}
}

// chooseOfTwo returns the one with the lower expected wait of two replicas chosen at random.
func (s *Balancer) chooseOfTwo(now clock.Milli, replicas []route.Replica, remaining uint64) int {
	n := bits.OnesCount64(remaining)
	a := nthBit(remaining, s.random.IntN(n))
	if n == 1 {
		return a
	}
	b := nthBit(remaining&^(1<<a), s.random.IntN(n-1))
	if s.state(replicas[b].Upstream).expectedWait(now) < s.state(replicas[a].Upstream).expectedWait(now) {
		return b
	}

	return a
}

// lowestCost returns the replica with the lowest cost. Ties are broken at random.
func (s *Balancer) lowestCost(replicas []route.Replica, remaining uint64, cost func(*state) float32) int {
	best, ties := -1, 0
	var lowest float32
	for rest := remaining; rest != 0; rest &= rest - 1 {
		i := bits.TrailingZeros64(rest)
		c := cost(s.state(replicas[i].Upstream))
		switch {
		case best < 0 || c < lowest:
			best, lowest, ties = i, c, 1
		case c == lowest:
			ties++
			if s.random.IntN(ties) == 0 {
				best = i
			}
		}
	}

	return best
}

// expectedWait returns the time that a new leg is expected to take, including the legs in flight before it.
func (u *state) expectedWait(now clock.Milli) float32 {
	age := max(0, now-u.updated)
	weight := float32(decayTime / (decayTime + age))

	return (float32(u.inFlight) + 1) * (1 + u.latency*weight) * (1 + failureWeight*u.failures*weight)
}

func (s *Balancer) state(upstream string) *state {
	u := s.states[upstream]
	if u == nil {
		u = &state{}
		s.states[upstream] = u
	}

	return u
}

// preferDisjoint returns the remaining replicas that share neither zone nor home with a tried one;
// failing that, those that share no home; failing that, all remaining ones.
func preferDisjoint(replicas []route.Replica, tried, remaining uint64) uint64 {
	sameHome, sameZone := uint64(0), uint64(0)
	for rest := remaining; rest != 0; rest &= rest - 1 {
		i := bits.TrailingZeros64(rest)
		for t := tried; t != 0; t &= t - 1 {
			other := &replicas[bits.TrailingZeros64(t)]
			if other.Home == replicas[i].Home {
				sameHome |= 1 << i
			}
			if other.Zone == replicas[i].Zone {
				sameZone |= 1 << i
			}
		}
	}
	if best := remaining &^ sameHome &^ sameZone; best != 0 {
		return best
	}
	if best := remaining &^ sameHome; best != 0 {
		return best
	}

	return remaining
}

// nthBit returns the index of the n-th bit that is set in set, counted from 0.
func nthBit(set uint64, n int) int {
	for range n {
		set &= set - 1
	}

	return bits.TrailingZeros64(set)
}
