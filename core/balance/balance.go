package balance

import (
	"math/rand/v2"

	"jacinthferry/core/catalog"
	"jacinthferry/core/clock"
)

const (
	// smoothing is the weight of a new sample in the exponentially weighted moving averages.
	smoothing = 0.3
	// serviceTimeSmoothing is the same for the service time. It is lower because pauses and requests of
	// several kinds scatter the samples.
	serviceTimeSmoothing = 0.1
	// decayTime is the age at which an average without a new sample counts for half, so that an
	// upstream that was slow once is tried again.
	decayTime = 2 * clock.Second
	// defaultLatency is the latency expected of an upstream that was never asked.
	defaultLatency = 10 * clock.Millisecond
	// failurePenalty is how many times longer the expected wait is at an upstream that always fails.
	failurePenalty = 20
	// crossZonePenalty is how many times longer the expected wait counts in another availability zone.
	crossZonePenalty = 4
	// loadMaxAge is how long a reported load is used to compare upstreams.
	loadMaxAge = 200 * clock.Millisecond
	// queueMaxAge is how long a report of waiting requests is used to estimate the wait for a slot.
	queueMaxAge = clock.Second
	// stallFactor is the age of the oldest request in flight, as a multiple of the expected latency, from
	// which new requests avoid the upstream, and stallMinAge the least such age.
	stallFactor = 3
	stallMinAge = 25 * clock.Millisecond
	// stallPenalty is how many times longer the expected wait counts at a stalled upstream.
	stallPenalty = 50
	// unreachableBackoff is how long an upstream gets no request after a connection to it failed.
	unreachableBackoff = 100 * clock.Millisecond
	// replacedBackoff is the same for an upstream whose address another process has taken over. Its
	// entry expires long before.
	replacedBackoff = clock.Minute
	// overloadBackoff is the same for an overloaded upstream.
	overloadBackoff = 25 * clock.Millisecond
	// stateTTL is how long the state of an idle upstream is kept, such as one that is not registered
	// any more.
	stateTTL = 30 * clock.Second
)

// Load is what an upstream reports with an answer: how many requests run and wait there, and how many
// it can run at once.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// state is what is known of one upstream.
type state struct {
	// inFlight holds when the requests in flight were sent, oldest first.
	inFlight    []clock.Milli
	latency     clock.Milli
	failureRate float64
	updated     clock.Milli
	load        Load
	loadAt      clock.Milli
	// serviceTime is how long the upstream takes for a request that does not wait for a slot, or 0
	// while nothing is known.
	serviceTime clock.Milli
	// warmupEnd is when the upstream counts as warm. Until then a token bucket limits its requests: tokens
	// is the content of the bucket at the instant refilled.
	warmupEnd clock.Milli
	tokens    float64
	refilled  clock.Milli
	// blockedUntil is until when the upstream gets no request.
	blockedUntil clock.Milli
	// pausedUntil is until when the upstream asked to get no request.
	pausedUntil clock.Milli
	// limit is the rate limit that the upstream named, if limited is set, and limitSent when the request was sent
	// whose answer told so.
	limited   bool
	limit     RateLimit
	limitSent clock.Milli
	// limitTokens is how many requests the limit leaves room for at the instant limitRefilled.
	limitTokens   float64
	limitRefilled clock.Milli
}

// Options are the settings by which one daemon chooses upstreams.
type Options struct {
	// Zone is the availability zone of this daemon.
	Zone string
	// Daemons returns how many daemons share an upstream's connections, the rate limit that it names, and its
	// request rate while it is cold.
	Daemons func() int
	// Uniform returns a random number from 0 to 1. If it is nil, rand.Float64 is used.
	Uniform func() float64
	// OnLimit is called when an upstream names another rate limit, or no longer names one, which is nil. It may be
	// nil.
	OnLimit func(u *catalog.Upstream, limit *RateLimit)
	// OnLeaving is called when an upstream first announces its shutdown. It may be nil.
	OnLeaving func(u *catalog.Upstream)
}

// Balancer chooses upstreams by what one daemon has observed of them. It is not safe for concurrent use.
type Balancer struct {
	rules  Options
	states map[catalog.Key]*state
	// leaving holds when upstreams announced their shutdown.
	leaving map[catalog.Key]clock.Milli
}

// New returns a balancer that has observed nothing yet.
func New(rules Options) *Balancer {
	if rules.Uniform == nil {
		rules.Uniform = rand.Float64
	}

	return &Balancer{
		rules: rules, states: make(map[catalog.Key]*state), leaving: make(map[catalog.Key]clock.Milli),
	}
}

// Choose returns the upstream of list with the lowest cost for which excluded returns false, or nil if
// none can take a request now.
func (b *Balancer) Choose(now clock.Milli, service catalog.Service, list []*catalog.Upstream,
	excluded func(*catalog.Upstream) bool,
) *catalog.Upstream {
	var best *catalog.Upstream
	var bestCost float64
	for _, u := range list {
		if excluded(u) || !b.available(now, service, u) {
			continue
		}
		cost := b.cost(now, u) * (1 + b.rules.Uniform()/10)
		if best == nil || cost < bestCost {
			best, bestCost = u, cost
		}
	}

	return best
}

// Stalled reports whether the oldest request in flight to the upstream is so old that another one sent
// there would probably wait too.
func (b *Balancer) Stalled(now clock.Milli, u *catalog.Upstream) bool {
	s := b.states[u.Key()]

	return s != nil && s.stalled(now)
}

// available reports whether the upstream may get one more request of this daemon.
func (b *Balancer) available(now clock.Milli, service catalog.Service, u *catalog.Upstream) bool {
	s := b.state(now, u)
	if now < s.blockedUntil || b.LimitWait(now, u) > 0 {
		return false
	}
	if service.MaxConnections > 0 && len(s.inFlight) >= b.connectionLimit(service) {
		return false
	}

	return s.warmupAllows(now, b.warmupRate(service))
}

// connectionLimit returns this daemon's share of the connections that an upstream accepts.
func (b *Balancer) connectionLimit(service catalog.Service) int {
	return max(1, (service.MaxConnections-reservedConnections)/b.daemons())
}

// reservedConnections is how many of an upstream's connections stay free for daemons that join.
const reservedConnections = 2

// warmupRate returns this daemon's share of the requests a second that a cold upstream can take, or 0
// for no limit.
func (b *Balancer) warmupRate(service catalog.Service) float64 {
	return service.WarmupRate / float64(b.daemons())
}

func (b *Balancer) daemons() int { return max(1, b.rules.Daemons()) }

// Sent records that a request was sent to the upstream. The method that records how it ended takes the
// same instant to identify it.
func (b *Balancer) Sent(now clock.Milli, service catalog.Service, u *catalog.Upstream) {
	b.SentForOther(now, u)
	s := b.state(now, u)
	if now < s.warmupEnd && service.WarmupRate > 0 {
		s.tokens--
	}
	if s.limited {
		b.refillLimit(now, s)
		s.limitTokens--
	}
}

// SentForOther records that a request was sent to the upstream for another daemon, which has counted it against its
// own shares of the upstream's limits.
func (b *Balancer) SentForOther(now clock.Milli, u *catalog.Upstream) {
	s := b.state(now, u)
	s.inFlight = append(s.inFlight, now)
}

// Answered records that a request sent at an instant was answered well, with the load that the
// upstream reported, or nil. Held is how long the answer was kept back on its way, which is no part of
// the latency.
func (b *Balancer) Answered(now, sent, held clock.Milli, u *catalog.Upstream, load *Load) {
	s := b.finish(now, sent, u)
	s.addLatency(now, now-sent-held)
	s.failureRate -= smoothing * s.failureRate
	if load != nil {
		s.load, s.loadAt = *load, now
		s.addServiceTime((now - sent - held) / clock.Milli(1+float64(load.Waiting)/float64(max(1, load.Slots))))
	}
}

// Failed records that a request sent at an instant failed.
func (b *Balancer) Failed(now, sent clock.Milli, u *catalog.Upstream) {
	s := b.finish(now, sent, u)
	// An early failure says nothing about the latency.
	if now-sent > max(defaultLatency, s.latency) {
		s.addLatency(now, now-sent)
	}
	s.failureRate += smoothing * (1 - s.failureRate)
	s.updated = now
}

// Unreachable records that no connection to the upstream could be opened for a request sent at an
// instant. The upstream gets no other request for unreachableBackoff.
func (b *Balancer) Unreachable(now, sent clock.Milli, u *catalog.Upstream) {
	b.Failed(now, sent, u)
	s := b.state(now, u)
	s.blockedUntil = max(s.blockedUntil, now+unreachableBackoff)
}

// Replaced records that another process answered a request sent at an instant to the upstream's
// address. The upstream has ended, whatever its entry says.
func (b *Balancer) Replaced(now, sent clock.Milli, u *catalog.Upstream) {
	s := b.finish(now, sent, u)
	s.updated = now
	s.blockedUntil = now + replacedBackoff
}

// Overloaded records that the upstream refused a request sent at an instant, or did not get to it in time,
// with the load that it reported, or nil. The upstream gets no other request for overloadBackoff.
func (b *Balancer) Overloaded(now, sent clock.Milli, u *catalog.Upstream, load *Load) {
	s := b.finish(now, sent, u)
	if load != nil {
		s.load, s.loadAt = *load, now
	}
	s.failureRate += smoothing * (1 - s.failureRate)
	s.updated = now
	s.blockedUntil = max(s.blockedUntil, now+overloadBackoff)
}

// Cancelled records that a request sent at an instant was given up. It would have taken longer, so the
// time until now counts as its latency if it is above the average.
func (b *Balancer) Cancelled(now, sent clock.Milli, u *catalog.Upstream) {
	s := b.finish(now, sent, u)
	if now-sent > s.latency {
		s.addLatency(now, now-sent)
	}
}

// ExtendWarmup records that the upstream is cold until an instant. It never ends the warm-up earlier.
func (b *Balancer) ExtendWarmup(now, until clock.Milli, u *catalog.Upstream) {
	b.state(now, u).extendWarmup(now, until)
}

// Prune removes the state of upstreams that have not been heard of for stateTTL, have no request in flight and may
// get requests.
func (b *Balancer) Prune(now clock.Milli) {
	b.pruneLeaving(now)
	for k, s := range b.states {
		if len(s.inFlight) == 0 && now-s.updated > stateTTL && now >= max(s.blockedUntil, s.pausedUntil) {
			delete(b.states, k)
		}
	}
}

// ExpectedLatency returns the latency expected of one request at the upstream.
func (b *Balancer) ExpectedLatency(now clock.Milli, u *catalog.Upstream) clock.Milli {
	return b.state(now, u).expectedLatency(now)
}

// ExpectedWait returns how long one more request is expected to wait for a slot at the upstream, or 0 when its
// last report shows no waiting requests or is too old. It assumes that each of the other daemons has
// sent as many requests since then as this one.
func (b *Balancer) ExpectedWait(now clock.Milli, u *catalog.Upstream) clock.Milli {
	s := b.states[u.Key()]
	if s == nil || s.load.Waiting == 0 || now-s.loadAt > queueMaxAge {
		return 0
	}
	queue := s.load.Waiting + b.daemons()*s.sentSince(s.loadAt)
	wait := s.serviceTime * clock.Milli(queue) / clock.Milli(max(1, s.load.Slots))

	return max(0, wait-(now-s.loadAt))
}

// ServiceTime returns how long the upstream takes for a request that does not wait for a slot, or 0 when
// nothing is known. It decays while nothing is heard of the upstream.
func (b *Balancer) ServiceTime(now clock.Milli, u *catalog.Upstream) clock.Milli {
	s := b.states[u.Key()]
	if s == nil {
		return 0
	}

	return s.serviceTime * clock.Milli(s.decay(now))
}

func (b *Balancer) state(now clock.Milli, u *catalog.Upstream) *state {
	s := b.states[u.Key()]
	if s == nil {
		s = &state{refilled: now, updated: now}
		b.states[u.Key()] = s
	}
	if u.Warmup > 0 {
		// Its entry may say that it is cold again.
		s.extendWarmup(now, u.Seen+u.Warmup)
	}

	return s
}

// cost is the time that one more request is expected to take, in milliseconds, multiplied by the
// penalties.
func (b *Balancer) cost(now clock.Milli, u *catalog.Upstream) float64 {
	s := b.state(now, u)
	cost := float64(s.expectedLatency(now)) * (1 + s.requestsPerSlot(now, u.Slots)) *
		(1 + failurePenalty*s.failureRate*s.decay(now))
	if s.stalled(now) {
		cost *= stallPenalty
	}
	if u.Zone != b.rules.Zone {
		cost *= crossZonePenalty
	}

	return cost
}

// finish removes the request sent at an instant from those in flight and returns the state of its
// upstream.
func (b *Balancer) finish(now, sent clock.Milli, u *catalog.Upstream) *state {
	s := b.state(now, u)
	for i, at := range s.inFlight {
		if at == sent {
			s.inFlight = append(s.inFlight[:i], s.inFlight[i+1:]...)

			break
		}
	}

	return s
}

func (s *state) addLatency(now, latency clock.Milli) {
	if s.latency == 0 {
		s.latency = latency
	}
	s.latency += smoothing * (latency - s.latency)
	s.updated = now
}

// sentSince is how many of the requests in flight were sent after an instant.
func (s *state) sentSince(instant clock.Milli) int {
	n := 0
	for i := len(s.inFlight) - 1; i >= 0 && s.inFlight[i] > instant; i-- {
		n++
	}

	return n
}

func (s *state) addServiceTime(span clock.Milli) {
	if s.serviceTime == 0 {
		s.serviceTime = span
	}
	s.serviceTime += serviceTimeSmoothing * (span - s.serviceTime)
}

// decay is the factor by which the averages still count: 1 when they are fresh, and 1/2 at decayTime.
func (s *state) decay(now clock.Milli) float64 {
	return float64(decayTime / (decayTime + max(0, now-s.updated)))
}

func (s *state) expectedLatency(now clock.Milli) clock.Milli {
	if s.latency == 0 {
		return defaultLatency
	}
	w := clock.Milli(s.decay(now))

	return max(clock.Millisecond, s.latency*w+min(defaultLatency, s.latency)*(1-w))
}

// requestsPerSlot is how many rounds a new request waits for a slot before it runs.
func (s *state) requestsPerSlot(now clock.Milli, slots int) float64 {
	n := len(s.inFlight)
	if now-s.loadAt < loadMaxAge && s.load.Slots > 0 {
		n = max(n, s.load.Running+s.load.Waiting)
	}

	return float64(n) / float64(max(1, slots))
}

func (s *state) stalled(now clock.Milli) bool {
	return len(s.inFlight) > 0 && now-s.inFlight[0] > max(stallMinAge, stallFactor*s.expectedLatency(now))
}

// extendWarmup records that the upstream is cold until an instant. It never ends the warm-up earlier.
func (s *state) extendWarmup(now, until clock.Milli) {
	if until <= s.warmupEnd {
		return
	}
	if now >= s.warmupEnd {
		s.tokens = 0
	}
	s.warmupEnd, s.refilled = until, now
}

// warmupAllows reports whether the upstream is warm or its token bucket has a token for one more
// request. Rate is in requests a second.
func (s *state) warmupAllows(now clock.Milli, rate float64) bool {
	if rate <= 0 || now >= s.warmupEnd {
		return true
	}
	s.tokens = min(max(1, rate/burstsPerSecond), s.tokens+rate*float64((now-s.refilled)/clock.Second))
	s.refilled = now

	return s.tokens >= 1
}

// burstsPerSecond bounds a burst to a cold upstream to the requests of 1/burstsPerSecond seconds.
const burstsPerSecond = 4
